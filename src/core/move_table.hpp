// The version moves (rollouts of a new version) that are in progress.
//
// A row is one move of one service. Each request of that service is assigned
// to the old or the new version, and the outcome of its first attempt is
// evidence. VMs agree on the state of each move by applying the records of the
// control stream in log order; evidence is gossiped between peers (see
// core/version_move.hpp). A move is identified by the name and the content of
// its section, so a changed section starts a new move, and an unchanged one
// continues across configuration revisions.
// Cost: O(moves) per request and per tick. Memory: the evidence of all VMs.
#ifndef AMARANTHARCH_CORE_MOVE_TABLE_HPP
#define AMARANTHARCH_CORE_MOVE_TABLE_HPP

#include "core/configuration.hpp"
#include "core/log.hpp"
#include "core/version_move.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

// A request's assignment, kept until the outcome of its first attempt.
struct version_choice
{
    std::string move_revision; // empty: the service has no move
    std::string version;       // empty: any version
    std::string
        fallback_version; // if no upstream of `version` is usable; empty: none
    std::string avoided_version; // never route to this version; empty: none
    version_arm arm = version_arm::old_version;
    double new_share = 0;
    load_band band = load_band::low;
};

// Serialises a record for the log and for peers.
std::string encode(move_record const& record);

class move_table
{
public:
    // Adopts the moves of the revision in force; drops rows that it doesn't
    // contain.
    void configure(time_point now, configuration const& tables);

    // Adds a move that is not part of the configuration; it replaces an
    // earlier one of the same name. Without an old version in the plan, every
    // version but the new one counts as old.
    void add_ordered_move(time_point now, std::string name, move_plan plan,
                          move_options const& options);

    // The state of each move, as records that other VMs apply.
    std::vector<std::string> state_records() const;
    void apply(time_point now, std::vector<std::string> const& records);

    // The version that a request of `service` goes to.
    version_choice choose(time_point now, std::string const& service,
                          request_id const& request) const;

    // Outcome of the first attempt of a request assigned by `choice`;
    // `first_byte` is the time to the first byte of the answer.
    void on_answer(time_point now, std::string const& route,
                   version_choice const& choice, duration first_byte);
    void on_failure(std::string const& route, version_choice const& choice);

    // Applies the next records of the control stream.
    void apply(time_point now, log_batch const& batch);
    void merge(time_point now, move_evidence const& peer);
    std::vector<move_evidence> evidence(std::string const& vm,
                                        std::uint64_t incarnation);

    // Evaluates each move; returns the records to append to the control
    // stream. `is_mover`: this VM advances moves to their next stage.
    std::vector<std::string> tick(time_point now, bool is_mover);

    // By the move's name.
    std::map<std::string, move_report> reports(time_point now) const;

private:
    struct row
    {
        std::string name;
        version_move move;
        // A record that this VM must append and has not yet read back.
        std::optional<move_record> unconfirmed;
        time_point append_due{};
    };

    row* find(std::string const& revision);

    std::vector<row> rows_;
};

} // namespace amarantharch

#endif
