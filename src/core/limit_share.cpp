#include "core/limit_share.hpp"

#include <algorithm>

namespace amarantharch
{

namespace
{

duration seconds_of(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// `from` or the first of the times in steps of `interval` after it that is not
// before `least`.
time_point first_step(time_point from, duration interval, time_point least)
{
    if (from >= least)
    {
        return from;
    }
    auto const steps = (least - from + interval - duration(1)) / interval;
    return from + interval * steps;
}

} // namespace

limit_share::limit_share(time_point now, time_point since, double per_second,
                         fleet_position position)
    : per_second_(std::max(per_second, min_requests_per_second)), since_(since),
      position_(position)
{
    count_turns_anew(now);
}

void limit_share::change(time_point now, time_point since, double per_second)
{
    per_second_ = std::max(per_second, min_requests_per_second);
    since_ = since;
    count_turns_anew(now);
}

void limit_share::set_position(time_point now, fleet_position position)
{
    if (position != position_)
    {
        position_ = position;
        count_turns_anew(now);
    }
}

duration limit_share::interval() const
{
    double const vms =
        static_cast<double>(std::max<std::size_t>(position_.vms, 1));
    return std::max(seconds_of(vms / per_second_), duration(1));
}

void limit_share::count_turns_anew(time_point now)
{
    time_point const first =
        since_ +
        seconds_of(static_cast<double>(position_.rank + 1) / per_second_);
    next_ = first_step(first, interval(),
                       std::max(now, last_sent_ + interval() / 2));
}

time_point limit_share::next_turn(time_point now) const
{
    return position_.vms == 0
               ? time_point::max()
               : first_step(next_, interval(), now - turn_lifetime);
}

bool limit_share::admits(time_point now) const
{
    return next_turn(now) <= now;
}

void limit_share::on_sent(time_point now)
{
    next_ = next_turn(now);
    next_ += position_.vms == 0 ? duration::zero() : interval();
    last_sent_ = now;
}

} // namespace amarantharch
