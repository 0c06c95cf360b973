// A quota that many VMs share through relays.
#include "core/quota_relay.hpp"
#include "core/shared_quota.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>
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
constexpr std::size_t steps_per_second = 10;

// The platform's bounds, and the quota of a large organisation there.
constexpr double rate = 100'000;
constexpr double burst = 100'000;
constexpr double window_s = 8;
constexpr double slack = 140'000;
constexpr double units_each = 3'600;
constexpr double allowed_in_window = (rate * window_s + burst) * 1.1 + slack;
constexpr double quota_in_window = rate * window_s + burst;

// VMs in two cells, each with two relays, that report each 300 ms; a message
// takes one step of 100 ms.
struct fleet
{
    fleet(std::size_t count, double demand_of_all) : demand(demand_of_all)
    {
        shared_quota_options options;
        options.overshoot = 0.1;
        options.slack = slack;
        quota_spec quota;
        quota.rate_per_second = rate;
        quota.burst = burst;
        quota.counts_tokens = true;
        for (std::size_t i = 0; i < count; ++i)
        {
            vms.emplace_back(options);
            vms.back().set_fleet_size(count);
            vms.back().configure(start, heavy, quota);
        }
        for (std::size_t i = 0; i < relay_count; ++i)
        {
            relays.emplace_back(
                quota_relay_options{fmt::format("relay{}", i), 1});
        }
    }

    static std::string cell_of(std::size_t i)
    {
        return i % 2 == 0 ? "0/2" : "1/2";
    }

    bool is_cut(std::size_t vm) const
    {
        return vm < cut_off;
    }

    // Returns the units admitted at all VMs, one value for each step.
    std::vector<double> run(int steps)
    {
        std::vector<double> admitted;
        for (int i = 0; i < steps; ++i)
        {
            now += milliseconds(1'000 / steps_per_second);
            admitted.push_back(spend_all());
            auto const due = std::exchange(messages, {});
            for (auto const& deliver : due)
            {
                deliver();
            }
            if (++ticks % 3 == 0)
            {
                report_all();
            }
        }
        return admitted;
    }

    double spend_all()
    {
        double sum = 0;
        double const asked = demand / steps_per_second / units_each;
        auto count = static_cast<int>(asked);
        count += std::uniform_real_distribution<>()(random) < asked - count;
        for (int i = 0; i < count; ++i)
        {
            std::size_t const vm = random() % vms.size();
            sum +=
                vms[vm].spend(now, heavy, units_each).allowed ? units_each : 0;
        }
        return sum;
    }

    void report_all()
    {
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            auto const report = vms[i].report(now, fmt::format("vm{}", i), 1);
            for (std::size_t r = 0; r < relay_count; ++r)
            {
                if (!is_cut(i) && cell_of(r) == cell_of(i) && !dead.contains(r))
                {
                    messages.emplace_back(
                        [=, this] { relays[r].add(now, cell_of(r), report); });
                }
            }
        }
        for (std::size_t r = 0; r < relay_count; ++r)
        {
            if (!dead.contains(r))
            {
                send_sums(r);
            }
        }
    }

    void send_sums(std::size_t r)
    {
        auto const cell = relays[r].cell_sum(now, cell_of(r));
        auto const all = relays[r].fleet_sum(now, cell_of(r));
        for (std::size_t other = 0; other < relay_count; ++other)
        {
            if (other != r)
            {
                messages.emplace_back([=, this]
                                      { relays[other].add(now, cell); });
            }
        }
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (!is_cut(i) && cell_of(i) == cell_of(r))
            {
                messages.emplace_back([=, this] { vms[i].merge(now, all); });
            }
        }
    }

    static constexpr std::size_t relay_count = 4;
    std::vector<shared_quota> vms;
    std::vector<quota_relay> relays;
    std::vector<std::function<void()>> messages;
    std::set<std::size_t> dead; // relays
    std::size_t cut_off = 0;    // VMs, the first ones
    double demand;
    int ticks = 0;
    std::mt19937 random{1};
    time_point now = start;
};

