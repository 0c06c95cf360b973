#include "core/warm_up_share.hpp"

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

time_point const start = from_micros(1'700'000'000'000'000);
constexpr std::uint64_t upstream = 0x5c1e07a291bd3f06;

// What a cold upstream may get in any second (Bounds.ColdOvershoot, ColdSlack).
double bound(double per_second)
{
    return per_second * 1.5 + 5;
}

// The most of `times` in any second.
std::size_t most_in_a_second(std::vector<time_point> times)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        auto const last =
            std::lower_bound(first, times.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

// VMs that all have more requests for one cold upstream than they may send.
struct sharing_fleet
{
    struct vm
    {
        warm_up_share share;
        duration clock_error{};
        bool is_cut_off = false; // keeps the list of VMs that it has
    };

    sharing_fleet(std::size_t count, double rate) : per_second(rate)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            vms.push_back(started(i, count));
        }
    }

    vm started(std::size_t rank, std::size_t count) const
    {
        return {warm_up_share(now, upstream, per_second, {rank, count}, now)};
    }

    void list_anew()
    {
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (!vms[i].is_cut_off)
            {
                vms[i].share.set_position(now, {i, vms.size()});
            }
        }
    }

    void run(duration span)
    {
        for (time_point const end = now + span; now < end;
             now += milliseconds(10))
        {
            for (vm& each : vms)
            {
                time_point const seen = now + each.clock_error;
                if (each.share.admits(seen))
                {
                    each.share.on_sent(seen);
                    sent.push_back(now);
                }
            }
        }
    }

    double per_second;
    time_point now = start;
    std::vector<vm> vms;
    std::vector<time_point> sent;
    std::mt19937 random{1};
};

constexpr double rates[] = {0.5, 3, 9.2, 30};
constexpr std::size_t sizes[] = {1, 2, 9, 71, 84};

// Checks a fleet of each size at each rate after `change` has made its faults.
template <typename Change>
void check(Change change)
{
    for (std::size_t const size : sizes)
    {
        for (double const rate : rates)
        {
            BOOST_TEST_CONTEXT(size << " VMs, " << rate << " a second")
            {
                sharing_fleet fleet(size, rate);
                fleet.run(seconds(10));
                change(fleet);
                BOOST_TEST(static_cast<double>(most_in_a_second(fleet.sent)) <=
                           bound(rate));
            }
        }
    }
}

// Fleets of this size do not double when three VMs join.
constexpr std::size_t least_of_grown_fleet = 9;

