#include "core/service_pace.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(the_usual_pace_of_a_service)

BOOST_AUTO_TEST_CASE(is_the_guess_until_answers_come)
{
    service_pace const pace(50);
    BOOST_TEST(pace.prefill_tokens_per_ms() == 50);
    BOOST_TEST(pace.gap_factor(10) == 0);
}

// Guards against a rate that differs with the share of slow upstreams which
// this VM happened to use.
BOOST_AUTO_TEST_CASE(is_learned_from_upstreams_of_any_speed)
{
    service_pace pace(50);
    std::mt19937 random(7); // NOLINT: the same samples in every run
    std::lognormal_distribution<double> noise(0, 0.3);
    for (int i = 0; i < 500; ++i)
    {
        double const factor = i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1 : 4;
        pace.on_first_event(6'600, 6'600 / 125.0 * factor * noise(random),
                            factor);
        pace.on_gap(8 * factor * noise(random), factor);
        pace.on_hold(400 * factor * noise(random), factor);
    }
    BOOST_TEST(std::abs(pace.prefill_tokens_per_ms() / 125 - 1) < 0.15);
    BOOST_TEST(std::abs(pace.hold_ms() / 400 - 1) < 0.15);
    BOOST_TEST(std::abs(pace.gap_factor(16) / 2 - 1) < 0.15);
}

BOOST_AUTO_TEST_CASE(is_moved_alike_by_any_sample)
{
    service_pace one(50);
    service_pace other(50);
    one.on_first_event(1e300, 1e-3, 1);
    other.on_first_event(6'000, 60, 1);
    BOOST_TEST(one.prefill_tokens_per_ms() == other.prefill_tokens_per_ms());
    for (int i = 0; i < 10'000; ++i)
    {
        one.on_first_event(1e300, 1, 1);
    }
    BOOST_TEST(one.prefill_tokens_per_ms() <= 1'000);
}

BOOST_AUTO_TEST_CASE(ignores_what_is_no_number)
{
    service_pace pace(50);
    pace.on_first_event(6'000, 0, 1);
    pace.on_first_event(0, 0, 1);
    pace.on_first_event(6'000, -5, 1);
    pace.on_hold(std::numeric_limits<double>::quiet_NaN(), 1);
    BOOST_TEST(pace.prefill_tokens_per_ms() == 50);
    BOOST_TEST(std::isfinite(pace.hold_ms()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
