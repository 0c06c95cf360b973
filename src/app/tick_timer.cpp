#include "app/tick_timer.hpp"

#include <utility>

namespace amarantharch
{

tick_timer::tick_timer(std::chrono::milliseconds fast,
                       std::chrono::milliseconds slow,
                       std::function<void()> tick)
    : fast_(fast), slow_(slow)
{
    QObject::connect(&timer_, &QTimer::timeout, &timer_,
                     [this, tick = std::move(tick)]
                     {
                         if (timer_.intervalAsDuration() != interval())
                         {
                             timer_.setInterval(interval());
                         }
                         tick();
                     });
}

void tick_timer::start()
{
    timer_.start(interval());
}

void tick_timer::set_pace(tick_pace pace)
{
    pace_ = pace;
    // Setting the interval of a running timer starts it anew.
    if (timer_.isActive() && timer_.remainingTimeAsDuration() > interval())
    {
        timer_.setInterval(interval());
    }
}

} // namespace amarantharch
