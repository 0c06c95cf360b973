// Gradual rollout of a new version of a service, with automatic rollback.
//
// The new version's share of requests grows in stages. Half of the time until
// the deadline is spent in the first stage, which exposes few requests. It
// sends part of them at a steady rate and the rest in short pulses, so that the
// new upstreams are also observed under load while the mean share stays small.
// The next stage begins only when its time has come and when the new version
// has had enough requests in each (route, load band) that the old version
// serves. The last stage leaves a few requests at the old version for
// comparison during a soak time, after which the move is done, provided that
// the new version is shown not to be several times slower: over all routes with
// probability 1 - alpha, and for each route that the old version serves by more
// evidence for it than against. A move that is unfinished at the deadline ends
// as not_done, with the reason.
//
// Evidence is a sequential test per cell (route, load band), summed over all
// VMs. A VM at which it exceeds the bound rolls the move back at once and
// appends this to the log. A rollback is final for the revision and overrides
// every other record. A version that is much slower is found sooner by the sum
// over all cells, which is tested as well. The bound divides alpha by the
// number of tests, two per cell and one for the sum, so the probability that a
// good version is ever rolled back is at most alpha.
//
// Exposure is bounded fleet-wide without coordination: each VM sends at most
// the stage's share of its own requests to the new version, and only the holder
// of the mover's role advances the stage, by a record on log_stream::control.
// A VM that has heard from neither the log nor a peer for
// `isolation_fallback_after` falls back to the first stage's share, and after
// `isolation_stop_after` to none.
// Cost: O(1) per request, O(VMs * cells) per tick.
#ifndef AMARANTHARCH_CORE_VERSION_MOVE_HPP
#define AMARANTHARCH_CORE_VERSION_MOVE_HPP

#include "core/call.hpp"
#include "core/name_table.hpp"
#include "core/time.hpp"
#include "core/version_evidence.hpp"

#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace amarantharch
{

enum class load_band : std::uint8_t
{
    low,
    high, // the upstream had at least high_band_load of its slots in use
};

inline constexpr double high_band_load = 0.6;

inline constexpr name_table<load_band, 2> load_band_names{{
    {load_band::low, "low"},
    {load_band::high, "high"},
}};

enum class move_state : std::uint8_t
{
    running,
    done,
    rolled_back,
    not_done,
};

inline constexpr name_table<move_state, 4> move_state_names{{
    {move_state::running, "running"},
    {move_state::done, "done"},
    {move_state::rolled_back, "taken_back"},
    {move_state::not_done, "not_done"},
}};

// `revision` identifies this attempt to move and is never reused.
struct move_plan
{
    std::string revision;
    std::string service;
    std::string old_version;
    std::string new_version;
    time_point started;
    time_point deadline;
};

struct move_stage
{
    double from;  // earliest start, as a share of the time to the deadline
    double share; // of requests, to the new version
};

inline constexpr std::array<move_stage, 5> move_stages{
    {{0, 0.01}, {0.5, 0.05}, {0.6, 0.2}, {0.7, 0.5}, {0.8, 0.95}}};

struct move_options
{
    std::vector<move_stage> stages{move_stages.begin(), move_stages.end()};
    double alpha = 0.005;
    std::size_t max_cells = 32;          // further routes share the last cells
    std::uint64_t min_new_requests = 20; // per cell, to leave a stage
    // Cells with less than this share of the old version's requests need not
    // reach min_new_requests.
    double min_cell_share = 0.02;
    duration pulse_period = std::chrono::seconds(60);
    double max_pulse_share = 0.25;
    double soak_share =
        0.1; // share of the time to the deadline, in the last stage
    duration isolation_fallback_after = std::chrono::seconds(10);
    duration isolation_stop_after = std::chrono::seconds(60);
};

// A record on log_stream::control. `state` is a value of move_state.
struct move_record
{
    std::string revision;
    std::uint8_t state = 0;
    std::uint32_t stage = 0;
    std::string reason; // the evidence, or what is missing
    MSGPACK_DEFINE(revision, state, stage, reason)
};

struct cell_evidence
{
    std::string route;
    std::uint8_t band = 0;
    test_evidence evidence;
    MSGPACK_DEFINE(route, band, evidence)
};

// One VM's cumulative evidence, as gossiped. Within an incarnation the greatest
// sequence is the newest.
struct move_evidence
{
    std::string revision;
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<cell_evidence> cells;
    MSGPACK_DEFINE(revision, vm, incarnation, sequence, cells)
};

struct move_report
{
    move_state state = move_state::running;
    std::uint32_t stage = 0;
    double share = 0;
    std::string reason;
};

class version_move
{
public:
    version_move(move_plan plan, move_options options);

    // The new version's share of the capacity of the move's upstreams.
    void set_capacity_share(double capacity_share);

    // The share of requests that the new version gets now. The caller keeps it
    // with each request until the request's outcome.
    double share(time_point now) const;

    // The arm of a request: a hash of its id decides, so that every VM and
    // every retry agree while the share is the same.
    version_arm assign(time_point now, request_id const& id) const;

    std::uint32_t last_stage() const
    {
        return static_cast<std::uint32_t>(options_.stages.size() - 1);
    }

    // The outcome of a request's first attempt. `new_share`: share() when it
    // was assigned.
    void on_failure(std::string const& route, load_band band, version_arm arm,
                    double new_share);
    void on_answer(time_point now, std::string const& route, load_band band,
                   version_arm arm, duration first_byte);

    // The log or a peer has sent something.
    void on_contact(time_point now);

    // Applies a record, in log order; ignores those of other moves.
    void apply(move_record const& record);

    move_evidence evidence(std::string vm, std::uint64_t incarnation);
    void merge(move_evidence const& peer);

    // Evaluates the evidence and the time; returns the record to append, if
    // any. A rollback takes effect here at once, all else through apply().
    std::optional<move_record> tick(time_point now, bool is_mover);

    move_report report(time_point now) const;

    // The move's state, as a record that other VMs apply.
    move_record state_record() const;

    move_plan const& plan() const
    {
        return plan_;
    }

private:
    struct cell_key
    {
        std::string route;
        load_band band;
        bool operator<(cell_key const& other) const
        {
            return std::tie(route, band) < std::tie(other.route, other.band);
        }
    };

    struct peer_evidence
    {
        std::uint64_t sequence = 0;
        std::map<cell_key, test_evidence> cells;
    };

    using cell_sums = std::map<cell_key, test_evidence>;

    sequential_test& cell(std::string const& route, load_band band);
    cell_sums merged_evidence() const;
    static test_evidence sum_of(cell_sums const& cells);
    std::string find_regression(cell_sums const& cells) const;
    std::string missing_evidence(cell_sums const& cells) const;
    std::string missing_soundness(cell_sums const& cells) const;
    std::optional<move_record> next_stage(time_point now);
    move_record record_of(move_state state, std::string reason) const;
    double elapsed(time_point now) const; // as a share of the time to the
                                          // deadline

    move_plan plan_;
    move_options options_;
    move_state state_ = move_state::running;
    std::uint32_t stage_ = 0; // only grows
    std::string reason_;
    double capacity_share_ = 0.05;
    time_point last_contact_at_;
    std::optional<time_point> last_stage_since_;
    std::uint64_t evidence_sequence_ = 0;
    std::map<cell_key, sequential_test> cells_;
    std::map<std::string, peer_evidence> peers_; // by vm and incarnation
};

} // namespace amarantharch

#endif