double worst_window(std::vector<double> const& steps)
{
    auto const window = static_cast<std::size_t>(window_s * steps_per_second);
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

double sum_from(std::vector<double> const& steps, std::size_t first)
{
    double sum = 0;
    for (std::size_t i = first; i < steps.size(); ++i)
    {
        sum += steps[i];
    }
    return sum;
}

void append(std::vector<double>& to, std::vector<double> const& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_quota_shared_through_relays)

BOOST_AUTO_TEST_CASE(gives_what_is_asked_below_the_limit)
{
    fleet all(195, 0.55 * rate);
    auto const steps = all.run(300);
    double const asked = 0.55 * rate * 30;
    BOOST_TEST(sum_from(steps, 0) >= 0.97 * asked);
}

BOOST_AUTO_TEST_CASE(gives_the_quota_of_each_window_under_excess_demand)
{
    fleet all(195, 4 * rate);
    auto const steps = all.run(400);
    BOOST_TEST(sum_from(steps, 100) >= 0.95 * quota_in_window * 30 / window_s);
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

BOOST_AUTO_TEST_CASE(holds_when_demand_jumps_to_seven_times_the_usual)
{
    fleet all(195, 0.55 * rate);
    auto steps = all.run(100);
    all.demand = 7.5 * 0.55 * rate;
    append(steps, all.run(200));
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

// A short excess must not cost an organisation that then stays below its limit.
BOOST_AUTO_TEST_CASE(gives_what_is_asked_soon_after_an_excess)
{
    fleet all(195, 0.55 * rate);
    all.run(100);
    all.demand = 4 * rate;
    all.run(30);
    all.demand = 0.55 * rate;
    all.run(60);
    double const asked = 0.55 * rate * 20;
    BOOST_TEST(sum_from(all.run(200), 0) >= 0.97 * asked);
}

BOOST_AUTO_TEST_SUITE(with_two_relays_in_each_cell)

BOOST_AUTO_TEST_CASE(holds_and_gives_as_much_when_one_of_them_dies)
{
    fleet all(195, 2 * rate);
    auto steps = all.run(100);
    all.dead = {0};
    auto const later = all.run(300);
    append(steps, later);
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
    BOOST_TEST(sum_from(later, 0) >= 0.95 * quota_in_window * 30 / window_s);
}

BOOST_AUTO_TEST_CASE(holds_when_one_starts_anew)
{
    fleet all(195, 2 * rate);
    auto steps = all.run(100);
    all.relays[0] = quota_relay({"relay0", 2});
    append(steps, all.run(200));
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

// Both relays of a cell stop: its VMs hear nothing and have their own shares.
BOOST_AUTO_TEST_CASE(holds_when_both_of_a_cell_die_and_new_ones_come)
{
    fleet all(195, 4 * rate);
    auto steps = all.run(100);
    all.dead = {0, 2};
    append(steps, all.run(100));
    all.relays[0] = quota_relay({"relay4", 5});
    all.dead = {2};
    append(steps, all.run(200));
    BOOST_TEST(worst_window(steps) <= allowed_in_window);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(holds_while_some_vms_are_cut_off)
{
    for (std::size_t const cut : {20u, 80u, 150u})
    {
        fleet all(195, 4 * rate);
        auto steps = all.run(100);
        all.cut_off = cut;
        append(steps, all.run(200));
        all.cut_off = 0;
        append(steps, all.run(200));
        BOOST_TEST(worst_window(steps) <= allowed_in_window, cut);
    }
}

BOOST_AUTO_TEST_CASE(holds_when_all_start_anew)
{
    for (int before = 10; before <= 100; before += 30)
    {
        fleet all(195, 0.55 * rate);
        auto steps = all.run(100);
        all.demand = 4 * rate;
        append(steps, all.run(before));
        fleet again(195, 4 * rate);
        append(steps, again.run(100));
        BOOST_TEST(worst_window(steps) <= allowed_in_window, before);
    }
}

// The relays of one cell hear each other's sums of it as well.
BOOST_AUTO_TEST_CASE(counts_a_cell_once_of_which_several_relays_send_sums)
{
    quota_relay a({"a", 1});
    quota_relay b({"b", 1});
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        time_point const now = start + milliseconds(300) * i;
        quota_report const report{
            "vm", 1, i, {{heavy, 100.0 * static_cast<double>(i)}}};
        a.add(now, "0/1", report);
        b.add(now, "0/1", report);
        b.add(now, a.cell_sum(now, "0/1"));
        quota_sum const sum = b.fleet_sum(now, "0/1");
        BOOST_TEST(sum.spent.front().units == 100.0 * static_cast<double>(i));
        BOOST_TEST(sum.members == 1u);
    }
}

BOOST_AUTO_TEST_CASE(goes_on_with_the_sums_of_others_when_it_is_a_relay_no_more)
{
    quota_relay a({"a", 1});
    quota_relay b({"b", 1});
    time_point now = start;
    auto const report = [&](quota_relay& relay, std::uint64_t i)
    {
        relay.add(now, "0/1",
                  {"vm", 1, i, {{heavy, 100.0 * static_cast<double>(i)}}});
    };
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        now += milliseconds(300);
        report(a, i);
        if (i <= 3)
        {
            report(b, i);
        }
        b.add(now, a.cell_sum(now, "0/1"));
    }
    double const known = b.fleet_sum(now, "0/1").spent.front().units;
    BOOST_TEST(known <= 1'000);
    for (std::uint64_t i = 11; i <= 20; ++i)
    {
        now += milliseconds(300);
        report(a, i);
        b.add(now, a.cell_sum(now, "0/1"));
    }
    BOOST_TEST(b.fleet_sum(now, "0/1").spent.front().units == known + 1'000);
}

BOOST_AUTO_TEST_CASE(charges_a_vm_that_falls_silent_and_corrects_it)
{
    quota_relay relay({"relay", 1});
    time_point now = start;
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        relay.add(now, "0/1",
                  {"vm", 1, i, {{heavy, 100.0 * static_cast<double>(i)}}});
        now += seconds(1);
    }
    double const before = relay.fleet_sum(now, "0/1").spent.front().units;
    BOOST_TEST(before == 1'000);
    now += seconds(3);
    quota_sum const silent = relay.fleet_sum(now, "0/1");
    BOOST_TEST(silent.members == 0u);
    BOOST_TEST(silent.spent.front().units > before);
    relay.add(now, "0/1", {"vm", 1, 11, {{heavy, 1'010}}});
    BOOST_TEST(relay.fleet_sum(now, "0/1").spent.front().units == 1'010);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
