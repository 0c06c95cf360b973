// Version moves that an operator orders through the platform's store.
//
// Joins the orders to the table of moves and reports where each stands. Without
// a log for the moves' own records, VMs tell each other (see peer_exchange);
// the end that the store holds wins, so that a VM that starts after it does not
// try a bad version again. Such moves have seconds, not hours: few stages, all
// below the share that a bad version may get, and a verdict before the
// deadline.
// Cost: O(moves) a tick.
#ifndef AMARANTHARCH_CORE_ORDERED_MOVES_HPP
#define AMARANTHARCH_CORE_ORDERED_MOVES_HPP

#include "core/command.hpp"
#include "core/event.hpp"
#include "core/move_table.hpp"

#include <map>
#include <string>

namespace amarantharch
{

// Options for moves whose bad versions may get a tenth of the requests.
move_options short_move_options();

class ordered_moves
{
public:
    explicit ordered_moves(command_sink emit) : emit_(std::move(emit)) {}

    void handle(time_point now, version_ordered const& what, move_table& moves);
    void handle(time_point now, version_move_ended const& what,
                move_table& moves);

    // `is_mover`: this VM reports to the operator.
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
    // How the store says that moves have ended, by service.
    std::map<std::string, version_move_ended> ended_;
    command_sink emit_;
};

} // namespace amarantharch

#endif
