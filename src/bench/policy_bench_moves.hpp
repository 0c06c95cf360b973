// Moves of versions of many kinds, by the real decisions of several VMs over
// drawn outcomes.
#ifndef AMARANTHARCH_BENCH_POLICY_BENCH_MOVES_HPP
#define AMARANTHARCH_BENCH_POLICY_BENCH_MOVES_HPP

#include "core/version_move.hpp"

#include <cstdint>
#include <span>

namespace amarantharch::bench
{

// A kind of new version. Factors apply to what the old version does.
struct version_kind
{
    char const* name;
    bool good;
    double failures;       // share of its requests that fail, besides the usual
    double fails_from;     // from this share of the time on
    double slow_factor;    // at any load
    double slow_when_high; // in the high band
    bool one_route;        // only on the second route
    double usual_failures; // of both versions
    bool common_outage;    // both fail often for two minutes
};

std::span<version_kind const> version_kinds();

enum class mover_kind : std::uint8_t
{
    sequential, // the real one
    thresholds, // baseline: fixed stages, compared with history
};

struct move_result
{
    move_state state = move_state::running;
    double exposed_share = 0; // of all requests until the end of the move
    double bad_share = 0;     // of all requests: new while the badness showed
    double seconds_to_end = 0;
    std::uint64_t sent_after = 0; // to the new version 5 s after the end
};

// `cut_vm`: one VM neither hears nor is heard once the badness shows.
move_result run_move(version_kind const& kind, mover_kind mover,
                     std::uint64_t seed, bool cut_vm);

} // namespace amarantharch::bench

#endif
