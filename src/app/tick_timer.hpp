// The timer of a process's ticks: often while requests wait for them, seldom
// otherwise, since each tick wakes the processor.
//
// The pace may be set after every event. It never puts off a tick that is due:
// a faster pace takes effect at once, a slower one with the next tick. So the
// time between two ticks is at most the slow interval, however often the pace
// changes, and at most the fast one from the moment it is set.
#ifndef AMARANTHARCH_APP_TICK_TIMER_HPP
#define AMARANTHARCH_APP_TICK_TIMER_HPP

#include <QTimer>

#include <chrono>
#include <functional>

namespace amarantharch
{

enum class tick_pace : std::uint8_t
{
    fast,
    slow,
};

class tick_timer
{
public:
    // `tick` is called from the event loop, never from inside a call of this
    // class, and may call set_pace.
    tick_timer(std::chrono::milliseconds fast, std::chrono::milliseconds slow,
               std::function<void()> tick);

    // Begins at the fast pace.
    void start();

    // Does nothing before start().
    void set_pace(tick_pace pace);

private:
    std::chrono::milliseconds interval() const
    {
        return pace_ == tick_pace::fast ? fast_ : slow_;
    }

    QTimer timer_;
    std::chrono::milliseconds fast_;
    std::chrono::milliseconds slow_;
    tick_pace pace_ = tick_pace::fast;
};

} // namespace amarantharch

#endif
