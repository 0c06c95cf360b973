// The table of upstreams: for each its configuration, its last load report, and
// the attempts that this VM has in flight there.
//
// A row keeps its index until the upstream is removed and has no attempts in
// flight, so an index held by an attempt stays valid. The flags that stop new
// work (leaving, quarantined) are never cleared within one incarnation of an
// upstream: they may be merged from any source, in any order and repeatedly,
// and never flap. A higher incarnation starts with both flags cleared. An
// upstream that is removed and comes back in the same incarnation, as after an
// outage of the directory, still has its flags, its pause and its limit.
//
// What VMs have heard of an upstream's limit merges by time: the value that the
// upstream began to name last counts, but what it has told this VM itself goes
// before what peers heard earlier. Like the flags, a limit holds for one
// incarnation.
//
// An upstream is cold for a time that it tells. The latest end that was told
// counts, within an incarnation. Where its service has a rate for cold
// upstreams, this VM sends to it only in its turns (see warm_up_share), beside
// any limit that the upstream names: both must admit a request.
//
// Cost: lookup by name is O(log upstreams); a row takes about 500 bytes.
#ifndef AMARANTHARCH_CORE_UPSTREAM_TABLE_HPP
#define AMARANTHARCH_CORE_UPSTREAM_TABLE_HPP

#include "core/limit_share.hpp"
#include "core/site.hpp"
#include "core/time.hpp"
#include "core/warm_up_share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

using upstream_index = std::uint32_t;

// An upstream's properties, from the configuration and the platform's list.
struct upstream_profile
{
    std::string name;
    std::string address; // ip:port
    upstream_kind kind = upstream_kind::engine;
    std::string service; // the service whose requests it runs
    std::string version;
    std::string machine_class;
    std::string failure_domain;
    double price_per_hour = 0;
    bool reclaimable = true;
    std::uint32_t slots = 16;           // requests that it runs concurrently
    double prefill_tokens_per_ms = 10;  // prompt tokens processed per ms
    double ms_per_output_token = 20;    // between tokens of one stream
    std::uint32_t cache_blocks = 4'096; // blocks of its prefix cache
};

// The work time that an upstream states, in percent of the usual one.
struct stated_work
{
    time_point measured_at; // the newest value
    std::uint32_t newest_percent = 0;
    std::uint32_t mean_percent = 0; // of all values in a report
    std::uint32_t values = 0;       // number of them
};

// Memory of an engine, in tokens.
struct engine_memory
{
    time_point measured_at;
    std::uint64_t used = 0; // not evictable
    std::uint64_t total = 0;
};

// The load that an upstream last reported; `measured_at` is in the past.
struct upstream_report
{
    time_point measured_at;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queued_prefill_tokens = 0;
    std::optional<stated_work> work = {};
    std::optional<engine_memory> memory = {};
};

struct upstream_row
{
    upstream_profile profile;
    std::uint64_t incarnation = 0;
    bool present = true;         // false: removed
    bool leaving = false;        // never cleared within an incarnation
    bool quarantined = false;    // never cleared within an incarnation
    time_point ejected_until;    // set by outlier_detector
    time_point paused_until;     // requested by the upstream itself
    bool evacuated = false;      // with its failure domain
    std::uint32_t in_flight = 0; // attempts of this VM
    std::optional<upstream_report> report;
    std::optional<engine_memory> memory; // the newest of all reports
    // It crashes if it turns away more requests in a second; see
    // request_path::spare_brittle. Holds for its successors too, until an
    // answer shows that it has ended.
    std::optional<std::uint32_t> refusal_limit;
    std::optional<limit_share> limit; // on the requests of all VMs
    time_point limit_since;           // it names this limit, or none
    // Until then the VMs keep to `limit` though the upstream names none.
    time_point limit_imposed_until;
    time_point limit_heard_at; // the last answer that told this VM
    time_point cold_until;
    // While it is cold; empty where its service has no rate for this.
    std::optional<warm_up_share> warm_up;

    // Whether it is cold and gets requests in turns only.
    bool warms_up(time_point now) const
    {
        return warm_up && now < cold_until;
    }

    // Whether new work may be sent to it.
    bool takes_work(time_point now) const
    {
        return is_open(now) && (!warms_up(now) || warm_up->admits(now));
    }

    // Whether it takes new work, if need be in turns while it is cold.
    bool is_open(time_point now) const
    {
        return present && !leaving && !quarantined && !evacuated &&
               ejected_until <= now && paused_until <= now &&
               (!limit || limit->admits(now));
    }

    // Whether an attempt may be sent to it that another VM has decided on,
    // whose turn at a limit and whose ejections count.
    bool takes_relayed(time_point now) const
    {
        return present && !leaving && !quarantined && !evacuated &&
               paused_until <= now;
    }
};

// What a VM has heard of an upstream's limit, as sent between VMs.
struct upstream_limit
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    double per_second = 0;   // 0: it does not name one any more
    std::int64_t age_us = 0; // since it began to name this
    MSGPACK_DEFINE(upstream, incarnation, per_second, age_us)
};

class upstream_table
{
public:
    // Adds an upstream or replaces its profile. A higher incarnation than the
    // known one clears its flags, its ejection, its pause and its report; a
    // lower one is ignored. Returns its index.
    upstream_index put(upstream_profile profile, std::uint64_t incarnation = 0);

