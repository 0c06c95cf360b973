// Version moves that an operator orders through the platform's store.
//
// Adds ordered moves to the move table and reports their state. There is no log
// for the records of these moves, so VMs exchange them as peers (see
// peer_exchange). An outcome in the store takes precedence, so that a VM that
// starts later doesn't try a bad version again. These moves last seconds, not
// hours: they have few stages, all below the share of requests that a bad
// version may get, and are decided before the deadline.
// Cost: O(moves) per tick.
#ifndef AMARANTHARCH_CORE_ORDERED_MOVES_HPP
#define AMARANTHARCH_CORE_ORDERED_MOVES_HPP

#include "core/command.hpp"
#include "core/event.hpp"
#include "core/move_table.hpp"

#include <map>
#include <string>

namespace amarantharch
{

// Options for moves in which a bad version may get at most a tenth of the
// requests.
move_options short_move_options();

class ordered_moves
{
public:
    explicit ordered_moves(command_sink emit) : emit_(std::move(emit)) {}

    void handle(time_point now, version_ordered const& order,
                move_table& moves);
    void handle(time_point now, version_move_ended const& outcome,
                move_table& moves);

    // Reports changes of state. `is_mover`: this VM also reports to the
    // operator, repeatedly.
    void tick(time_point now, bool is_mover, move_table const& moves);

private:
    struct row
    {
        version_ordered order;
        bool reported = false;
        move_state state = move_state::running; // as last reported
        time_point repeat_due{};
    };

    std::map<std::string, row> rows_; // by service
    // Outcomes of moves as held by the store, by service.
    std::map<std::string, version_move_ended> ended_;
    command_sink emit_;
};

} // namespace amarantharch

#endif
