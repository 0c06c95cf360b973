// Fleets and workloads of the two users, drawn from a seeded generator.
#ifndef AMARANTHARCH_BENCH_POLICY_BENCH_WORKLOAD_HPP
#define AMARANTHARCH_BENCH_POLICY_BENCH_WORKLOAD_HPP

#include "bench/policy_bench_world.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace amarantharch::bench
{

enum class user_kind : std::uint8_t
{
    registry,     // bursts of claims, lookups, long surveys and drafts
    rucksackwerk, // short questions beside menu drafts with shared prefixes
};

inline constexpr name_table<user_kind, 2> user_kind_names{{
    {user_kind::registry, "registry"},
    {user_kind::rucksackwerk, "rucksackwerk"},
}};

struct workload_options
{
    user_kind user = user_kind::rucksackwerk;
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(60);
    double load = 1; // times the usual rate
    // The first organisation offers this many times its equal share.
    double heavy = 1;
};

inline constexpr std::size_t organisation_count = 5;

// The name of an organisation; the first one is the heavy one.
std::string organisation_name(std::size_t number);

std::vector<upstream_profile> fleet_of(user_kind user);

// In order of time.
std::vector<offered> make_workload(workload_options const& options);

} // namespace amarantharch::bench

#endif
