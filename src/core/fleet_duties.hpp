// The duties that one VM at a time has for the fleet: it reports usage and
// orders upstreams.
//
// Joins the log of duties, which says whether this VM may act, to what there is
// to do. It has no sockets; its commands are answered by events.
// Cost: nothing at VMs that neither hold the duties nor watch.
#ifndef AMARANTHARCH_CORE_FLEET_DUTIES_HPP
#define AMARANTHARCH_CORE_FLEET_DUTIES_HPP

#include "core/capacity_plan.hpp"
#include "core/command.hpp"
#include "core/duty_log.hpp"
#include "core/event.hpp"
#include "core/request_path.hpp"

#include <string>

namespace amarantharch
{

struct fleet_duties_options
{
    bool enabled = false;
    duty_log_options log;
    capacity_plan_options capacity;
};

class fleet_duties
{
public:
    fleet_duties(fleet_duties_options options, command_sink emit)
        : options_(std::move(options)), emit_(std::move(emit)),
          log_(options_.log), plan_(options_.capacity)
    {
    }

    // `watches`: this VM takes the duties over if their holder is silent.
    void tick(time_point now, bool watches, request_path& requests);

    void handle(time_point now, duty_log_read const& what);
    void handle(time_point now, duty_log_gone const& what);
    void handle(time_point now, duty_log_failed const& what);
    void handle(time_point now, duty_record_appended const& what);
    void handle(time_point now, usage_reported const& what);
    void handle(time_point now, order_answered const& what);

    bool holds() const
    {
        return log_.holds();
    }

private:
    void note_change();

    fleet_duties_options options_;
    command_sink emit_;
    duty_log log_;
    capacity_plan plan_;
    bool held_ = false; // as last noted
};

} // namespace amarantharch

#endif
