// A small fake of upstreams and callers around the real decisions, stepped on
// synthetic time. It stands at the interfaces of router, admission, retry
// budget and outlier detector; it is no model of a cluster.
#ifndef AMARANTHARCH_BENCH_POLICY_BENCH_WORLD_HPP
#define AMARANTHARCH_BENCH_POLICY_BENCH_WORLD_HPP

#include "core/admission.hpp"
#include "core/routing.hpp"
#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch::bench
{

// One request of the workload; `at` counts from the session's start at 0.
struct offered
{
    time_point at;
    std::string organisation;
    request_features what;
    std::uint32_t output_tokens = 0;
    bool idempotent = true;
};

// The events of a session.
struct world_faults
{
    duration report_lag = std::chrono::milliseconds(100);
    std::uint32_t lost_cache_events_percent = 5;
    // At half time the upstreams of one failure domain announce that they
    // leave, and die when the notice has passed.
    bool reclaim_wave = false;
    duration reclaim_notice = std::chrono::seconds(5);
    std::uint32_t failing_percent = 0; // of the attempts
    // In the middle third of the session all attempts fail.
    bool outage = false;
    // Every few seconds a request comes that kills each upstream that runs it.
    bool poison = false;
    // VMs do not hear each other's usage.
    bool peers_unheard = false;
};

enum class door_kind : std::uint8_t
{
    fair, // the real admission
    fifo, // baseline: first come, first served, fixed limit
};

enum class retry_kind : std::uint8_t
{
    budget, // the real retry budget
    fixed,  // baseline: up to three attempts
};

struct world_options
{
    std::uint64_t seed = 1;
    std::uint32_t vms = 8;
    duration length = std::chrono::seconds(60);
    routing_strategy strategy = routing_strategy::predicted;
    door_kind door = door_kind::fair;
    retry_kind retries = retry_kind::budget;
    std::vector<upstream_profile> upstreams;
    world_faults faults;
};

// What was measured, over all VMs.
struct world_result
{
    std::uint64_t requests = 0;
    std::uint64_t within_target = 0; // first token within the class's target
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t moved = 0;      // attempts moved off a leaving upstream
    std::uint64_t to_leaving = 0; // attempts sent 2 s or more after its notice
    std::uint64_t deaths = 0;     // of upstreams, by poison
    std::uint64_t computed_tokens = 0;   // prompt tokens computed
    std::uint64_t recomputed_tokens = 0; // of these, computed before somewhere
    std::vector<double> first_token_ms;
    std::vector<double> interactive_ms; // first token of this class
    std::vector<double> between_tokens_ms;
    std::map<std::string, std::uint64_t> requests_of; // by organisation
    std::map<std::string, std::uint64_t> late_of;     // late, refused or failed

    double amplification() const; // attempts per admitted request
    double late_share(std::string const& organisation) const;
    double late_share() const;
};

// The value below which `share` of the samples lie; 0 if there are none.
double percentile(std::vector<double> samples, double share);

// Runs the workload, which is ordered by time, to its end.
world_result run_world(world_options const& options,
                       std::vector<offered> const& workload);

} // namespace amarantharch::bench

#endif
