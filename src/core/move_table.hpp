// The version moves that the configuration names, and their part in requests.
//
// A row is one move of one service. Each request of that service is assigned
// to the old or the new version; the outcome of its first attempt is evidence.
// The rows of all VMs agree through records on the control stream, in log
// order; evidence spreads between peers (see core/version_move.hpp). A move is
// named by its section and what that says, so a changed section is a new move
// and an unchanged one goes on over configuration revisions.
// Cost: O(moves) a request and a tick; the evidence of all VMs is held.
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

// What a request remembers of its assignment until its first outcome.
struct version_choice
{
    std::string move;    // empty: the service is not moving
    std::string version; // empty: any version
    std::string other;   // to fall back to; empty: none
    std::string avoided; // never this version; empty: none is avoided
    version_arm arm = version_arm::old_version;
    double new_share = 0;
    load_band band = load_band::low;
};

// The bytes of a record, as they are kept in the log and sent to peers.
std::string encode(move_record const& record);

class move_table
{
public:
    // Takes the moves of the revision in force. Rows that it no longer names
    // are dropped.
    void configure(time_point now, configuration const& tables);

    // Takes a single move, ordered apart from any configuration; it replaces
    // an earlier one of the same name. A plan without an old version moves
    // from whatever is not the new one.
    void order(time_point now, std::string name, move_plan plan,
               move_options const& options);

    // Where each move stands, as records that other VMs apply.
    std::vector<std::string> state_records() const;
    void apply(time_point now, std::vector<std::string> const& records);

    // The version that a request of `service` goes to.
    version_choice choose(time_point now, std::string const& service,
                          request_id const& request) const;

    // The first attempt of a request assigned by `choice` was answered, after
    // `first_byte`, or failed.
    void answered(time_point now, std::string const& route,
                  version_choice const& choice, duration first_byte);
    void failed(std::string const& route, version_choice const& choice);

    // The next records of the control stream.
    void apply(time_point now, log_batch const& batch);
    void merge(time_point now, move_evidence const& peer);
    std::vector<move_evidence> evidence(std::string const& vm,
                                        std::uint64_t incarnation);

    // Looks at each move; returns the records to append to the control
    // stream. `is_mover`: this VM raises stages.
    std::vector<std::string> tick(time_point now, bool is_mover);

    // Reports by the moves' names.
    std::map<std::string, move_report> reports(time_point now) const;

private:
    struct row
    {
        std::string name;
        version_move move;
        // A record of this VM that has not been read back.
        std::optional<move_record> unsettled;
        time_point append_due{};
    };

    row* find(std::string const& revision);

    std::vector<row> rows_;
};

} // namespace amarantharch

#endif
