#include "core/limit_share.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

// The most of `times`, which are in order, in any span of four seconds.
std::size_t most_in_four_seconds(std::vector<time_point> const& times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        auto const last =
            std::lower_bound(first, times.end(), *first + seconds(4));
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

struct sharing_fleet
{
    sharing_fleet(std::size_t vms, double per_second)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            shares.emplace_back(now, now, per_second, fleet_position{i, vms});
        }
    }

    // VMs send whenever they may, at moments in random order; each has work in
    // one of `idleness` steps.
    void run(duration span, int idleness = 1)
    {
        for (time_point const end = now + span; now < end;
             now += milliseconds(20))
        {
            for (limit_share& each : shares)
            {
                if (random() % static_cast<unsigned>(idleness) == 0 &&
                    each.admits(now))
                {
                    each.on_sent(now);
                    sent.push_back(now);
                }
            }
        }
    }

    time_point now = start;
    std::vector<limit_share> shares;
    std::vector<time_point> sent;
    std::mt19937 random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_limit_shared_in_turns)

BOOST_AUTO_TEST_CASE(holds_and_is_used_in_a_fleet_of_any_size)
{
    for (std::size_t const vms : {1u, 2u, 9u, 86u, 195u})
    {
        for (double const limit : {0.5, 1.3, 5.0, 40.0})
        {
            BOOST_TEST_CONTEXT(vms << " VMs, " << limit << " a second")
            {
                sharing_fleet fleet(vms, limit);
                fleet.run(seconds(60));
                BOOST_TEST(static_cast<double>(most_in_four_seconds(
                               fleet.sent)) <= limit * 4.5 + 1);
                BOOST_TEST(static_cast<double>(fleet.sent.size()) >=
                           limit * 60 * 0.9 - 1);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(holds_after_a_time_without_work)
{
    sharing_fleet fleet(86, 1.3);
    fleet.now += seconds(300);
    fleet.run(seconds(20));
    BOOST_TEST(static_cast<double>(most_in_four_seconds(fleet.sent)) <=
               1.3 * 4.5 + 1);
}

BOOST_AUTO_TEST_CASE(holds_where_work_comes_now_and_then)
{
    sharing_fleet fleet(9, 2.3);
    fleet.run(seconds(120), 10);
    BOOST_TEST(static_cast<double>(most_in_four_seconds(fleet.sent)) <=
               2.3 * 4.5 + 1);
}

BOOST_AUTO_TEST_CASE(holds_while_it_changes_again_and_again)
{
    sharing_fleet fleet(9, 1.3);
    for (int i = 0; i < 60; ++i)
    {
        for (limit_share& each : fleet.shares)
        {
            each.change(fleet.now, fleet.now, i % 2 == 0 ? 1.6 : 1.3);
        }
        fleet.run(milliseconds(700));
    }
    BOOST_TEST(static_cast<double>(most_in_four_seconds(fleet.sent)) <=
               1.5 * 1.6 * 4 + 5);
}

BOOST_AUTO_TEST_CASE(counts_the_vms_as_they_are_listed)
{
    sharing_fleet fleet(9, 2.3);
    fleet.run(seconds(10));
    for (std::size_t i = 0; i < 9; ++i)
    {
        fleet.shares[i].set_position(fleet.now, {i, 10});
    }
    fleet.shares.emplace_back(fleet.now, start, 2.3, fleet_position{9, 10});
    fleet.run(seconds(60));
    BOOST_TEST(static_cast<double>(most_in_four_seconds(fleet.sent)) <=
               2.3 * 4.5 + 2);
}

BOOST_AUTO_TEST_CASE(has_no_turn_while_the_vms_are_not_known)
{
    limit_share share(start, start, 1.3, {});
    BOOST_TEST(!share.admits(start + seconds(100)));
    share.on_sent(start + seconds(100));
    BOOST_TEST((share.next_turn(start) == time_point::max()));
    share.set_position(start + seconds(100), {0, 1});
    BOOST_TEST(share.admits(start + seconds(102)));
}

BOOST_AUTO_TEST_SUITE(tells_its_next_turn)

BOOST_AUTO_TEST_CASE(which_is_open_then_and_not_before)
{
    limit_share share(start, start, 2, {2, 4});
    time_point const turn = share.next_turn(start);
    BOOST_TEST((turn == start + milliseconds(1'500)));
    BOOST_TEST(!share.admits(turn - duration(1)));
    BOOST_TEST(share.admits(turn));
    share.on_sent(turn);
    BOOST_TEST(!share.admits(turn + duration(1)));
    BOOST_TEST((share.next_turn(turn) == turn + seconds(2)));
}

BOOST_AUTO_TEST_CASE(which_is_lost_after_its_lifetime)
{
    limit_share share(start, start, 2, {2, 4});
    time_point const late = share.next_turn(start) + limit_share::turn_lifetime;
    BOOST_TEST(share.admits(late));
    BOOST_TEST(!share.admits(late + duration(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
