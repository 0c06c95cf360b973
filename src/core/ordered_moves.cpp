#include "core/ordered_moves.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

// Reports are repeated, so that a lost one is made up for by the next.
constexpr duration repeat_interval = std::chrono::seconds(5);

} // namespace

move_options short_move_options()
{
    move_options options;
    options.stages = {{0, 0.05}, {0.5, 0.07}};
    options.min_new_requests = 5;
    options.min_cell_share = 0.1;
    // A share of the time to the deadline, so that the move ends before it.
    options.soak_share = 0.35;
    options.max_pulse_share = 0.05;
    return options;
}

void ordered_moves::handle(time_point now, version_ordered const& order,
                           move_table& moves)
{
    row& r = rows_[order.service];
    if (r.order.revision == order.revision)
    {
        return;
    }
    r = row{order, false, move_state::running, {}};
    emit_(record_timeline{"move_ordered", "",
                          fmt::format("service={} version={} within_ms={}",
                                      order.service, order.version,
                                      to_millis(order.within))});
    moves.add_ordered_move(now, order.service,
                           {order.revision, order.service, "", order.version,
                            now, now + order.within},
                           short_move_options());
    if (auto const ended = ended_.find(order.service); ended != ended_.end())
    {
        handle(now, version_move_ended(ended->second), moves);
    }
}

void ordered_moves::handle(time_point now, version_move_ended const& outcome,
                           move_table& moves)
{
    ended_[outcome.service] = outcome;
    auto const known = rows_.find(outcome.service);
    if (known == rows_.end() || known->second.order.version != outcome.version)
    {
        return;
    }
    move_record record;
    record.revision = known->second.order.revision;
    record.state = static_cast<std::uint8_t>(
        outcome.done ? move_state::done : move_state::rolled_back);
    record.reason = "outcome held by the store";
    moves.apply(now, std::vector<std::string>{encode(record)});
}

void ordered_moves::tick(time_point now, bool is_mover, move_table const& moves)
{
    if (rows_.empty())
    {
        return;
    }
    auto const reports = moves.reports(now);
    for (auto& [service, r] : rows_)
    {
        auto const report = reports.find(service);
        if (report == reports.end())
        {
            continue;
        }
        bool const changed = !r.reported || r.state != report->second.state;
        if (changed)
        {
            emit_(record_timeline{
                "move_state", "",
                fmt::format("service={} version={} state={} reason=\"{}\"",
                            service, r.order.version,
                            name_in(move_state_names, report->second.state),
                            report->second.reason)});
        }
        r.reported = true;
        r.state = report->second.state;
        if (is_mover && (changed || now >= r.repeat_due))
        {
            r.repeat_due = now + repeat_interval;
            emit_(report_version_move{service, r.order.version, r.state});
        }
    }
}

} // namespace amarantharch
