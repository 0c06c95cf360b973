// Decides which VM may run a request that must not run twice, and keeps
// accepted requests and recent outcomes.
//
// Algorithm. A replicated state machine: only the order of the records in the
// log's `requests` stream decides; no owners, epochs, votes or VM clocks are
// involved. Every VM applies the same records in the same order to a table of
// keys:
//
//     absent --intent--> started --outcome--> done
//     absent --acceptance--> accepted --start--> started
//     started or accepted --release--> free (synchronous) or accepted again,
//                                      with the next generation
//
// A record that does not fit its key's state has no effect, so the first of
// several intents or starts for one generation wins. A VM runs a request only
// after reading its own winning record back, and only the writer of the winning
// record ever runs that generation. A VM that was suspended at any step
// therefore either still holds a right that no other VM can have, or reads that
// another record came first. A started key without an outcome is never given
// to another VM: its callers are answered may_have_run.
//
// Delays. An append may take effect late or twice. A record carries the log
// time up to which its writer had read, and is void if the log stored it more
// than half a window after that. A key is remembered for a whole window after
// its last record that was not void, so a late copy either finds its key or is
// void.
//
// Retention. The window is at most half the log's retention. A VM that starts
// reading at `first_retained` must not decide before it has read a window's
// worth of log time: by then every key it lacks has expired on every VM. It
// treats an acceptance as startable only if the acceptance's writer had read
// everything before this VM's first offset. Accepted requests and runs in
// progress are recorded again every quarter of a window. A VM that finds a gap
// in the stream discards its table and starts over, as after a restart.
//
// Cost. A synchronous request takes one append (batched by the log client) and
// a read before it runs, and one append for its outcome; an asynchronous one
// takes one append more. Memory: about 1 KB per key, plus the bodies of
// unfinished requests and the small answers of recent ones, up to a limit; at
// the limit new keys are refused with not_run.
//
// Use. Methods that change state take the present time and emit effects, in
// order, into the sink given at construction. The caller
//   - gives append_record payloads to the log client for the stream
//     `requests`; losing or repeating one is harmless, since records not read
//     back are emitted again;
//   - passes every batch read from that stream to apply(), in order;
//   - runs each run_request once and reports its end with finish();
//   - calls tick() a few times per second.
#ifndef AMARANTHARCH_CORE_LEDGER_HPP
#define AMARANTHARCH_CORE_LEDGER_HPP

