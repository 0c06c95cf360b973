#include "core/capacity_plan.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

routing_tables tables()
{
    scaling_spec scaling;
    scaling.service = "pool";
    scaling.least = 1;
    scaling.most = 10;
    scaling.boot_time = seconds(4);
    scaling.reclaimable_price = 0.22;
    scaling.prices = {{"asan", 1.0}, {"patan", 0.8}};
    routing_tables result;
    result.scalings = {scaling};
    return result;
}

// Throughput of ten upstreams, five in each of two domains, in tokens a second.
constexpr std::uint64_t load_of_ten = 17'500;

struct fleet_simulation
{
    explicit fleet_simulation(std::uint64_t tokens_per_second = load_of_ten)
    {
        upstreams.put(profile("asan", false, 0));
        offer(tokens_per_second, seconds(60));
    }

    // Offers that load from now on, and lets `span` pass.
    void offer(std::uint64_t tokens_per_second, duration span)
    {
        offered = tokens_per_second;
        for (time_point const end = now + span; now < end; now += seconds(1))
        {
            count_load();
        }
    }

    void count_load()
    {
        if (offered > 0)
        {
            demand.on_admitted(now, "pool", offered);
        }
        demand.tick(now);
    }

    // Starts and stops upstreams as ordered, like the platform.
    void apply_order(upstream_order const& order)
    {
        plan.on_order_sent(now, order);
        bool const rejected = order.reclaimable && reclaimable_sold_out;
        plan.on_order_answered(now, order, !rejected);
        for (std::uint32_t i = 0; !rejected && i < order.count; ++i)
        {
            upstreams.put(profile(order.failure_domain, order.reclaimable, i));
        }
        for (std::uint32_t i = order.count; !rejected && i < 10; ++i)
        {
            upstreams.remove(
                profile(order.failure_domain, order.reclaimable, i).name, 0);
        }
    }

    static upstream_profile profile(std::string const& domain, bool reclaimable,
                                    std::uint32_t number)
    {
        upstream_profile p;
        p.name = domain + (reclaimable ? "-r" : "-o") + std::to_string(number);
        p.service = "pool";
        p.failure_domain = domain;
        p.reclaimable = reclaimable;
        return p;
    }

    // Lets `span` pass, each second with the orders that are due.
    void run_plan(duration span)
    {
        for (time_point const end = now + span; now < end; now += seconds(1))
        {
            count_load();
            for (upstream_order const& order :
                 plan.due_orders(now, tables(), upstreams, demand))
            {
                apply_order(order);
            }
        }
    }

    // Every upstream reports its part of `requests` in progress.
    void report(double requests)
    {
        auto const& present = upstreams.ring("pool");
        for (auto const& point : present)
        {
            upstream_report load;
            load.measured_at = now;
            if (states_work)
            {
                load.work = {now, 100, 100, 1};
            }
            load.running = static_cast<std::uint32_t>(
                requests / static_cast<double>(present.size()));
            upstreams.row(point.upstream).report = load;
        }
    }

    // The same as run_plan while `requests` are in progress.
    void run_reporting(double requests, duration span)
    {
        for (time_point const end = now + span; now < end;)
        {
            report(requests);
            run_plan(seconds(1));
        }
    }

    std::uint32_t running_in(std::string const& domain) const
    {
        return running(domain, true) + running(domain, false);
    }

    std::uint32_t running(std::string const& domain, bool reclaimable) const
    {
        std::uint32_t count = 0;
        for (auto const& point : upstreams.ring("pool"))
        {
            auto const& row = upstreams.row(point.upstream);
            count += row.profile.failure_domain == domain &&
                             row.profile.reclaimable == reclaimable &&
                             !row.leaving
                         ? 1
                         : 0;
        }
        return count;
    }

    // The platform gives notice to all reclaimable upstreams of the domain.
    void reclaim(std::string const& domain)
    {
        for (std::uint32_t i = 0; i < 10; ++i)
        {
            upstreams.mark_leaving(profile(domain, true, i).name, 0);
        }
    }

    capacity_plan plan{capacity_plan_options{}};
    service_demand demand;
    std::uint64_t offered = 0; // a second
    upstream_table upstreams;
    time_point now = start;
    bool reclaimable_sold_out = false;
    bool states_work = true; // in the upstreams' reports
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_capacity_plan)

