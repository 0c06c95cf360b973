#include "core/service_demand.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

// One VM, and peers that report to it; all admit tokens at a steady rate.
struct fleet
{
    void run(std::uint64_t tokens_per_second, duration span)
    {
        for (time_point const end = now + span; now < end;
             now += milliseconds(500))
        {
            here.on_admitted(now, "pool", tokens_per_second / 2);
            here.tick(now);
            for (std::size_t i = 0; i < peers; ++i)
            {
                counted[i] += tokens_per_second / 2;
                here.merge(
                    now,
                    {"peer" + std::to_string(i), 1, {{"pool", counted[i]}}});
            }
        }
    }

    double rate() const
    {
        return here.rate(now, "pool").value_or(0);
    }

    static constexpr std::size_t peers = 4;
    std::uint64_t counted[peers] = {};
    service_demand here;
    time_point now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_demand_for_a_service)

BOOST_AUTO_TEST_CASE(is_unknown_until_requests_were_counted_for_a_while)
{
    fleet vms;
    vms.run(1'000, seconds(2));
    BOOST_TEST(!vms.here.rate(vms.now, "pool").has_value());
    BOOST_TEST(!vms.here.rate(vms.now, "other").has_value());
    vms.run(1'000, seconds(3));
    BOOST_TEST(vms.here.rate(vms.now, "pool").has_value());
}

BOOST_AUTO_TEST_CASE(is_that_of_all_vms)
{
    fleet vms;
    vms.run(1'000, seconds(20));
    BOOST_TEST(vms.rate() == 5'000, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(counts_vms_that_are_not_heard_like_the_others)
{
    fleet vms;
    vms.here.set_fleet_size(10);
    vms.run(1'000, seconds(20));
    BOOST_TEST(vms.rate() == 10'000, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(rises_fast_and_falls_slowly)
{
    fleet vms;
    vms.run(1'000, seconds(20));
    vms.run(2'000, seconds(6));
    BOOST_TEST(vms.rate() > 8'500);
    vms.run(1'000, seconds(6));
    BOOST_TEST(vms.rate() > 7'500);
    vms.run(1'000, seconds(180));
    BOOST_TEST(vms.rate() < 5'500);
}

// Guards against a plan without any demand during the warm-up, and against an
// old estimate that is taken for the present one.
BOOST_AUTO_TEST_CASE(starts_from_an_earlier_estimate_decayed_by_its_age)
{
    fleet vms;
    vms.here.restore(vms.now, vms.now - seconds(8), {{"pool", 1'000}});
    BOOST_TEST(vms.rate() == 1'000 * std::exp(-0.1),
               boost::test_tools::tolerance(0.001));
    vms.run(1'000, seconds(20));
    BOOST_TEST(vms.rate() == 5'000, boost::test_tools::tolerance(0.05));

    fleet late;
    late.here.restore(late.now, late.now - seconds(21), {{"pool", 1'000}});
    BOOST_TEST(!late.here.rate(late.now, "pool").has_value());
}

// Guards against a recorded estimate that replaces one of this process, and
// against one from a clock ahead that grows.
BOOST_AUTO_TEST_CASE(prefers_its_own_estimate_to_an_earlier_one)
{
    fleet vms;
    vms.run(1'000, seconds(20));
    double const own = vms.rate();
    vms.here.restore(vms.now, vms.now, {{"pool", 90'000}});
    BOOST_TEST(vms.rate() == own);

    fleet ahead;
    ahead.here.restore(ahead.now, ahead.now + seconds(5), {{"pool", 1'000}});
    BOOST_TEST(ahead.rate() == 1'000);
    BOOST_TEST(ahead.here.rates(ahead.now).size() == 1u);
    BOOST_TEST(ahead.here.rates(ahead.now).front().tokens_per_second == 1'000u);
}

BOOST_AUTO_TEST_CASE(bears_reports_that_are_late_repeated_or_of_a_new_process)
{
    fleet vms;
    vms.run(1'000, seconds(20));
    vms.here.merge(vms.now, {"peer0", 1, {{"pool", 5}}});
    vms.here.merge(vms.now, {"peer1", 0, {{"pool", 1'000'000'000}}});
    vms.here.merge(vms.now, {"peer2", 2, {{"pool", 10}}});
    vms.counted[2] = 10;
    vms.run(1'000, seconds(1));
    BOOST_TEST(vms.rate() < 5'500);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
