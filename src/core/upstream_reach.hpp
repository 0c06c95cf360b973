// Decides whether this VM is partitioned from the upstreams.
//
// A VM may lose its links to all upstreams while callers and other VMs reach
// it. One failed connection proves nothing, as upstreams crash and pause, so a
// doubt comes first: connections to two upstreams failed within
// `doubt_window`, an upstream seems to have crashed, or requests at two
// upstreams have waited for `silence` without a byte from any upstream. A VM in
// doubt makes a round of connections to up to `sample` upstreams, chosen by
// chance among those that have not failed, whatever their service. It is
// partitioned if three quarters of them or more fail.
//
// While it is partitioned, rounds go on over all upstreams, one in a
// `round_interval`. An upstream that accepts is reached again; the state ends
// with a round in which all accept.
//
// The same is seen if most upstreams crash at once. An answer that another VM
// has got from an upstream that this one cannot reach tells them apart.
//
// Only new connections count: kept ones may live on while new ones are refused,
// or be dead without a sign.
//
// Cost: up to `sample` connections for each doubt, `sample` in a
// round_interval while partitioned; O(upstreams) for a round.
#ifndef AMARANTHARCH_CORE_UPSTREAM_REACH_HPP
#define AMARANTHARCH_CORE_UPSTREAM_REACH_HPP

#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace amarantharch
{

struct upstream_reach_options
{
    duration doubt_window = std::chrono::seconds(2);
    duration silence = std::chrono::milliseconds(400);
    duration round_interval = std::chrono::milliseconds(500);
    // Between rounds for doubts.
    duration doubt_interval = std::chrono::milliseconds(100);
    // A connection of a round without an outcome has failed after this time;
    // above the time-out of connections.
    duration round_timeout = std::chrono::milliseconds(600);
    std::size_t sample = 4;
    std::uint64_t seed = 1; // differs between VMs
};

class upstream_reach
{
public:
    explicit upstream_reach(upstream_reach_options options)
        : options_(options), random_(options.seed)
    {
    }

    // This VM could not make a connection to the upstream.
    void on_connection_failed(time_point now, upstream_index upstream);

    // Other signs of a partition; a round follows.
    void doubt(time_point now);

    // A connection of a round, or any other that was made to learn whether the
    // upstream accepts it, has ended.
    void on_checked(time_point now, upstream_index upstream, bool accepted);

    // Begins the round that is due and returns the upstreams to connect to.
    // Concludes one whose time is over.
    std::vector<upstream_index> take_due_checks(time_point now,
                                                upstream_table const& table);

    // Whether a doubt has not been settled by a round yet.
    bool in_doubt() const
    {
        return doubted_ || round_.has_value();
    }

    bool partitioned() const
    {
        return partitioned_since_.has_value();
    }

    // When the round began that showed the partition.
    std::optional<time_point> partitioned_since() const
    {
        return partitioned_since_;
    }

    // Another VM has got an answer from the upstream. While partitioned, this
    // confirms it if this VM's own connections to the upstream have failed.
    void on_reached_by_others(upstream_index upstream)
    {
        confirmed_ = confirmed_ || failed_.contains(upstream);
    }

    // Whether the upstreams are known to be sound while this VM is partitioned.
    bool confirmed() const
    {
        return confirmed_;
    }

    // Whether attempts can be sent to the upstream from this VM itself.
    bool reaches(upstream_index upstream) const
    {
        return !partitioned() || reached_.contains(upstream);
    }

    // To be called when a row is removed or has a new incarnation.
    void on_upstream_reset(upstream_index upstream);

private:
    struct round
    {
        time_point began;
        std::set<upstream_index> awaited;
        std::size_t accepted = 0;
        std::size_t failed = 0; // with those that did not answer
        std::set<upstream_index> failures =
            {}; // of the failed ones that answered
    };

    std::vector<upstream_index> choose_sample(upstream_table const& table);
    void conclude();

    upstream_reach_options options_;
    std::mt19937_64 random_;
    // When connections failed last, while not partitioned.
    std::map<upstream_index, time_point> failures_;
    bool doubted_ = false;
    std::optional<round> round_;
    time_point last_round_{};
    std::optional<time_point> partitioned_since_;
    // While partitioned: upstreams that accept connections, and others.
    std::set<upstream_index> reached_;
    std::set<upstream_index> failed_;
    bool confirmed_ = false;
};

} // namespace amarantharch

#endif
