// Moves a service's traffic from an old version to a new one.
//
// The share of the new version grows by stages. Half of the time until the
// deadline is spent at the first stage, where few requests are exposed: it
// gives them evenly and in short pulses, so that the new upstreams are seen
// under load too while the mean share stays small. A further stage is taken
// only when its time has come and each (route, load band) that the old version
// serves has enough requests of the new one. The last stage keeps a few
// requests at the old version to compare with, for a soak; then the move is
// done. At the deadline an unfinished move is not_done and says what lacked.
//
// Evidence is a sequential test per (route, load band); that of all VMs is
// summed. When it is over the bound at any VM, that VM takes the move back at
// once and appends it to the log; taken back is final for the revision and
// wins over every other record. The bound divides alpha by twice max_cells, so
// the chance that a good version is ever taken back is at most alpha.
//
// Exposure is bounded fleet-wide without talk between VMs: each VM gives at
// most the stage's share of its own requests, and only the holder of the
// mover's role raises the stage, by a record on log_stream::control. A VM that
// has heard neither the log nor a peer for `stage_freshness` falls back to the
// first stage's share, and to none after `stop_after`.
// Cost: O(1) a request, O(VMs * cells) a tick.
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
    taken_back,
    not_done,
};

inline constexpr name_table<move_state, 4> move_state_names{{
    {move_state::running, "running"},
    {move_state::done, "done"},
    {move_state::taken_back, "taken_back"},
    {move_state::not_done, "not_done"},
}};

// As configured; `revision` names this attempt to move and is never reused.
struct move_plan
{
    std::string revision;
    std::string service;
    std::string old_version;
    std::string new_version;
    time_point started;
    time_point deadline;
};

// One stage: from `from` of the time to the deadline on, at `share`.
struct move_stage
{
    double from;
    double share;
};

inline constexpr std::array<move_stage, 5> move_stages{
    {{0, 0.01}, {0.5, 0.05}, {0.6, 0.2}, {0.7, 0.5}, {0.8, 0.95}}};

struct move_options
{
    std::vector<move_stage> stages{move_stages.begin(), move_stages.end()};
    double alpha = 0.005;
    std::size_t max_cells = 32;          // further routes share the last cell
    std::uint64_t min_new_requests = 20; // of each cell, to leave a stage
    // Cells with less than this share of the old requests are not waited for.
    double min_cell_share = 0.02;
    duration pulse_period = std::chrono::seconds(60);
    double max_pulse_share = 0.25;
    double soak = 0.1; // of the time to the deadline, at the last stage
    duration stage_freshness = std::chrono::seconds(10);
    duration stop_after = std::chrono::seconds(60);
};

// On log_stream::control. Values of state as in move_state.
struct move_record
{
    std::string revision;
    std::uint8_t state = 0;
    std::uint32_t stage = 0;
    std::string reason; // evidence, or what lacked
    MSGPACK_DEFINE(revision, state, stage, reason)
};

struct cell_evidence
{
    std::string route;
    std::uint8_t band = 0;
    test_evidence evidence;
    MSGPACK_DEFINE(route, band, evidence)
};

// Gossiped; cumulative. The greatest (incarnation, sequence) is the newest.
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

    // The new version's share of the slots of the service's upstreams.
    void set_capacity_share(double capacity_share);

    // The share of requests that the new version gets now. To be remembered
    // with each request until its outcome.
    double share(time_point now) const;

    // The arm of a request: the same at every VM and for each retry.
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

    // The log or a peer was heard.
    void on_heard(time_point now);

    // A record of this move, in log order; others are ignored.
    void apply(move_record const& record);

    move_evidence evidence(std::string vm, std::uint64_t incarnation);
    void merge(move_evidence const& peer);

    // Looks at the evidence and the time; returns the record to append, if
    // any. Taking back is in force here at once, all else by apply().
    std::optional<move_record> tick(time_point now, bool is_mover);

    move_report report(time_point now) const;

    // Where the move stands, to be applied at other VMs.
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

    struct peer_row
    {
        std::uint64_t sequence = 0;
        std::map<cell_key, test_evidence> cells;
    };

    using cell_sums = std::map<cell_key, test_evidence>;

    sequential_test& cell(std::string const& route, load_band band);
    cell_sums sums() const;
    std::string found_worse(cell_sums const& cells) const;
    std::string lacking(cell_sums const& cells) const;
    std::optional<move_record> next_stage(time_point now);
    move_record record_of(move_state state, std::string reason) const;
    double elapsed(time_point now) const; // share of the time to the deadline

    move_plan plan_;
    move_options options_;
    move_state state_ = move_state::running;
    std::uint32_t stage_ = 0; // only grows
    std::string reason_;
    double capacity_share_ = 0.05;
    time_point heard_at_;
    std::optional<time_point> last_stage_since_;
    std::uint64_t evidence_sequence_ = 0;
    std::map<cell_key, sequential_test> cells_;
    std::map<std::string, peer_row> peers_; // by vm and incarnation
};

} // namespace amarantharch

#endif