// Cuts a quarter of the VMs off, or a random half, and lets three others join.
void cut_some_off_and_add_others(sharing_fleet& fleet, bool is_domain)
{
    std::size_t const quarter = (fleet.vms.size() + 3) / 4;
    for (std::size_t i = 0; i < fleet.vms.size(); ++i)
    {
        fleet.vms[i].is_cut_off =
            is_domain ? i < quarter : fleet.random() % 2 == 0;
    }
    for (int joined = 0; joined < 3; ++joined)
    {
        fleet.vms.push_back(
            fleet.started(fleet.vms.size(), fleet.vms.size() + 1));
        fleet.list_anew();
        fleet.run(seconds(20));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_requests_for_a_cold_upstream)

BOOST_AUTO_TEST_SUITE(stay_within_what_it_can_handle)

// Guards against a share that is too large, or so small that the upstream's
// capacity is not used.
BOOST_AUTO_TEST_CASE(and_use_it_in_a_fleet_of_any_size)
{
    for (std::size_t const size : sizes)
    {
        for (double const rate : rates)
        {
            BOOST_TEST_CONTEXT(size << " VMs, " << rate << " a second")
            {
                sharing_fleet fleet(size, rate);
                fleet.run(seconds(60));
                BOOST_TEST(static_cast<double>(most_in_a_second(fleet.sent)) <=
                           rate * 1.2 + 2);
                BOOST_TEST(static_cast<double>(fleet.sent.size()) >=
                           rate * 59 * 0.9 - 2);
            }
        }
    }
}

// Guards against a restarted VM that sends once more what it has sent before.
BOOST_AUTO_TEST_CASE(while_vms_restart)
{
    check(
        [](sharing_fleet& fleet)
        {
            for (int i = 0; i < 120; ++i)
            {
                std::size_t const which = fleet.random() % fleet.vms.size();
                fleet.vms[which] = fleet.started(which, fleet.vms.size());
                fleet.run(milliseconds(100 + fleet.random() % 200));
            }
        });
}

// Guards against a burst when the whole fleet starts again.
BOOST_AUTO_TEST_CASE(while_all_vms_restart_at_once)
{
    check(
        [](sharing_fleet& fleet)
        {
            for (int round = 0; round < 10; ++round)
            {
                for (std::size_t i = 0; i < fleet.vms.size(); ++i)
                {
                    fleet.vms[i] = fleet.started(i, fleet.vms.size());
                }
                fleet.run(milliseconds(1'700));
            }
        });
}

// Guards against a share of VMs without contact that rests on an old list while
// the others have a new one: one failure domain, and a random half. Fleets that
// grow to twice their size meanwhile are the next case.
BOOST_AUTO_TEST_CASE(while_vms_are_cut_off_and_others_join)
{
    for (bool const is_domain : {true, false})
    {
        check(
            [is_domain](sharing_fleet& fleet)
            {
                if (fleet.vms.size() >= least_of_grown_fleet)
                {
                    cut_some_off_and_add_others(fleet, is_domain);
                }
            });
    }
}

// Guards against the same where the old list has less than half of the VMs. See
// the header, and KNOWN-RED.txt: the bound does not hold at 30 requests a
// second.
BOOST_AUTO_TEST_CASE(while_vms_are_cut_off_and_the_fleet_doubles)
{
    for (bool const is_domain : {true, false})
    {
        check(
            [is_domain](sharing_fleet& fleet)
            {
                if (fleet.vms.size() < least_of_grown_fleet)
                {
                    cut_some_off_and_add_others(fleet, is_domain);
                }
            });
    }
}

// Guards against shares that add up to more while the list changes: each VM
// hears of it at another moment.
BOOST_AUTO_TEST_CASE(while_vms_join_and_leave)
{
    check(
        [](sharing_fleet& fleet)
        {
            for (int round = 0; round < 12; ++round)
            {
                if (round % 3 == 2 && fleet.vms.size() > 1)
                {
                    fleet.vms.erase(fleet.vms.begin());
                }
                else
                {
                    fleet.vms.push_back(
                        fleet.started(fleet.vms.size(), fleet.vms.size() + 1));
                }
                std::vector<std::size_t> order(fleet.vms.size());
                for (std::size_t i = 0; i < order.size(); ++i)
                {
                    order[i] = i;
                }
                std::ranges::shuffle(order, fleet.random);
                for (std::size_t const i : order)
                {
                    fleet.vms[i].share.set_position(fleet.now,
                                                    {i, fleet.vms.size()});
                    fleet.run(milliseconds(20));
                }
                fleet.run(seconds(3));
            }
        });
}

// Guards against VMs that start one after the other and each believe that they
// are few: their lists of VMs are short while they are read.
BOOST_AUTO_TEST_CASE(while_a_fleet_starts_one_by_one)
{
    for (double const rate : rates)
    {
        sharing_fleet fleet(1, rate);
        for (std::size_t count = 2; count <= 71; ++count)
        {
            fleet.vms.push_back(fleet.started(count - 1, count));
            fleet.list_anew();
            fleet.run(milliseconds(150));
        }
        fleet.run(seconds(10));
        BOOST_TEST(static_cast<double>(most_in_a_second(fleet.sent)) <=
                   bound(rate));
    }
}

// Guards against clocks that disagree by what a time service leaves.
BOOST_AUTO_TEST_CASE(though_clocks_are_off)
{
    check(
        [](sharing_fleet& fleet)
        {
            for (sharing_fleet::vm& each : fleet.vms)
            {
                each.clock_error =
                    milliseconds(static_cast<int>(fleet.random() % 300) - 150);
            }
            // The step of the clocks itself is no part of the case.
            fleet.run(seconds(2));
            fleet.sent.clear();
            fleet.run(seconds(60));
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_one_vm)

// Guards against requests by a VM that does not know how many share the rate.
BOOST_AUTO_TEST_CASE(have_no_turn_while_the_vms_are_not_known)
{
    warm_up_share share(start, upstream, 3, {}, start);
    BOOST_TEST(!share.admits(start + seconds(100)));
    share.on_sent(start + seconds(100));
    BOOST_TEST((share.next_turn(start) == time_point::max()));
    share.set_position(start + seconds(100), {0, 1});
    BOOST_TEST(!share.admits(start + seconds(100)));
    time_point const turn = share.next_turn(start + seconds(100));
    BOOST_TEST((turn >= start + seconds(101)));
    BOOST_TEST((turn <= start + seconds(102)));
}

// Guards against a turn that is told at one moment and open at another.
BOOST_AUTO_TEST_CASE(have_a_turn_when_it_is_told_and_not_before)
{
    warm_up_share share(start, upstream, 2, {2, 4}, start);
    time_point const turn = share.next_turn(start);
    BOOST_TEST(!share.admits(turn - duration(1)));
    BOOST_TEST(share.admits(turn));
    BOOST_TEST(share.admits(turn + warm_up_share::turn_lifetime));
    BOOST_TEST(
        !share.admits(turn + warm_up_share::turn_lifetime + duration(1)));
    share.on_sent(turn);
    BOOST_TEST(!share.admits(turn + duration(1)));
    BOOST_TEST((share.next_turn(turn) == turn + seconds(2)));
}

// Guards against VMs that have the same slot.
BOOST_AUTO_TEST_CASE(have_slots_that_no_other_vm_has)
{
    for (std::size_t vms = 1; vms <= 90; ++vms)
    {
        std::vector<time_point> turns;
        for (std::size_t rank = 0; rank < vms; ++rank)
        {
            turns.push_back(
                warm_up_share(start, upstream, 5, {rank, vms}, start)
                    .next_turn(start));
        }
        std::ranges::sort(turns);
        for (std::size_t i = 1; i < turns.size(); ++i)
        {
            BOOST_TEST((turns[i] - turns[i - 1] > milliseconds(190)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
