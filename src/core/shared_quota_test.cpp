#include "core/shared_quota.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);
std::string const heavy = "heavy";

quota_spec limit()
{
    quota_spec quota;
    quota.rate_per_second = 1'000;
    quota.burst = 1'000;
    quota.counts_tokens = true;
    return quota;
}

shared_quota_options tolerant()
{
    shared_quota_options options;
    options.overshoot = 0.1;
    options.slack = 500;
    return options;
}

// Several VMs that exchange reports every 300 ms. At each of them one
// organisation asks for `demand` units a second, in requests of 20 units.
struct fleet
{
    fleet(std::size_t count, double demand_each)
        : vms(count, shared_quota(tolerant())), demand(demand_each)
    {
        for (shared_quota& vm : vms)
        {
            vm.set_fleet_size(count);
            vm.configure(start, heavy, limit());
        }
    }

    // Returns the units admitted at all VMs, one value for each step of 100 ms.
    std::vector<double> run(int steps, std::size_t cut_off = 0)
    {
        std::vector<double> admitted;
        for (int i = 0; i < steps; ++i)
        {
            now += milliseconds(100);
            admitted.push_back(0);
            for (shared_quota& vm : vms)
            {
                for (double asked = 0; asked < demand / 10; asked += 20)
                {
                    bool const allowed = vm.spend(now, heavy, 20).allowed;
                    admitted.back() += allowed ? 20 : 0;
                }
            }
            if (i % 3 == 0)
            {
                exchange(cut_off);
            }
        }
        return admitted;
    }

    // The first `cut_off` VMs neither send nor receive reports.
    void exchange(std::size_t cut_off)
    {
        for (std::size_t from = cut_off; from < vms.size(); ++from)
        {
            quota_report const report =
                vms[from].report(now, std::to_string(from), 1);
            for (std::size_t to = cut_off; to < vms.size(); ++to)
            {
                if (to != from)
                {
                    vms[to].merge(now, report);
                }
            }
        }
    }

    std::vector<shared_quota> vms;
    double demand;
    time_point now = start;
};

// The most units admitted in any window of 8 s.
double worst_window(std::vector<double> const& steps)
{
    constexpr std::size_t window = 80;
    double worst = 0;
    for (std::size_t i = 0; i + window <= steps.size(); ++i)
    {
        double sum = 0;
        for (std::size_t k = i; k < i + window; ++k)
        {
            sum += steps[k];
        }
        worst = std::max(worst, sum);
    }
    return worst;
}

// (rate x window + burst) x (1 + overshoot) + slack, with the values of
// tolerant() and limit().
constexpr double allowed_in_window = (1'000 * 8 + 1'000) * 1.1 + 500;

} // namespace

BOOST_AUTO_TEST_SUITE(a_shared_quota)

BOOST_AUTO_TEST_CASE(does_not_bind_who_has_no_limit)
{
    shared_quota quota(tolerant());
    quota.configure(start, "light", quota_spec{});
    BOOST_TEST(quota.spend(start, "light", 1e9).allowed);
    BOOST_TEST(quota.spend(start, "unknown", 1e9).allowed);
}

BOOST_AUTO_TEST_CASE(says_when_there_is_room_again)
{
    shared_quota quota(tolerant());
    quota.configure(start, heavy, limit());
    while (quota.spend(start, heavy, 100).allowed)
    {
    }
    quota_decision const refused = quota.spend(start, heavy, 100);
    BOOST_TEST(!refused.allowed);
    BOOST_TEST((refused.retry_after > duration::zero()));
    BOOST_TEST(quota.spend(start + refused.retry_after, heavy, 100).allowed);
}

BOOST_AUTO_TEST_CASE(serves_large_requests_as_often_as_small_ones)
{
    shared_quota quota(tolerant());
    quota.configure(start, heavy, limit());
    std::mt19937 random(1);
    std::array<double, 2> asked{};
    std::array<double, 2> served{};
    for (time_point now = start; now < start + seconds(60);
         now += milliseconds(10))
    {
        std::size_t const size = random() % 2;
        ++asked[size];
        served[size] +=
            quota.spend(now, heavy, size == 0 ? 20 : 200).allowed ? 1 : 0;
    }
    BOOST_TEST(served[0] < asked[0]);
    BOOST_TEST(served[1] / asked[1] >= 0.5 * served[0] / asked[0]);
}

BOOST_AUTO_TEST_CASE(returns_what_was_not_used)
{
    shared_quota quota(tolerant());
    quota.configure(start, heavy, limit());
    while (quota.spend(start, heavy, 100).allowed)
    {
    }
    quota.refund(heavy, 200);
    BOOST_TEST(quota.spend(start, heavy, 100).allowed);
}

BOOST_AUTO_TEST_SUITE(over_many_vms)

BOOST_AUTO_TEST_CASE(holds_when_one_organisation_asks_for_nine_times_its_limit)
{
    fleet all(9, 1'000);
    BOOST_TEST(worst_window(all.run(300)) <= allowed_in_window);
}

BOOST_AUTO_TEST_CASE(holds_when_demand_jumps)
{
    fleet all(9, 20);
    auto steps = all.run(100);
    all.demand = 800;
    auto const jump = all.run(200);
    steps.insert(steps.end(), jump.begin(), jump.end());
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

BOOST_AUTO_TEST_CASE(gives_the_whole_quota_of_each_window)
{
    fleet all(9, 800);
    auto const steps = all.run(400);
    double sum = 0;
    for (std::size_t i = 100; i < 400; ++i)
    {
        sum += steps[i];
    }
    // 30 s at (rate x window + burst) / window.
    BOOST_TEST(sum >= 0.95 * 30 * 9'000 / 8);
}

BOOST_AUTO_TEST_CASE(gives_what_is_asked_below_the_limit)
{
    fleet all(9, 60);
    double asked = 0;
    double admitted = 0;
    for (double const step : all.run(300))
    {
        admitted += step;
        asked += 9 * 20;
    }
    BOOST_TEST(admitted >= 0.99 * std::min(asked, 1'000.0 * 30));
}

BOOST_AUTO_TEST_CASE(holds_while_some_are_cut_off)
{
    fleet all(9, 800);
    auto steps = all.run(100);
    auto const cut = all.run(200, 4);
    steps.insert(steps.end(), cut.begin(), cut.end());
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

// All VMs are killed just after one organisation has used its quota. The new
// processes know nothing of that usage, so their buckets must start low.
BOOST_AUTO_TEST_CASE(holds_when_all_start_anew)
{
    for (int before = 10; before <= 100; before += 10)
    {
        fleet all(9, 20);
        auto steps = all.run(100);
        all.demand = 1'000;
        auto const burst = all.run(before);
        steps.insert(steps.end(), burst.begin(), burst.end());
        fleet again(9, 1'000);
        auto const later = again.run(100);
        steps.insert(steps.end(), later.begin(), later.end());
        BOOST_TEST(worst_window(steps) <= allowed_in_window);
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