#include "core/call.hpp"
#include "core/ledger_record.hpp"
#include "core/ledger_table.hpp"
#include "core/log.hpp"
#include "core/request_key.hpp"
#include "core/time.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace amarantharch
{

struct ledger_options
{
    std::string vm;
    std::uint64_t incarnation = 0; // must differ at each start of this vm
    // How long a key is remembered after its last record, by the log's clock;
    // at most half the log's retention.
    duration window = std::chrono::minutes(10);
    // A submission not decided by the log after this time is refused.
    duration decision_timeout = std::chrono::seconds(2);
    // A record not yet read back is emitted again after this time.
    duration resend_interval = std::chrono::seconds(1);
    // An accepted request that its VM has not started after this time is
    // started by another VM. Each waits for up to takeover_spread longer,
    // by a delay that differs between VMs.
    duration takeover_delay = std::chrono::seconds(5);
    duration takeover_spread = std::chrono::seconds(2);
    std::size_t max_keys = 40'000;
    std::size_t max_bytes = std::size_t{16} << 20; // bodies and answers
    std::size_t max_pending_records = 20'000; // of this VM, not read back yet
    std::size_t max_body_bytes = std::size_t{64}
                                 << 10; // of an accepted request
    std::size_t max_answer_bytes = std::size_t{4} << 10; // kept for repeats
};

// A request that must not run twice, as it enters at this VM.
struct submission
{
    request_id request; // the waiting caller's; unique on this VM
    request_key key;
    std::uint64_t content = 0; // content_digest
    bool asynchronous = false; // answer 202 once it is recorded, run it later
    // How long after the outcome a submission of the same key counts as a
    // repeat; at most ledger_options::window.
    duration repeat_window = std::chrono::minutes(10);
    stored_call call; // recorded if asynchronous
};

// The result of a run. If `run` is not_run, the key is released.
struct run_outcome
{
    verdict run = verdict::may_have_run;
    int status = 0;
    std::string content_type;
    std::string answer; // kept for repeats up to max_answer_bytes
};

// To do: append `payload` to log_stream::requests.
struct append_record
{
    std::string payload;
};

// To do: run this now, once, then call finish() with `run`. It may be retried
// on any upstream as long as each failed attempt is known not to have run.
struct run_request
{
    run_id run;
    request_key key;
    request_id request; // of the caller waiting at this VM; empty if none
    stored_call call;   // empty for a synchronous request
};

// To do: answer 202. The request is recorded and will be run; the caller may
// ask for its outcome by its key.
struct accepted_reply
{
    request_id request;
};

// To do: answer with the outcome of an earlier run.
struct stored_outcome_reply
{
    request_id request;
    stored_outcome outcome;
};

// To do: refuse. ledger_reasons lists the reasons.
struct refused_reply
{
    request_id request;
    refusal why;
};

// To do: send `records` to one or two peers in other failure domains, which
// pass them to adopt(). Emitted while this VM is stopping, since it may exit
// before they are stored, and repeated until they are; duplicates are harmless.
struct handover_message
{
    std::vector<std::string> records; // encoded
};

using ledger_effect =
    std::variant<append_record, run_request, accepted_reply,
                 stored_outcome_reply, refused_reply, handover_message>;

using ledger_sink = std::function<void(ledger_effect)>;

// Values of refusal::reason.
namespace ledger_reasons
{
inline constexpr char const* log_unreachable = "log_unreachable";
inline constexpr char const* not_ready = "ledger_catching_up";
inline constexpr char const* stopping = "stopping";
inline constexpr char const* full = "ledger_full";
inline constexpr char const* body_too_large = "body_too_large";
inline constexpr char const* undecided = "undecided_in_time";
inline constexpr char const* acceptance_unknown = "acceptance_unknown";
inline constexpr char const* in_progress = "in_progress";
inline constexpr char const* outcome_unknown = "outcome_unknown";
inline constexpr char const* key_reused = "key_reused";
inline constexpr char const* unknown_key = "unknown_key";
} // namespace ledger_reasons

class ledger
{
public:
    ledger(ledger_options options, ledger_sink emit);

    // Emits exactly one reply or run_request for `what.request`, now or later,
    // unless abandon() is called first.
    void submit(time_point now, submission what);

    // Replies with the state of `key` without starting anything: for a caller
    // who asks for the outcome of an accepted request.
    void inquire(time_point now, request_id const& request,
                 request_key const& key);

    // The caller has disconnected. A run that has begun continues.
    void abandon(time_point now, request_id const& request);

    // Applies the next batch of the `requests` stream.
    void apply(time_point now, log_batch const& batch);

    // Whether the log can be reached; true at construction.
    void set_reachable(time_point now, bool reachable);

    // Reports the end of a run_request. Unknown and finished runs are ignored.
    void finish(time_point now, run_id const& run, run_outcome outcome);

    // `vm` has left or failed: accepted requests that it has not started may be
    // taken over at once. A hint; a wrong one costs an append.
    void vm_gone(time_point now, std::string const& vm);

    // Refuses submissions past their deadline, resends pending records, records
    // unfinished requests again, takes over requests of other VMs and removes
    // expired keys.
    void tick(time_point now);

    // Appends the records of a peer that is stopping until they are stored.
    // Fails, accepting none, with InvalidArgument if one is malformed or not of
    // a kind that is handed over, and ResourceExhausted at the limit.
    absl::Status adopt(time_point now, std::vector<std::string> const& records);

    // Begins to stop: refuses new requests and hands over those not started.
    // Runs in progress may be finished until `deadline`.
    void stop(time_point now, time_point deadline);

    // Whether submissions can be decided; until then they are refused.
    bool ready() const;

    // Whether this VM has no pending records and no runs in progress.
    bool idle() const;

    // The offset to read next; 1 initially.
    log_offset next_offset() const
    {
        return table_.next();
    }

    // The whole table, for a VM that starts. Empty unless ready().
    std::string snapshot() const;

    // Replaces the table by a ready peer's snapshot; reading continues at
    // next_offset(). Fails with InvalidArgument if it is malformed, and
    // FailedPrecondition if this VM is ready or has applied more records than
    // the snapshot includes.
    absl::Status restore(time_point now, std::string const& snapshot);

    // Keys in the table.
    std::size_t keys() const
    {
        return table_.size();
    }

    // Bytes of bodies and answers in the table.
    std::size_t bytes() const
    {
        return table_.bytes();
    }

private:
    // A record that this VM appends and has not read back yet. When a
    // submission is given up, its entry is removed; if its record wins later,
    // the key is released.
    struct pending_record
    {
        ledger_record record;
        request_id request;  // of the waiting caller; empty if none
        time_point deadline; // of the decision; max() if no caller waits
        time_point last_emitted;
        int emissions = 0;
    };

    // `kind`, the index in ledger_record, distinguishes the records of one run.
    struct pending_key
    {
        std::uint64_t sequence;
        std::size_t kind;
        // clang-tidy 14 takes the 0 in a defaulted comparison for a null
        // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(pending_key const&) const = default;
    };

    using pending_table = std::map<pending_key, pending_record>;

    // A run of this VM that has not finished.
    struct active_run
    {
        ledger_record right; // the winning record
        std::uint64_t content;
        bool asynchronous;
        time_point recorded; // when `right` was last emitted
    };

    // An accepted request that no VM has started.
    struct unstarted_request
    {
        std::uint32_t generation;
        time_point seen;     // when this VM first saw this generation
        time_point recorded; // when this VM last emitted it again
    };

    // The newest incarnation seen of a VM.
    struct vm_entry
    {
        std::uint64_t incarnation = 0;
        bool gone = false;
        time_point since; // when `incarnation` was first seen or `gone` set
    };

    bool blocks(time_point now, ledger_row const& row,
                submission const& what) const;
    std::optional<refusal> refusal_for(submission const& what) const;
    ledger_record record_for(submission what, ledger_row const* row);
    void reply_from_row(request_id const& request, bool asynchronous,
                        ledger_row const& row);
    void refuse(request_id const& request, refusal why);
    void reset_after_gap(time_point now, log_offset origin);
    void refuse_waiting_caller(pending_record const& own);
    void forget(pending_table::iterator own);

    void handle_read_back(time_point now, ledger_record const& record,
                          record_effect effect);
    void won(time_point now, pending_record const& own);
    void lost(pending_record const& own);
    void begin_run(time_point now, pending_record const& own);
    void start(time_point now, request_key const& key, ledger_row const& row);
    void release(time_point now, record_header header, bool asynchronous);
    void update_unstarted(time_point now, request_key const& key);
    void track_incarnation(time_point now, run_id const& run);

    record_header header_for(request_key const& key, std::uint32_t generation);
    void append(time_point now, ledger_record record, request_id request,
                time_point deadline);
    void emit_pending(time_point now, pending_record& own);
    void emit_record(ledger_record record);

    bool is_own_run(run_id const& run) const;
    std::optional<time_point> gone_since(run_id const& run) const;
    duration share(request_key const& key, duration whole) const;
    time_point start_due(request_key const& key, ledger_row const& row,
                         unstarted_request const& open) const;
    std::int64_t log_now_us(time_point now) const;
    duration time_since_last_record(time_point now,
                                    ledger_row const* row) const;

    void drop_losing_claim(request_key const& key);
    void handle_adopted_read_back(ledger_record const& record,
                                  record_effect effect);
    bool resend_due(time_point now, pending_record const& own) const;
    void hand_over_pending(time_point now);

    void resend(time_point now);
    void refuse_undecided(time_point now);
    void refresh_runs(time_point now);
    void refresh_unstarted(time_point now);
    void take_over(time_point now);
    void request_log_time(time_point now);

    ledger_options options_;
    ledger_sink emit_;
    ledger_table table_;
    bool initialized_ = false; // a batch was applied or a snapshot restored
    bool reachable_ = true;
    std::optional<time_point> stop_deadline_;
    time_point applied_at_; // when the last batch was applied
    std::optional<time_point>
        log_time_requested_at_; // when a clock_record was emitted
    std::uint64_t next_sequence_ = 1;
    pending_table pending_;
    // undecided_claims_[k] == s if and only if pending_ has an intent,
    // acceptance or start of sequence s for key k.
    std::map<request_key, std::uint64_t> undecided_claims_;
    // Records handed over by VMs that are stopping. A release is kept until it
    // has won, since the start that it releases may be stored after it.
    std::map<std::pair<run_id, std::size_t>, pending_record> adopted_;
    std::optional<time_point> handed_over_at_;
    std::map<run_id, active_run> runs_;
    std::map<request_key, unstarted_request>
        unstarted_; // rows in state accepted
    std::map<std::string, vm_entry> vms_;
};

} // namespace amarantharch

#endif
