// The state of each key, computed from the records of the `requests` stream.
//
// A pure function of the records applied. Two tables that have applied the
// same records since the stream's start are equal. A table that started later
// is `complete` once it has read a window's worth of log time. From then on
// each of its rows equals the first table's or blocks its key (started,
// uncertain), which refuses requests but never runs one twice:
//
//   - A row is kept for a window after the last record of its key that was not
//     void, whether that record won or lost. Hence whether a key has a row
//     depends only on the records of the last window, which both tables have
//     read.
//   - A record for a key without a row takes effect only if it blocks the key.
//     An acceptance, which does not, takes effect if its writer had applied
//     everything before this table's first offset.
//
// Cost: one hash look-up per record.
#ifndef AMARANTHARCH_CORE_LEDGER_TABLE_HPP
#define AMARANTHARCH_CORE_LEDGER_TABLE_HPP

#include "core/ledger_record.hpp"
#include "core/time.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace amarantharch
{

enum class key_state : std::uint8_t
{
    free,      // released; the next record of its generation wins
    uncertain, // blocked: this table began too late to know its state
    accepted,  // recorded; any VM may start it
    started,   // only `run` may ever run this generation
    done,      // its outcome is recorded
};

// The outcome of an earlier run, for answers to repeats of the request.
struct stored_outcome
{
    verdict run = verdict::may_have_run;
    int status = 0;
    bool answer_kept = false; // false if the answer was too large to keep
    std::string content_type;
    std::string answer;
};

struct ledger_row
{
    key_state state = key_state::free;
    std::uint32_t generation = 0;
    run_id run; // of the record that led to the present state
    std::uint64_t content = 0;
    bool asynchronous = false;
    bool orphaned = false;       // accepted, but released by its VM
    std::int64_t touched_us = 0; // log time of the key's last record
    std::int64_t done_us = 0;    // log time of the outcome
    stored_call call;            // if asynchronous and not done
    stored_outcome outcome;      // if done
};

// The effect of a record on its key.
enum class record_effect : std::uint8_t
{
    voided,   // too old when the log stored it
    lost,     // another record came first, or it does not fit the state
    won,      // changed the state
    repeated, // no change: its run already led to the present state
};

class ledger_table
{
public:
    // A table that holds up to `max_bytes` of bodies and answers. An answer
    // that would exceed it is not kept.
    ledger_table(duration window, std::size_t max_bytes);

    // Empties the table; the next record applied is at `origin` or later.
    void begin(log_offset origin);

    // Applies the next record, which the log stored at `time`.
    record_effect apply(log_offset offset, time_point time,
                        ledger_record const& record);

    // Every record before `next` has been applied or does not exist.
    void advance(log_offset next);

    // The key's row, or null if it has none or it has expired.
    ledger_row const* find(request_key const& key) const;

    // Whether a key without a row here has none on any VM.
    bool complete() const;

    // Offset and log time up to which records were applied.
    record_basis basis() const
    {
        return basis_;
    }

    log_offset next() const
    {
        return basis_.applied + 1;
    }

    // Removes expired rows.
    void expire();

    std::size_t size() const
    {
        return rows_.size();
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    // Calls visit(key, row) for every row.
    template <typename Visitor>
    void for_each(Visitor const& visit) const
    {
        for (auto const& [key, row] : rows_)
        {
            visit(key, row);
        }
    }

    // The encoded table.
    std::string snapshot() const;

    // Replaces the table by a snapshot. Fails with InvalidArgument, changing
    // nothing, if it is malformed.
    absl::Status restore(std::string const& snapshot);

private:
    struct touch
    {
        std::int64_t time_us;
        request_key key;
    };

    bool is_void(record_header const& header) const;
    bool expired(ledger_row const& row) const;
    bool writer_read_to_origin(record_header const& header) const;
    bool can_claim(ledger_row const& row, record_header const& header) const;
    ledger_row* find_and_touch(request_key const& key);
    ledger_row& insert_and_touch(request_key const& key);
    void erase(request_key const& key);
    void set_call(ledger_row& row, stored_call call);
    void set_outcome(ledger_row& row, stored_outcome outcome);

    record_effect on(intent_record const& record);
    record_effect on(acceptance_record const& record);
    record_effect on(start_record const& record);
    record_effect on(release_record const& record);
    record_effect on(outcome_record const& record);

    std::int64_t window_us_;
    std::size_t max_bytes_;
    log_offset origin_ = 1;      // first offset read
    std::int64_t origin_us_ = 0; // log time of the first record applied
    bool read_any_ = false;
    record_basis basis_;
    std::size_t bytes_ = 0; // size of the calls and outcomes in rows_
    std::unordered_map<request_key, ledger_row, request_key_hash> rows_;
    std::deque<touch> touches_; // oldest first; at least one for each row
};

} // namespace amarantharch

#endif
