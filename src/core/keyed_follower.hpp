// Follows one keyed stream of the platform's log: the latest value of each key.
//
// A follower first lists the latest record of each key, page by page. It then
// reads from the offset at which the stream ended before the first page,
// because the pages are not one consistent snapshot. If records are trimmed
// before it reads them, it lists the keys again and reports the difference.
// At most one request is outstanding.
//
// A removal is reported at once while the log is reachable. After an outage,
// live writers may have been unable to renew their keys, so a removal is
// reported only if the key is still missing `removal_grace` after the log's
// recovery.
//
// Peers may read the stream on behalf of this VM (see shared_reading). While
// their reports are recent, the follower reads only if it is behind, or if
// `own_read_interval` has passed; it applies the records that peers forward.
// For each key the record with the greatest offset wins, whatever its source.
//
// The log may come back from an older copy of itself: its era rises, records of
// the last seconds are gone, and their offsets are given out again. Offsets of
// different eras cannot be compared, so a new era voids all known offsets. The
// follower lists the keys again; a key that is missing is held back like after
// an outage, since its writer will write it again.
//
//     if (auto read = follower.next(now)) send(*read);
//     follower.on_records(now, batch); // or on_page, on_trimmed, on_failure
//     for (keyed_change const& c : follower.take_changes(now)) apply(c);
//
// Cost: O(log keys) per record. Memory: O(keys).
#ifndef AMARANTHARCH_CORE_KEYED_FOLLOWER_HPP
#define AMARANTHARCH_CORE_KEYED_FOLLOWER_HPP

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amarantharch
{

struct keyed_follower_options
{
    // How long the log may delay its answer until there is a new record.
    duration max_wait = std::chrono::seconds(1);
    // Minimum time from the start of one read to the start of the next.
    duration interval = std::chrono::milliseconds(0);
    // Delay between attempts while the log fails; doubles up to the maximum.
    duration retry_min = std::chrono::milliseconds(100);
    duration retry_max = std::chrono::milliseconds(800);
    // Live writers have renewed their keys this long after an outage of the
    // log.
    duration removal_grace = std::chrono::milliseconds(2'200);
    // This VM need not read the stream for this long after a peer has read it.
    duration peer_report_max_age = std::chrono::milliseconds(1'500);
    // Maximum time between own reads while peers read for this VM. Recovers
    // records that no peer's report reveals.
    duration own_read_interval = std::chrono::seconds(60);
    // Peers don't read simultaneously: a report may be older than the newest
    // one by this much and still count.
    duration peer_report_skew = std::chrono::milliseconds(600);
    // How long this VM may lack what a report shows before it reads: forwarded
    // records arrive within this time.
    duration peer_record_grace{};
    // How long it may lack anything, while the reports show ever newer states.
    // Bounds the delay after a lost message in a stream that changes often.
    duration max_behind = std::chrono::milliseconds(700);
    // If this VM's last read is too old, list the keys instead of reading each
    // record: worthwhile where most records only renew a key.
    bool relists_when_stale = false;
};

// A request to the log.
struct keyed_read
{
    bool is_listing = false; // the latest record of each key; else all records
    std::string after_key;   // of a listing: the last key of the page before
    std::uint64_t from = 0;
    duration max_wait{};
};

struct keyed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // none: the key was removed
    std::uint64_t era = 0; // of the log, in a record that a peer forwards
};

struct keyed_batch
{
    std::vector<keyed_record> records;
    std::uint64_t end = 0; // of the stream
    bool more = false;     // of a listing: there is another page
    std::uint64_t era = 0; // of the log; 0: not told
    // Records whose key cannot be read; they stand in `records` without one.
    std::size_t unreadable = 0;
};

struct keyed_change
{
    std::string key;
    std::optional<std::string> value; // none: the key was removed
    std::uint64_t offset = 0;         // of the record that caused the change
};

class keyed_follower
{
public:
    explicit keyed_follower(keyed_follower_options options) : options_(options)
    {
    }

    // The next request, if one is due and none is outstanding.
    std::optional<keyed_read> next(time_point now);

    // The outcome of that request.
    void on_records(time_point now, keyed_batch const& batch);
    void on_page(time_point now, keyed_batch const& page);
    void on_trimmed(time_point now); // unread records are gone
    void on_failure(time_point now);

    // A peer read the stream `age` ago, in `era`, and found it in state
    // `observed` (its end offset or a digest). `behind`: this VM lacks some of
    // those records. Ignored if another peer has read it later by more than
    // `peer_report_skew`, or if the era is an earlier one.
    void on_peer_report(time_point now, duration age, std::uint64_t observed,
                        bool behind, std::uint64_t era = 0);

    // A record that a peer forwards.
    void on_peer_record(keyed_record const& record);

    // Changes the minimum time between the starts of two reads.
    void set_interval(duration interval)
    {
        options_.interval = interval;
    }

    // The offset after the last record read.
    std::uint64_t position() const
    {
        return position_;
    }

    // The log's greatest era seen in an answer.
    std::uint64_t era() const
    {
        return era_;
    }

    // The time of the log's last answer.
    time_point answered_at() const
    {
        return answered_at_;
    }

    // The changes since the last call, in order.
    std::vector<keyed_change> take_changes(time_point now);

    // Whether a listing has completed.
    bool is_synced() const
    {
        return is_synced_;
    }

    // Whether the last request was answered.
    bool reachable() const
    {
        return failures_ == 0;
    }

private:
    void apply_record(time_point now, keyed_record const& record);
    void remove_key(time_point now, std::string const& key,
                    std::uint64_t offset);
    bool advance_offset(std::string const& key, std::uint64_t offset);
    bool relies_on_peers(time_point now) const;
    void note_success(time_point now);
    void start_listing(time_point now);
    bool enter_era(time_point now, std::uint64_t era);
    bool is_of_present_era(std::uint64_t era);

    keyed_follower_options options_;
    bool outstanding_ = false;
    bool listing_ = true;
    bool is_synced_ = false;
    std::uint32_t failures_ = 0; // in a row
    time_point next_read_at_{};
    time_point removals_held_until_{}; // removals before this time are held
    std::string after_key_;
    std::optional<std::uint64_t> listed_end_; // the end before the first page
    std::set<std::string> listed_keys_;       // keys of the pages so far
    std::uint64_t era_ = 0;
    std::uint64_t position_ = 0;
    time_point answered_at_{};
    time_point peer_read_at_{}; // a peer's latest known read of the stream
    // Since when every report has shown that this VM lacks records, the state
    // of the stream in the last report, and since when reports show that state.
    std::optional<time_point> behind_since_;
    std::uint64_t behind_report_ = 0;
    time_point behind_report_since_{};
    std::set<std::string> keys_;
    // Offset of the last record of each key, including removed keys.
    std::map<std::string, std::uint64_t> offsets_;
    std::map<std::string, time_point> held_removals_; // held until the time
    std::vector<keyed_change> changes_;
};

} // namespace amarantharch

#endif
