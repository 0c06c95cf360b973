// Chooses the upstream for a request.
//
// The default strategy, `predicted`, gives each candidate a cost and takes the
// cheapest. The cost is the predicted time to first token in milliseconds: the
// prefill work queued at the upstream, the wait for a free slot, and the
// prefill of the part of the prompt that its cache lacks. A price term, whose
// weight grows with the latency target of the class, and a penalty for missing
// that target are added.
//
// Queue and load come from the upstream's last report, reduced by the work that
// it has done since, plus what was sent after the report was measured: by this
// VM as counted, and by the other VMs on the assumption that a share of them
// (`herd_share`) chose the same, because they see the same reports. They are
// never below what this VM itself has in flight. The slot wait is an
// expectation under an estimation error that grows with the report's age, so an
// upstream's cost rises before it is full.
//
// Prefix affinity is bounded: the cache of an upstream whose load is above
// `affinity_load_bound` times the mean of the candidates is not counted.
//
// Where the upstreams of a service state their work time, the rates and times
// of the profile are replaced by those learned for the service (service_pace),
// scaled by the upstream's factor (upstream_speed), and the target by that of
// the route. The cost is then the expected time past the target, under an error
// of the prediction that grows with it, plus a small part of the time itself
// and the price of the upstream's time that the request takes. That price grows
// with the upstream's load and speed, so a request that is on time elsewhere
// leaves the fast upstreams to those that are not. No VM needs to know of the
// others' requests: the load that all cause is in the reports. Of the
// candidates whose costs differ by less than the error of the prediction, one
// is drawn at random, so that VMs with the same reports do not choose the same.
//
// An engine whose free memory does not hold the prompt and the output is passed
// over while another candidate has room.
//
// Upstreams that do not take work, or have another version than the request
// asks for, are never candidates, under any strategy.
//
// Candidates: the first `home_candidates` on the consistent-hash ring after the
// hash of the prefix, called homes, are the same for every VM, so requests with
// the same prefix meet there. The others, up to `max_candidates`, follow this
// VM's own point on the ring.
// Cost: O(candidates * log blocks), independent of the number of upstreams
// while enough of those on the ring can be used.
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
#include "core/service_pace.hpp"
#include "core/time.hpp"
#include "core/upstream_speed.hpp"
#include "core/upstream_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

// In order of priority, highest first.
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

// The properties of a request that routing depends on.
struct request_features
{
    std::string service;
    std::string version;         // empty: any version
    std::string avoided_version; // not sent to this one; empty: none
    request_class priority = request_class::standard;
    prefix_chain prefix; // empty for plain services
    // Requests with the same key prefer the same upstreams; 0: the hash of the
    // first block of the prefix is the key.
    block_hash affinity_key = 0;
    std::uint32_t prompt_tokens = 0;   // estimate
    std::uint32_t expected_output = 0; // tokens, estimate
    duration latency_target{};         // of the first event; 0: by its class
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

// Latency target of a class, and the delay in milliseconds that it accepts to
// save a price of 1 per hour.
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
    // Share of the other VMs that are assumed to choose as this one does.
    double herd_share = 0.5;
    // A home that lacks the prefix is preferred as if it held this share of
    // the prompt.
    double home_discount = 0.2;
    std::array<class_routing, request_class_count> classes{
        {{700, 0}, {1'500, 20}, {5'000, 200}}};
    std::size_t cache_budget_blocks = 262'144;
    // Whether stated work times and reported memory count; false in tests
    // that compare decisions.
    bool uses_work_times = true;
};

class router
{
public:
    explicit router(routing_options options);

    // The upstream to send to; empty if none can take the request.
    // `exclusions`: upstreams that this request must not be sent to.
    std::optional<choice> choose(time_point now,
                                 request_features const& request,
                                 upstream_table const& table,
                                 std::vector<upstream_index> const& exclusions);

    void on_sent(time_point now, attempt_id attempt,
                 request_features const& request, choice const& picked,
                 upstream_table& table);

    // `cached_tokens`: as reported by the engine, if it reports them.
    void on_first_token(attempt_id attempt,
                        std::optional<std::uint32_t> cached_tokens);

    // The first event of a stream arrived. Repeated calls are ignored.
    void on_first_event(time_point now, attempt_id attempt,
                        upstream_table const& table);

    // A stream ended after `events` events; to be called before on_end.
    void on_last_event(time_point now, attempt_id attempt, std::uint64_t events,
                       upstream_table const& table);

    // Ignores unknown attempts, hence repeated calls.
    void on_end(time_point now, attempt_id attempt, upstream_table& table);

    // Ignores a report that is not newer than the last one.
    void on_report(upstream_index upstream, upstream_report const& report,
                   upstream_table& table);

    void on_cache_events(upstream_index upstream, cache_events const& events);

    // To be called when a row is removed or has a new incarnation.
    void on_upstream_reset(upstream_index upstream);

    // Estimate of the prefill tokens queued at the upstream at `now`.
    double queued_tokens(time_point now, upstream_index upstream,
                         upstream_row const& row) const;

