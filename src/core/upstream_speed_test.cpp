#include "core/upstream_speed.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

stated_work stated(time_point at, std::uint32_t percent)
{
    return {at, percent, percent, 1};
}

// Seconds of a value stated every 300 ms.
time_point state_for(upstream_speed& speed, time_point from, duration length,
                     std::uint32_t percent)
{
    time_point now = from;
    for (; now < from + length; now += milliseconds(300))
    {
        speed.on_stated(0, stated(now, percent));
    }
    return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_speed_of_an_upstream)

BOOST_AUTO_TEST_CASE(is_the_usual_one_until_something_is_known)
{
    upstream_speed speed;
    BOOST_TEST(speed.lasting(start, 7) == 1);
    BOOST_TEST(speed.momentary(start, 7) == 1);
    speed.on_stated(7, stated(start, 300));
    BOOST_TEST(speed.momentary(start, 3) == 1);
    speed.reset(7);
    speed.reset(1'000);
    BOOST_TEST(speed.momentary(start, 7) == 1);
}

// Guards against a slow moment that is taken for a slow upstream, and against
// one that is not noticed.
BOOST_AUTO_TEST_CASE(tells_a_moment_from_what_lasts)
{
    upstream_speed speed;
    time_point const now = state_for(speed, start, seconds(30), 60);
    BOOST_TEST(std::abs(speed.lasting(now, 0) - 0.6) < 0.05);
    speed.on_stated(0, stated(now, 150));
    BOOST_TEST(std::abs(speed.momentary(now, 0) - 1.5) < 0.01);
    BOOST_TEST(speed.lasting(now, 0) < 0.7);
    BOOST_TEST(speed.momentary(now + milliseconds(600), 0) < 1.0);
    BOOST_TEST(speed.momentary(now + seconds(10), 0) < 0.7);
}

BOOST_AUTO_TEST_CASE(follows_a_change_that_lasts)
{
    upstream_speed speed;
    time_point now = state_for(speed, start, seconds(60), 100);
    now = state_for(speed, now, seconds(60), 250);
    BOOST_TEST(speed.lasting(now, 0) > 2.2);
}

// Guards against many answers of one slow moment, each of which states it.
BOOST_AUTO_TEST_CASE(counts_a_moment_once)
{
    upstream_speed speed;
    time_point const now = state_for(speed, start, seconds(30), 100);
    for (int i = 0; i < 500; ++i)
    {
        speed.on_stated(0, stated(now + milliseconds(1) * i, 250));
    }
    BOOST_TEST(speed.lasting(now + milliseconds(500), 0) < 1.1);
}

BOOST_AUTO_TEST_CASE(is_moved_little_by_one_sample)
{
    upstream_speed speed;
    speed.on_stated(0, stated(start, 10'000));
    BOOST_TEST(speed.lasting(start, 0) <= (1 + max_work_factor) / 2);
    BOOST_TEST(speed.momentary(start, 0) <= max_work_factor);
    time_point const now = state_for(speed, start, seconds(60), 100);
    double const before = speed.lasting(now, 0);
    speed.on_observed(now, 0, 1e300);
    BOOST_TEST(speed.lasting(now, 0) - before < 0.1);
}

BOOST_AUTO_TEST_CASE(ignores_what_is_old_repeated_or_no_number)
{
    upstream_speed speed;
    time_point const now = state_for(speed, start, seconds(3), 200);
    double const before = speed.momentary(now, 0);
    speed.on_stated(0, stated(now - seconds(1), 10'000));
    speed.on_stated(0, stated(now, 0));
    for (double const factor :
         {std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity(), 0.0, -1.0})
    {
        speed.on_observed(now, 0, factor);
    }
    BOOST_TEST(speed.momentary(now, 0) == before);
}

BOOST_AUTO_TEST_CASE(stays_a_number_whatever_the_clock_does)
{
    upstream_speed speed;
    speed.on_stated(0, stated(start, 250));
    speed.on_observed(start - seconds(100), 0, 3);
    for (time_point const now :
         {start - seconds(1'000), start, start + minutes(100'000)})
    {
        BOOST_TEST(std::isfinite(speed.momentary(now, 0)));
        BOOST_TEST(speed.momentary(now, 0) >= min_work_factor);
        BOOST_TEST(speed.momentary(now, 0) <= max_work_factor);
    }
}

// Guards against an upstream that gets no work because it once was slow, and
// states nothing because it gets no work.
BOOST_AUTO_TEST_CASE(returns_to_the_usual_one_without_news)
{
    upstream_speed speed;
    time_point const now = state_for(speed, start, seconds(60), 2'000);
    BOOST_TEST(speed.lasting(now, 0) > 15);
    BOOST_TEST(speed.lasting(now + seconds(20), 0) > 15);
    BOOST_TEST(speed.lasting(now + minutes(5), 0) < 1.1);
}

BOOST_AUTO_TEST_CASE(follows_answers_where_nothing_is_stated)
{
    upstream_speed speed;
    time_point now = start;
    for (int i = 0; i < 30; ++i)
    {
        now += seconds(2);
        speed.on_observed(now, 0, 1.6);
    }
    BOOST_TEST(std::abs(speed.lasting(now, 0) - 1.6) < 0.1);
    BOOST_TEST(speed.momentary(now, 0) == speed.lasting(now, 0));
}

BOOST_AUTO_TEST_CASE(is_reported_once_when_it_has_changed_by_a_quarter)
{
    upstream_speed speed;
    BOOST_TEST(!speed.take_change(start, 0).has_value());
    time_point const now = state_for(speed, start, seconds(30), 160);
    auto const found = speed.take_change(now, 0);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->before == 1);
    BOOST_TEST(found->after > 1.5);
    BOOST_TEST(!speed.take_change(now, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
