// The fleet's duties: reporting usage and ordering upstreams, done by one VM at
// a time, their holder.
//
// duty_log elects the holder and fences off earlier ones; capacity_plan
// determines which upstreams to order. This class does no input or output
// itself: it emits commands and handles the events that answer them.
// Cost: none at VMs that neither hold the duties nor stand by for them.
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

    // `watches`: whether this VM is a standby, which takes the duties over if
    // their holder falls silent.
    void tick(time_point now, bool watches, request_path& requests);

    void handle(time_point now, duty_log_read const& result);
    void handle(time_point now, duty_log_gone const& result);
    void handle(time_point now, duty_log_failed const& result);
    void handle(time_point now, duty_record_appended const& result);
    void handle(time_point now, usage_reported const& result);
    void handle(time_point now, order_answered const& result);

    // Whether this VM has the duties.
    bool holds() const
    {
        return log_.holds();
    }

private:
    void record_holder_change();

    fleet_duties_options options_;
    command_sink emit_;
    duty_log log_;
    capacity_plan plan_;
    bool recorded_as_holder_ = false; // as last recorded in the time line
};

} // namespace amarantharch

#endif