BOOST_AUTO_TEST_CASE(replaces_dear_upstreams_by_reclaimable_ones)
{
    fleet_simulation fleet;
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        fleet.upstreams.put(fleet_simulation::profile("asan", false, i));
    }
    auto const first = fleet.plan.due_orders(fleet.now, tables(),
                                             fleet.upstreams, fleet.demand);
    bool const takes_any_away =
        std::any_of(first.begin(), first.end(),
                    [](upstream_order const& order)
                    {
                        return !order.reclaimable &&
                               order.failure_domain == "asan" &&
                               order.count < 5;
                    });
    BOOST_TEST(!takes_any_away);
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) == 4u);
    BOOST_TEST(fleet.running("asan", false) == 1u);
    BOOST_TEST(
        fleet.plan
            .due_orders(fleet.now, tables(), fleet.upstreams, fleet.demand)
            .empty());
}

BOOST_AUTO_TEST_CASE(puts_others_in_the_place_of_reclaimed_ones)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    fleet.reclaimable_sold_out = true;
    fleet.reclaim("patan");
    fleet.run_plan(seconds(1));
    BOOST_TEST(fleet.running("patan", false) == 4u);
    BOOST_TEST(fleet.running("asan", false) == 1u);
}

BOOST_AUTO_TEST_CASE(orders_reclaimable_ones_again_until_they_are_back)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    fleet.reclaimable_sold_out = true;
    fleet.reclaim("patan");
    fleet.run_plan(seconds(15));
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        fleet.upstreams.remove(fleet_simulation::profile("patan", true, i).name,
                               0);
    }
    fleet.reclaimable_sold_out = false;
    fleet.run_plan(seconds(30));
    BOOST_TEST(fleet.running("patan", true) == 4u);
    BOOST_TEST(fleet.running("patan", false) == 1u);
}

BOOST_AUTO_TEST_CASE(orders_no_reclaimable_ones_that_cost_as_much)
{
    routing_tables same = tables();
    same.scalings[0].reclaimable_price = 1;
    fleet_simulation fleet;
    for (upstream_order const& order :
         fleet.plan.due_orders(fleet.now, same, fleet.upstreams, fleet.demand))
    {
        BOOST_TEST((!order.reclaimable || order.count == 0));
    }
}

BOOST_AUTO_TEST_SUITE(sized_by_the_work_that_callers_offer)

BOOST_AUTO_TEST_CASE(grows_with_it_up_to_what_may_be_ordered)
{
    fleet_simulation fleet(load_of_ten / 2);
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) + fleet.running("asan", false) ==
               3u);
    fleet.offer(load_of_ten, seconds(20));
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) + fleet.running("asan", false) ==
               5u);
    fleet.offer(10 * load_of_ten, seconds(20));
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) + fleet.running("asan", false) ==
               10u);
}

BOOST_AUTO_TEST_CASE(does_not_shrink_between_two_waves)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    fleet.offer(load_of_ten * 6 / 10, seconds(10));
    fleet.run_plan(seconds(5));
    BOOST_TEST(fleet.running("patan", true) + fleet.running("patan", false) ==
               5u);
    fleet.offer(load_of_ten / 6, seconds(240));
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("patan", true) + fleet.running("patan", false) ==
               1u);
}

BOOST_AUTO_TEST_CASE(waits_until_all_upstreams_that_start_are_listed)
{
    fleet_simulation fleet(0);
    for (std::uint32_t i = 1; i < 5; ++i)
    {
        fleet.run_plan(seconds(1));
        BOOST_TEST(fleet.running("asan", false) == i);
        fleet.upstreams.put(fleet_simulation::profile("asan", false, i));
    }
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) + fleet.running("asan", false) ==
               5u);
}

BOOST_AUTO_TEST_CASE(keeps_what_runs_until_it_is_known)
{
    fleet_simulation fleet(0);
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        fleet.upstreams.put(fleet_simulation::profile("asan", false, i));
        fleet.upstreams.put(fleet_simulation::profile("patan", false, i));
    }
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running("asan", true) + fleet.running("asan", false) ==
               8u);
    BOOST_TEST(fleet.running("patan", true) == 6u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_domain_is_evacuated)

// Guards against orders for a domain that is evacuated, against the loss of
// what runs there, and against too few upstreams in the other domains.
BOOST_AUTO_TEST_CASE(divides_what_is_needed_over_the_others)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    auto const total = [&](std::string const& domain)
    {
        return fleet.running(domain, true) + fleet.running(domain, false);
    };
    std::uint32_t const each = total("patan");
    BOOST_REQUIRE(total("asan") == each);
    fleet.upstreams.set_evacuated("asan", true);
    for (int second = 0; second < 20; ++second)
    {
        fleet.count_load();
        for (upstream_order const& order : fleet.plan.due_orders(
                 fleet.now, tables(), fleet.upstreams, fleet.demand))
        {
            BOOST_TEST(order.failure_domain == "patan");
            fleet.apply_order(order);
        }
        fleet.now += seconds(1);
    }
    BOOST_TEST(total("asan") == each);
    BOOST_TEST(total("patan") >= 2 * each - 1);
    BOOST_TEST(total("patan") <= 2 * each);
}