    // Each of these ignores unknown names and incarnations that differ from the
    // row's, and returns whether the row has changed.
    bool mark_leaving(std::string_view name, std::uint64_t incarnation);
    bool mark_quarantined(std::string_view name, std::uint64_t incarnation);
    bool remove(std::string_view name, std::uint64_t incarnation);

    // Sends it nothing until `until`, or for as long as is known already.
    bool pause(std::string_view name, std::uint64_t incarnation,
               time_point until);

    // An answer of the upstream says how many refusals a second it survives, or
    // shows that there is no such limit. All upstreams of its service say the
    // same. Returns whether this is news of the upstream.
    bool hear_refusal_limit(std::string_view name, std::uint64_t incarnation,
                            std::optional<std::uint32_t> refusals);

    // An answer of the upstream to this VM names a limit, or shows that there
    // is none.
    bool hear_limit(time_point now, std::string_view name,
                    std::uint64_t incarnation,
                    std::optional<double> per_second);

    // Has the VMs keep to a limit that the upstream does not name, unless they
    // keep to a lower one. Turns are counted from `from`.
    void impose_limit(time_point now, std::string_view name,
                      std::uint64_t incarnation, double per_second,
                      time_point from, time_point until);

    // Sets the requests a second, of all VMs, that cold upstreams handle, by
    // service.
    void set_warm_up_rates(time_point now,
                           std::map<std::string, double, std::less<>> rates);

    // An upstream has told that it stays cold for this time from now on.
    // Returns whether this is news: it turned cold, or cold anew.
    bool hear_cold(time_point now, std::string_view name,
                   std::uint64_t incarnation, duration cold_for);

    // How many upstreams get requests in turns because they are cold.
    std::size_t warming_up(time_point now) const;

    // A request is sent to it: uses up the turns that it needs.
    void use_turns(time_point now, upstream_index index);

    // A peer has heard of a limit.
    bool merge_limit(time_point now, upstream_limit const& heard);

    // Sets whether a failure domain is evacuated, also for its upstreams that
    // are put later.
    void set_evacuated(std::string const& failure_domain, bool is_evacuated);
    bool is_evacuated(std::string const& failure_domain) const
    {
        return evacuated_domains_.contains(failure_domain);
    }

    // Whether the upstreams of `service` that could take work, now or later,
    // are all evacuated, and there is one.
    bool has_only_evacuated(std::string_view service) const;

    // The limits in force, and those that ended less than limit_memory ago.
    std::vector<upstream_limit> limits(time_point now) const;

    // This VM's place among those that share the limits.
    void set_fleet_position(time_point now, fleet_position position);

    // When this VM has a turn for `service` after `others` further requests, at
    // its upstreams that are neither evacuated nor excluded and that name a
    // limit or are cold; nothing if there is none. Of one that names a limit
    // and is cold, a turn by both.
    std::optional<time_point>
    turn_after(time_point now, std::string_view service, std::size_t others,
               std::vector<upstream_index> const& excluded) const;

    // When the first present upstream of `service` that is neither leaving,
    // quarantined nor evacuated and has no limit takes work without turns;
    // nothing if there is none.
    std::optional<time_point> next_available(std::string_view service) const;

    std::optional<upstream_index> find(std::string_view name) const;

    upstream_row& row(upstream_index index)
    {
        return rows_[index];
    }
    upstream_row const& row(upstream_index index) const
    {
        return rows_[index];
    }
    std::size_t size() const
    {
        return rows_.size();
    }

    // A point of a service's hash ring: its upstreams ordered by the hash of
    // their names, so that every VM sees the same order.
    struct ring_point
    {
        std::uint64_t hash;
        upstream_index upstream;
    };

    // The present upstreams of `service` in hash order; empty if there are
    // none.
    std::vector<ring_point> const& ring(std::string_view service) const;

private:
    // What still holds for a removed upstream if it comes back.
    struct removed_row
    {
        std::uint64_t incarnation = 0;
        bool leaving = false;
        bool quarantined = false;
        time_point paused_until;
        std::optional<limit_share> limit;
        time_point limit_since;
        time_point limit_heard_at;
        time_point cold_until;
    };

    void set_limit(time_point now, time_point since, upstream_row& row,
                   std::optional<double> per_second);
    void set_warm_up(time_point now, upstream_row& row);
    void remember_removed(upstream_row const& row);
    void restore_removed(upstream_row& row);
    upstream_row* find_row(std::string_view name, std::uint64_t incarnation);
    void add_to_ring(upstream_index index);
    void remove_from_ring(upstream_index index);
    upstream_index free_index();

    std::vector<upstream_row> rows_;
    // by_name_[n] == i if and only if rows_[i] is present and has name n.
    std::map<std::string, upstream_index, std::less<>> by_name_;
    // Each present row is in the ring of its service and in no other; each ring
    // is in hash order.
    std::map<std::string, std::vector<ring_point>, std::less<>> rings_;
    fleet_position position_;
    time_point position_since_; // this VM has known it
    std::map<std::string, double, std::less<>> warm_up_rates_; // by service
    std::map<std::string, removed_row> removed_;
    std::deque<std::string> removed_order_; // names, the oldest first
    std::set<std::string> evacuated_domains_;
};

} // namespace amarantharch

#endif
