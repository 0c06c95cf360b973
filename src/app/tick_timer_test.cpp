#include "app/tick_timer.hpp"

#include "app/process_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <QElapsedTimer>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(tick_timer_test)

constexpr std::chrono::milliseconds fast{10};
constexpr std::chrono::milliseconds slow{50};

struct fixture
{
    fixture()
    {
        (void)testing::application();
        timer.start();
    }

    // Runs the event loop for `time`, and calls `event` every `gap`.
    void run_for(std::chrono::milliseconds time, std::chrono::milliseconds gap,
                 std::function<void()> const& event)
    {
        QEventLoop loop;
        QTimer events;
        QObject::connect(&events, &QTimer::timeout, &loop, event);
        events.start(gap);
        QTimer::singleShot(time, Qt::PreciseTimer, &loop, &QEventLoop::quit);
        (void)loop.exec();
    }

    int ticks = 0;
    tick_timer timer{fast, slow,
                     [this]
                     {
                         ++ticks;
                     }};
};

// Guards against ticks that never come while requests start and end in less
// time than an interval: each change of the pace started the interval anew.
BOOST_FIXTURE_TEST_CASE(short_requests_do_not_put_off_the_ticks, fixture)
{
    bool busy = false;
    run_for(slow * 10, std::chrono::milliseconds(3),
            [&]
            {
                busy = !busy;
                timer.set_pace(busy ? tick_pace::fast : tick_pace::slow);
            });
    // One may still be due, and a busy machine may be late with one.
    BOOST_TEST(ticks >= 8);
}

BOOST_AUTO_TEST_CASE(a_faster_pace_takes_effect_at_once)
{
    constexpr std::chrono::milliseconds very_slow{2'000};
    (void)testing::application();
    int ticks = 0;
    tick_timer timer(fast, very_slow, [&] { ++ticks; });
    timer.start();
    timer.set_pace(tick_pace::slow);
    BOOST_REQUIRE(testing::run_until([&] { return ticks == 1; }));
    QElapsedTimer since;
    since.start();
    timer.set_pace(tick_pace::fast);
    BOOST_REQUIRE(testing::run_until([&] { return ticks == 2; }));
    BOOST_TEST(since.elapsed() < very_slow.count() / 2);
}

BOOST_FIXTURE_TEST_CASE(a_slow_pace_ticks_less_often, fixture)
{
    timer.set_pace(tick_pace::slow);
    run_for(slow * 10, slow * 20, [] {});
    BOOST_TEST(ticks >= 1);
    BOOST_TEST(ticks <= 12); // the first at the fast pace
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
