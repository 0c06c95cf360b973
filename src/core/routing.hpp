// Chooses the upstream for a request.
//
// A strategy gives each candidate a cost and the cheapest is chosen. The
// predicted strategy's cost is milliseconds to the first token: the prefill
// work queued at the upstream, the wait for a free slot, and the prefill of
// the part of the prompt that its cache lacks; to it come a price weight that
// grows with the class's slack and a penalty beyond the class's target.
// Load and queue are taken from the upstream's last report, worked off for the
// time since, plus what was sent since the report's measurement: by this VM as
// it knows, and by the other VMs as if a part of them (`herd_share`) did the
// same, because they see the same reports. They are never below what this VM
// itself has in flight. The wait for a slot is the expectation under an error
// of that estimate which grows with the report's age, so an upstream costs
// more already before it is full.
// Prefix affinity is bounded: an upstream whose load is above
// `affinity_load_bound` times the mean of the candidates counts as holding
// nothing.
// Upstreams that do not take work, or run another version than the request's,
// are never candidates, whatever the strategy.
//
// Of a service with more than `max_candidates` upstreams, a decision looks at
// the `home_candidates` next on the ring after the prefix's hash (the same from
// every VM, so that prefixes gather) and fills up from this VM's own place.
// Cost: O(candidates * log blocks), independent of the number of upstreams.
//
// Usage, for each attempt:
//     auto picked = router.choose(now, features, table, exclusions);
//     router.on_sent(now, attempt, features, *picked, table);
//     router.on_first_token(attempt, cached_tokens); // if any
//     router.on_end(now, attempt, table); // always once, however it ended
#ifndef AMARANTHARCH_CORE_ROUTING_HPP
#define AMARANTHARCH_CORE_ROUTING_HPP

#include "core/event.hpp"
#include "core/name_table.hpp"
#include "core/prefix_cache.hpp"
#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

// Order is priority: earlier classes are served first.
enum class request_class : std::uint8_t
{
    interactive, // short questions, lookups, claims, orders
    standard,
    batch, // drafts, surveys, summaries
};

inline constexpr std::size_t request_class_count = 3;

inline constexpr name_table<request_class, request_class_count>
    request_class_names{{
        {request_class::interactive, "interactive"},
        {request_class::standard, "standard"},
        {request_class::batch, "batch"},
    }};

// What routing needs to know of a request.
struct request_features
{
    std::string service;
    std::string version;         // empty: any version
    std::string avoided_version; // never this one; empty: none is avoided
    request_class priority = request_class::standard;
    prefix_chain prefix; // empty for plain services
    // Requests with an equal one gather at the same upstreams; 0: by the first
    // block of the prefix.
    block_hash gather_by = 0;
    std::uint32_t prompt_tokens = 0;   // estimate
    std::uint32_t expected_output = 0; // tokens, estimate
};

struct choice
{
    upstream_index upstream = 0;
    double predicted_ms = 0; // to the first token
    std::uint32_t predicted_cached_tokens = 0;
};

enum class routing_strategy : std::uint8_t
{
    predicted,
    round_robin,
    least_in_flight,
    power_of_two,
};

inline constexpr name_table<routing_strategy, 4> routing_strategy_names{{
    {routing_strategy::predicted, "predicted"},
    {routing_strategy::round_robin, "round_robin"},
    {routing_strategy::least_in_flight, "least_in_flight"},
    {routing_strategy::power_of_two, "power_of_two"},
}};

// What a class bears: its target for the first token, and the milliseconds
// that a price difference of 1 per hour is worth to it.
struct class_routing
{
    double first_token_target_ms;
    double ms_per_price;
};

struct routing_options
{
    routing_strategy strategy = routing_strategy::predicted;
    std::uint64_t seed = 1; // of this VM; differs between VMs
    std::size_t max_candidates = 40;
    std::size_t home_candidates = 8;
    double affinity_load_bound = 1.3;
    // Share of the other VMs' choices that are expected to equal ours.
    double herd_share = 0.5;
    // A home without the prefix is preferred as if it held this share of it.
    double home_discount = 0.2;
    std::array<class_routing, request_class_count> classes{
        {{700, 0}, {1'500, 20}, {5'000, 200}}};
    std::size_t cache_budget_blocks = 262'144;
};

class router
{
public:
    explicit router(routing_options options);

