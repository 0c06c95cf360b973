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

site tables()
{
    scaling_spec scaling;
    scaling.service = "pool";
    scaling.least = 1;
    scaling.most = 10;
    scaling.boot_time = seconds(4);
    scaling.reclaimable_price = 0.22;
    scaling.prices = {{"asan", 1.0}, {"patan", 0.8}};
    site result;
    result.scalings = {scaling};
    return result;
}

// Work that five upstreams in each of two domains do.
constexpr std::uint64_t work_of_ten = 17'500;

struct world
{
    explicit world(std::uint64_t tokens_per_second = work_of_ten)
    {
        upstreams.put(profile("asan", false, 0));
        offer(tokens_per_second, seconds(60));
    }

    // Lets callers offer that much from now on, and `span` pass.
    void offer(std::uint64_t tokens_per_second, duration span)
    {
        offered = tokens_per_second;
        for (time_point const end = now + span; now < end; now += seconds(1))
        {
            take_work();
        }
    }

    void take_work()
    {
        if (offered > 0)
        {
            demand.admitted(now, "pool", offered);
        }
        demand.tick(now);
    }

    // Starts and ends upstreams as ordered.
    void carry_out(upstream_order const& order)
    {
        plan.sent(now, order);
        bool const none = order.reclaimable && dry;
        plan.answered(now, order, !none);
        for (std::uint32_t i = 0; !none && i < order.count; ++i)
        {
            upstreams.put(profile(order.failure_domain, order.reclaimable, i));
        }
        for (std::uint32_t i = order.count; !none && i < 10; ++i)
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

    void settle(duration span)
    {
        for (time_point const end = now + span; now < end; now += seconds(1))
        {
            take_work();
            for (upstream_order const& order :
                 plan.due(now, tables(), upstreams, demand))
            {
                carry_out(order);
            }
        }
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
    bool dry = false; // no reclaimable ones are to be had
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_capacity_plan)

BOOST_AUTO_TEST_CASE(replaces_dear_upstreams_by_reclaimable_ones)
{
    world w;
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        w.upstreams.put(world::profile("asan", false, i));
    }
    auto const first = w.plan.due(w.now, tables(), w.upstreams, w.demand);
    bool const takes_any_away =
        std::any_of(first.begin(), first.end(),
                    [](upstream_order const& order)
                    {
                        return !order.reclaimable &&
                               order.failure_domain == "asan" &&
                               order.count < 5;
                    });
    BOOST_TEST(!takes_any_away);
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) == 4u);
    BOOST_TEST(w.running("asan", false) == 1u);
    BOOST_TEST(w.plan.due(w.now, tables(), w.upstreams, w.demand).empty());
}

BOOST_AUTO_TEST_CASE(puts_others_in_the_place_of_reclaimed_ones)
{
    world w;
    w.settle(seconds(20));
    w.dry = true;
    w.reclaim("patan");
    w.settle(seconds(1));
    BOOST_TEST(w.running("patan", false) == 4u);
    BOOST_TEST(w.running("asan", false) == 1u);
}

BOOST_AUTO_TEST_CASE(orders_reclaimable_ones_again_until_they_are_back)
{
    world w;
    w.settle(seconds(20));
    w.dry = true;
    w.reclaim("patan");
    w.settle(seconds(15));
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        w.upstreams.remove(world::profile("patan", true, i).name, 0);
    }
    w.dry = false;
    w.settle(seconds(30));
    BOOST_TEST(w.running("patan", true) == 4u);
    BOOST_TEST(w.running("patan", false) == 1u);
}

BOOST_AUTO_TEST_CASE(orders_no_reclaimable_ones_that_cost_as_much)
{
    site same = tables();
    same.scalings[0].reclaimable_price = 1;
    world w;
    for (upstream_order const& order :
         w.plan.due(w.now, same, w.upstreams, w.demand))
    {
        BOOST_TEST((!order.reclaimable || order.count == 0));
    }
}

BOOST_AUTO_TEST_SUITE(sized_by_the_work_that_callers_offer)

BOOST_AUTO_TEST_CASE(grows_with_it_up_to_what_may_be_ordered)
{
    world w(work_of_ten / 2);
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) + w.running("asan", false) == 3u);
    w.offer(work_of_ten, seconds(20));
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) + w.running("asan", false) == 5u);
    w.offer(10 * work_of_ten, seconds(20));
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) + w.running("asan", false) == 10u);
}

BOOST_AUTO_TEST_CASE(does_not_shrink_between_two_waves)
{
    world w;
    w.settle(seconds(20));
    w.offer(work_of_ten * 6 / 10, seconds(10));
    w.settle(seconds(5));
    BOOST_TEST(w.running("patan", true) + w.running("patan", false) == 5u);
    w.offer(work_of_ten / 6, seconds(240));
    w.settle(seconds(20));
    BOOST_TEST(w.running("patan", true) + w.running("patan", false) == 1u);
}

BOOST_AUTO_TEST_CASE(waits_until_all_upstreams_that_start_are_listed)
{
    world w(0);
    for (std::uint32_t i = 1; i < 5; ++i)
    {
        w.settle(seconds(1));
        BOOST_TEST(w.running("asan", false) == i);
        w.upstreams.put(world::profile("asan", false, i));
    }
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) + w.running("asan", false) == 5u);
}

BOOST_AUTO_TEST_CASE(keeps_what_runs_until_it_is_known)
{
    world w(0);
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        w.upstreams.put(world::profile("asan", false, i));
        w.upstreams.put(world::profile("patan", false, i));
    }
    w.settle(seconds(20));
    BOOST_TEST(w.running("asan", true) + w.running("asan", false) == 8u);
    BOOST_TEST(w.running("patan", true) == 6u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
