// Follows one keyed stream of the platform's log: the newest value of each key.
//
// A follower first lists the newest record of each key, page by page, and then
// reads on from where the stream ended before the first page: pages are no
// snapshot, and what changes between them is read again. When records that it
// has not read are gone, it lists anew and reports the difference. One request
// is outstanding at a time.
//
// A key that disappears is reported at once while the log is well. After an
// outage its writers may have been unable to renew their keys, so that a
// removal counts only if the key is still missing `settle` after the log is
// back.
//
// Others may read the stream for this VM (see shared_reading). While what they
// say is fresh, the follower reads only if it is behind, and now and then to be
// sure; it takes the records that they pass on. Of one key the record with the
// greatest offset counts, whatever way it came.
//
//     if (auto read = follower.next(now)) send(*read);
//     follower.on_records(now, batch); // or on_page, on_trimmed, on_failure
//     for (keyed_change const& c : follower.take_changes(now)) apply(c);
//
// Cost: O(log keys) a record; memory: the keys.
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
    // How long the log may hold a read back until there is something new.
    duration wait = std::chrono::seconds(1);
    // From the start of one read to that of the next.
    duration interval = std::chrono::milliseconds(0);
    // Between attempts while the log fails; doubles up to the maximum.
    duration retry_min = std::chrono::milliseconds(100);
    duration retry_max = std::chrono::milliseconds(800);
    // Writers that live are back so long after an outage of the log.
    duration settle = std::chrono::milliseconds(2'200);
    // How long after a peer has read the stream this VM need not read it.
    duration shared_freshness = std::chrono::milliseconds(1'500);
    // Between own reads while peers read for this VM: repairs what no peer's
    // report shows.
    duration shared_interval = std::chrono::seconds(60);
    // Peers do not read in step: a report may be so much older than another's.
    duration shared_skew = std::chrono::milliseconds(600);
    // How long this VM may be behind its peers' reports before it reads;
    // records that they pass on come within this time.
    duration shared_patience{};
    // Lists the keys instead of reading on: most records only renew a key.
    bool lists_if_behind = false;
};

// A request to the log.
struct keyed_read
{
    bool lists = false;    // the newest of each key; else records
    std::string after_key; // if it lists
    std::uint64_t from = 0;
    duration wait{};
};

struct keyed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; // nothing: the key was dropped
};

struct keyed_batch
{
    std::vector<keyed_record> records;
    std::uint64_t end = 0; // of the stream
    bool more = false;     // if it lists: there is another page
};

struct keyed_change
{
    std::string key;
    std::optional<std::string> value; // nothing: the key is gone
    std::uint64_t offset = 0;         // of the record that says so
};

class keyed_follower
{
public:
    explicit keyed_follower(keyed_follower_options options) : options_(options)
    {
    }

    // The next request, if one is due and none is outstanding.
    std::optional<keyed_read> next(time_point now);

    // The answers to it.
    void on_records(time_point now, keyed_batch const& batch);
    void on_page(time_point now, keyed_batch const& page);
    void on_trimmed(time_point now); // records before the offset are gone
    void on_failure(time_point now);

    // A peer read the stream `age` ago and found it at `shown` (an end or a
    // digest); `behind`: this VM lacks records of that. Ignored if another peer
    // has read it much later.
    void on_shared_state(time_point now, duration age, std::uint64_t shown,
                         bool behind);

    // A record that a peer passes on.
    void on_shared_record(keyed_record const& record);

    // From the start of one read to that of the next, from now on.
    void set_interval(duration interval)
    {
        options_.interval = interval;
    }

    // The offset behind the last record read.
    std::uint64_t position() const
    {
        return position_;
    }

    // When the log last answered.
    time_point answered_at() const
    {
        return answered_at_;
    }

    // What has changed since the last call, in order.
    std::vector<keyed_change> take_changes(time_point now);

    // Whether everything was listed once.
    bool known() const
    {
        return known_;
    }

    // Whether the last request was answered.
    bool reachable() const
    {
        return failures_ == 0;
    }

private:
    void take(time_point now, keyed_record const& record);
    void drop(time_point now, std::string const& key, std::uint64_t offset);
    bool is_news(std::string const& key, std::uint64_t offset);
    bool leaves_to_peers(time_point now) const;
    void succeeded(time_point now);

    keyed_follower_options options_;
    bool outstanding_ = false;
    bool listing_ = true;
    bool known_ = false;
    std::uint32_t failures_ = 0; // in a row
    time_point due_{};
    time_point settled_at_{}; // removals before it wait
    std::string after_key_;
    std::optional<std::uint64_t> listed_end_; // before the first page
    std::set<std::string> listed_;            // keys of the pages so far
    std::uint64_t position_ = 0;
    time_point answered_at_{};
    // When a peer last read the stream, as far as known; since when such
    // reports show that records are missing here.
    time_point shared_at_{};
    std::optional<time_point> behind_since_;
    std::uint64_t behind_of_ = 0; // what they showed then
    std::set<std::string> keys_;
    // Offset of the last record of each key, also of keys that are gone.
    std::map<std::string, std::uint64_t> offsets_;
    std::map<std::string, time_point> leaving_; // removals that wait
    std::vector<keyed_change> changes_;
};

} // namespace amarantharch

#endif