    // The upstream to send to, or nothing if none takes the request.
    // `exclusions` are upstreams that this request must not go to (again).
    std::optional<choice> choose(time_point now, request_features const& what,
                                 upstream_table const& table,
                                 std::vector<upstream_index> const& exclusions);

    void on_sent(time_point now, attempt_id attempt,
                 request_features const& what, choice const& picked,
                 upstream_table& table);

    // `cached_tokens`: as the engine reported, or nothing if it does not.
    void on_first_token(attempt_id attempt,
                        std::optional<std::uint32_t> cached_tokens);

    // Ignores attempts that it does not know, also repeated ends.
    void on_end(time_point now, attempt_id attempt, upstream_table& table);

    // Ignores reports older than the known one.
    void on_report(upstream_index upstream, upstream_report const& report,
                   upstream_table& table);

    void on_cache_events(upstream_index upstream, cache_events const& events);

    // To be called when a row is gone or has a new incarnation.
    void on_upstream_reset(upstream_index upstream);

    // Queued prefill tokens at the upstream, as estimated at `now`.
    double queued_tokens(time_point now, upstream_index upstream,
                         upstream_row const& row) const;

    prefix_cache const& cache() const
    {
        return cache_;
    }

private:
    struct attempt_row
    {
        upstream_index upstream = 0;
        time_point sent_at;
        std::uint32_t uncached_tokens = 0;
        std::uint32_t predicted_cached_tokens = 0;
        bool first_token_seen = false;
    };

    // An attempt of this VM that began or ended.
    struct recent_change
    {
        time_point at;
        std::uint32_t tokens; // uncached, if it began
        int in_flight;        // +1 or -1
    };

    // This VM's own work at one upstream.
    struct sent_work
    {
        // Uncached tokens of attempts that have no first token yet.
        std::uint64_t awaiting_tokens = 0;
        // Changes after the known report was measured, and their sums.
        // Without reports only the newest max_recent are kept.
        std::deque<recent_change> recent;
        std::uint64_t tokens_since_report = 0;
        int in_flight_since_report = 0;
        // Time that an attempt holds a slot, mean over the last ones; 0: none.
        double mean_hold_ms = 0;
    };

    struct candidate
    {
        upstream_index upstream;
        bool home;
    };

    using strategy_member = std::optional<choice> (router::*)(
        time_point, request_features const&, upstream_table const&);
    struct strategy_row
    {
        routing_strategy strategy;
        strategy_member choose;
    };
    static std::array<strategy_row, 4> const strategies;

    std::optional<choice> choose_predicted(time_point now,
                                           request_features const& what,
                                           upstream_table const& table);
    std::optional<choice> choose_round_robin(time_point now,
                                             request_features const& what,
                                             upstream_table const& table);
    std::optional<choice> choose_least_in_flight(time_point now,
                                                 request_features const& what,
                                                 upstream_table const& table);
    std::optional<choice> choose_power_of_two(time_point now,
                                              request_features const& what,
                                              upstream_table const& table);

    void collect_candidates(time_point now, request_features const& what,
                            upstream_table const& table,
                            std::vector<upstream_index> const& exclusions);
    double requests_at(upstream_index upstream, upstream_row const& row) const;
    double load_of(upstream_index upstream, upstream_row const& row) const;
    double slot_wait_ms(time_point now, upstream_index upstream,
                        upstream_row const& row) const;
    double fleet_factor() const;
    void learn_fleet_size(upstream_table const& table);
    void add_change(sent_work& own, recent_change const& change);
    choice describe(time_point now, request_features const& what,
                    upstream_table const& table, upstream_index upstream,
                    bool affinity) const;
    static void drop_oldest(sent_work& own);
    sent_work& work_at(upstream_index upstream);

    routing_options options_;
    strategy_member choose_with_;
    std::mt19937_64 random_;
    prefix_cache cache_;
    std::vector<candidate> candidates_; // of the decision being made
    std::uint64_t turns_ = 0;           // decisions of round_robin
    std::vector<sent_work> sent_;       // by upstream
    // Requests of all VMs at the candidates for each of this VM's, mean over
    // the last decisions.
    double all_per_own_ = 1;
    absl::flat_hash_map<attempt_id, attempt_row> attempts_;
};

} // namespace amarantharch

#endif