// Guards against capacity that is given up before the restored domain serves
// again, and against capacity that is kept for good.
BOOST_AUTO_TEST_CASE(returns_to_the_former_numbers_some_time_after_it)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    std::uint32_t const each = fleet.plan.planned_each("pool");
    fleet.upstreams.set_evacuated("asan", true);
    fleet.run_plan(seconds(20));
    std::uint32_t const alone = fleet.plan.planned_each("pool");
    BOOST_TEST(alone > each);
    fleet.upstreams.set_evacuated("asan", false);
    fleet.run_plan(seconds(5));
    BOOST_TEST(fleet.plan.planned_each("pool") == alone);
    fleet.run_plan(seconds(15));
    BOOST_TEST(fleet.plan.planned_each("pool") == each);
}

// Guards against orders when there is no domain to place them in.
BOOST_AUTO_TEST_CASE(orders_nothing_if_all_are)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    fleet.upstreams.set_evacuated("asan", true);
    fleet.upstreams.set_evacuated("patan", true);
    fleet.now += seconds(30);
    BOOST_TEST(
        fleet.plan
            .due_orders(fleet.now, tables(), fleet.upstreams, fleet.demand)
            .empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sized_by_the_requests_in_progress)

// Guards against paying for upstreams that are idle because they are faster
// than the plan takes them to be.
BOOST_AUTO_TEST_CASE(asks_for_no_more_than_they_need)
{
    fleet_simulation fleet;
    fleet.run_reporting(22, seconds(60));
    BOOST_TEST(fleet.running_in("asan") == 2u);
    BOOST_TEST(fleet.running_in("patan") == 2u);
}

// Guards against a plan that falls behind a burst, which first shows as
// requests that wait at the upstreams.
BOOST_AUTO_TEST_CASE(grows_at_once_when_requests_wait_there)
{
    fleet_simulation fleet;
    fleet.run_reporting(22, seconds(60));
    fleet.report(50);
    fleet.run_plan(seconds(1));
    BOOST_TEST(fleet.plan.planned_each("pool") == 5u);
}

// Guards against giving capacity up in the trough of a wave.
BOOST_AUTO_TEST_CASE(does_not_shrink_in_a_short_trough)
{
    fleet_simulation fleet;
    fleet.run_reporting(50, seconds(60));
    BOOST_TEST(fleet.running_in("asan") == 5u);
    fleet.run_reporting(10, seconds(5));
    BOOST_TEST(fleet.running_in("asan") == 5u);
}

// Guards against ordering by a few upstreams that happen to be idle, when the
// reports of the others are missing, as after the loss of the VMs that read
// them.
BOOST_AUTO_TEST_CASE(follows_the_offered_load_while_few_report)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    upstream_report idle;
    idle.measured_at = fleet.now;
    idle.work = {fleet.now, 100, 100, 1};
    fleet.upstreams.row(fleet.upstreams.ring("pool")[0].upstream).report = idle;
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running_in("asan") == 5u);
}

// Guards against another size where the upstreams do not state a work time.
BOOST_AUTO_TEST_CASE(is_as_by_offered_load_where_no_work_time_is_stated)
{
    fleet_simulation fleet;
    fleet.states_work = false;
    fleet.run_reporting(22, seconds(60));
    BOOST_TEST(fleet.running_in("asan") == 5u);
}

// Guards against a short gap in the reports, after which the plan would pay for
// the number by offered load until it may shrink again.
BOOST_AUTO_TEST_CASE(keeps_to_them_over_a_short_gap)
{
    fleet_simulation fleet;
    fleet.run_reporting(22, seconds(60));
    fleet.run_plan(seconds(5));
    BOOST_TEST(fleet.plan.planned_each("pool") == 2u);
}

// Guards against sizing the fleet by reports that nobody has renewed.
BOOST_AUTO_TEST_CASE(ignores_reports_that_are_out_of_date)
{
    fleet_simulation fleet;
    fleet.run_plan(seconds(20));
    fleet.report(0);
    fleet.now += seconds(5);
    fleet.run_plan(seconds(20));
    BOOST_TEST(fleet.running_in("asan") == 5u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
