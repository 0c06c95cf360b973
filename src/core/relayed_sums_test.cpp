#include "core/relayed_sums.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

std::string const heavy = "heavy";

double grown(relayed_sums& sums, relay_version const& version, double units)
{
    auto const rows = sums.merge(version, {{heavy, units}});
    return rows.empty() ? 0 : rows.front().units;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sums_of_several_relays)

BOOST_AUTO_TEST_CASE(count_each_unit_once)
{
    relayed_sums sums;
    BOOST_TEST(grown(sums, {"a", 1, 1}, 100) == 0);
    BOOST_TEST(grown(sums, {"b", 1, 1}, 40) == 0);
    BOOST_TEST(grown(sums, {"a", 1, 2}, 130) == 30);
    BOOST_TEST(grown(sums, {"b", 1, 2}, 60) == 0); // part of the same growth
    BOOST_TEST(grown(sums, {"b", 1, 3}, 75) == 5);
    BOOST_TEST(sums.totals().at(heavy) == 35);
}

BOOST_AUTO_TEST_CASE(may_be_repeated_and_come_out_of_order)
{
    relayed_sums sums;
    grown(sums, {"a", 1, 1}, 0);
    BOOST_TEST(grown(sums, {"a", 1, 3}, 30) == 30);
    BOOST_TEST(grown(sums, {"a", 1, 2}, 20) == 0);
    BOOST_TEST(grown(sums, {"a", 1, 3}, 30) == 0);
    BOOST_TEST(grown(sums, {"a", 1, 4}, 31) == 1);
}

BOOST_AUTO_TEST_CASE(go_on_when_a_relay_starts_anew_or_is_replaced)
{
    relayed_sums sums;
    grown(sums, {"a", 1, 1}, 0);
    grown(sums, {"a", 1, 2}, 50);
    BOOST_TEST(grown(sums, {"a", 2, 1}, 7) == 0);
    BOOST_TEST(grown(sums, {"a", 2, 2}, 10) == 3);
    BOOST_TEST(grown(sums, {"c", 9, 1}, 1'000) == 0);
    BOOST_TEST(grown(sums, {"c", 9, 2}, 1'001) == 1);
}

BOOST_AUTO_TEST_CASE(charge_what_was_assumed_only_beyond_it)
{
    relayed_sums sums;
    grown(sums, {"a", 1, 1}, 0);
    sums.assume(heavy, 20);
    BOOST_TEST(grown(sums, {"a", 1, 2}, 15) == 0);
    BOOST_TEST(grown(sums, {"a", 1, 3}, 32) == 12);
}

// Two relays hear the same usage at different times; their messages are lost,
// and each may start anew. The total never exceeds the usage, and lags a relay
// that is heard only by what was unknown when that relay was first heard.
BOOST_AUTO_TEST_CASE(follow_the_truth_whatever_is_lost)
{
    struct relay
    {
        std::string name;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        double base = 0;   // the usage at its start
        double unseen = 0; // the usage that was not known at its first sum
    };
    for (unsigned seed = 0; seed < 300; ++seed)
    {
        std::mt19937 random(seed);
        relayed_sums sums;
        double truth = 0;
        std::vector<relay> relays{{"a"}, {"b"}};
        for (int step = 0; step < 200; ++step)
        {
            truth += static_cast<double>(random() % 10);
            relay& r = relays[random() % 2];
            if (random() % 50 == 0)
            {
                ++r.incarnation;
                r.sequence = 0;
                r.base = truth;
            }
            ++r.sequence;
            bool const lost = random() % 5 == 0 && r.sequence > 1;
            if (lost)
            {
                continue;
            }
            auto const known = sums.totals().find(heavy);
            if (r.sequence == 1)
            {
                r.unseen =
                    truth - (known == sums.totals().end() ? 0 : known->second);
            }
            sums.merge({r.name, r.incarnation, r.sequence},
                       {{heavy, truth - r.base}});
            BOOST_TEST(sums.totals().at(heavy) <= truth);
            BOOST_TEST(sums.totals().at(heavy) >= truth - r.unseen);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