    // Requests at the upstream, running and waiting, per slot: by its last
    // report and what was sent since.
    double load_of(upstream_index upstream, upstream_row const& row) const;

    prefix_cache const& cache() const
    {
        return cache_;
    }

    upstream_speed const& speed() const
    {
        return speed_;
    }

    // The usual pace of a service whose upstreams state their work time, else
    // null.
    service_pace const* pace_of(std::string const& service) const;

    // A lasting work factor that has changed.
    struct speed_change
    {
        upstream_index upstream = 0;
        upstream_speed::change factors;
    };
    std::vector<speed_change> take_speed_changes(time_point now,
                                                 upstream_table const& table);

    // The lasting work factors of the upstreams of services that state them.
    struct speed_range
    {
        double lowest = 1;
        double median = 1;
        double highest = 1;
    };
    speed_range speeds(time_point now, upstream_table const& table) const;

private:
    struct attempt_row
    {
        upstream_index upstream = 0;
        time_point sent_at;
        std::uint32_t uncached_tokens = 0;
        std::uint32_t predicted_cached_tokens = 0;
        bool first_token_seen = false;
        // For the service's pace, where one is known.
        std::optional<time_point> first_event_at;
        double usual_ms = 0; // predicted for an upstream of usual speed
        bool knows_uncached = false;
        bool lightly_loaded = false;
    };

    // An attempt of this VM that started or ended.
    struct recent_change
    {
        time_point at;
        std::uint32_t tokens; // uncached, if it started
        int in_flight;        // +1 or -1
    };

    // This VM's own work at one upstream.
    struct sent_work
    {
        // Uncached tokens of attempts that have no first token yet.
        std::uint64_t awaiting_tokens = 0;
        // Changes since the last report was measured, and their sums.
        // Without reports only the newest max_recent are kept.
        std::deque<recent_change> recent;
        std::uint64_t tokens_since_report = 0;
        int in_flight_since_report = 0;
        // Time that an attempt holds a slot, a moving average; 0: none ended.
        double mean_hold_ms = 0;
        // Memory that attempts took since the last report of memory was
        // measured.
        std::deque<recent_change> recent_memory;
        std::uint64_t memory_since_report = 0;
    };

    // The work waiting at an upstream and its speed, as one request finds them.
    struct prospect
    {
        choice option;
        double usual_ms = 0;   // predicted_ms at the usual speed
        double own_ms = 0;     // time that the request takes from others
        double prefill_ms = 0; // of its uncached tokens at the usual speed
        double load = 0;       // requests per slot
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
                                           request_features const& request,
                                           upstream_table const& table);
    std::optional<choice> choose_by_pace(time_point now,
                                         request_features const& request,
                                         upstream_table const& table,
                                         service_pace const& pace);
    prospect prospect_at(time_point now, request_features const& request,
                         upstream_table const& table, upstream_index upstream,
                         bool affinity, service_pace const& pace) const;
    void pass_over_full_memories(time_point now,
                                 request_features const& request,
                                 upstream_table const& table);
    double cached_tokens(request_features const& request,
                         upstream_index upstream) const;
    double affinity_bound(upstream_table const& table) const;
    double requests_before(time_point now, upstream_index upstream,
                           upstream_row const& row) const;
    std::optional<choice> choose_round_robin(time_point now,
                                             request_features const& request,
                                             upstream_table const& table);
    std::optional<choice>
    choose_least_in_flight(time_point now, request_features const& request,
                           upstream_table const& table);
    std::optional<choice> choose_power_of_two(time_point now,
                                              request_features const& request,
                                              upstream_table const& table);

    void collect_candidates(time_point now, request_features const& request,
                            upstream_table const& table,
                            std::vector<upstream_index> const& exclusions);
    double requests_at(upstream_index upstream, upstream_row const& row) const;
    double slot_wait_ms(time_point now, upstream_index upstream,
                        upstream_row const& row) const;
    // Factor from this VM's changes since a report to those of all VMs.
    double fleet_factor() const;
    void update_fleet_ratio(upstream_table const& table);
    void add_change(sent_work& own, recent_change const& change);
    choice predict(time_point now, request_features const& request,
                   upstream_table const& table, upstream_index upstream,
                   bool affinity) const;
    static void drop_oldest(sent_work& own);
    sent_work& work_at(upstream_index upstream);

    routing_options options_;
    strategy_member choose_with_;
    std::mt19937_64 random_;
    prefix_cache cache_;
    std::vector<candidate> candidates_; // of the decision being made
    std::uint64_t turns_ = 0;           // advances round_robin and ties
    std::vector<sent_work> sent_;       // by upstream
    // Requests in flight of all VMs at the candidates, for each one of this
    // VM's; a moving average over decisions.
    double fleet_ratio_ = 1;
    absl::flat_hash_map<attempt_id, attempt_row> attempts_;
    upstream_speed speed_;
    // Of services whose upstreams state their work time.
    std::map<std::string, service_pace, std::less<>> paces_;
    std::vector<prospect> prospects_; // of the decision being made
    std::vector<double> costs_;       // of prospects_
};

} // namespace amarantharch

#endif
