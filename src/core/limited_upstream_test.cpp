// Upstreams that name the requests a second that they take from all VMs
// together, before a whole fleet.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The bound on the users' pages (LIMIT): from `contact` after an upstream first
// named its limit, it gets in any `window` at most one and a half times what
// that allows, and five requests, from VMs that were told `notice` before.
constexpr seconds contact{3};
constexpr seconds window{4};
constexpr milliseconds notice{500};
constexpr double tolerance = 1.5;
constexpr double extra = 5;

std::string const limit_header = "Limit";

// A limit in a header of its own; everything else as in the native dialect.
class limit_dialect final : public dialect
{
public:
    std::string read_call(call& request) const override
    {
        return native_dialect().read_call(request);
    }

    call write_attempt(call const& request,
                       attempt_metadata const& metadata) const override
    {
        return native_dialect().write_attempt(request, metadata);
    }

    bool promises_not_run(int status) const override
    {
        return native_dialect().promises_not_run(status);
    }

    answer_metadata read_answer(request_id const& request, int status,
                                header_list const& headers) const override
    {
        answer_metadata metadata =
            native_dialect().read_answer(request, status, headers);
        std::string const limit(header_value(headers, limit_header));
        if (!limit.empty())
        {
            metadata.notice.request_limit = std::atof(limit.c_str());
        }
        metadata.tells_of_limits = true;
        return metadata;
    }
};

limit_dialect const spoken;

// A fleet before upstreams with limits that the test sets.
class limited_world
{
public:
    explicit limited_world(test::crash_world_options options)
        : options_(with_limits(std::move(options))),
          world(options_, [](call const&) { return false; })
    {
    }

    // Sets what an upstream names from now on; 0: nothing.
    void name_limit(std::string const& upstream, double per_second)
    {
        limits_[upstream].emplace_back(world.now(), per_second);
    }

    // Sends `per_second` requests, each to a VM by chance.
    void send_for(duration span, int per_second)
    {
        constexpr milliseconds step{20};
        double due = 0;
        for (auto round = 0; round < span / step; ++round)
        {
            for (due += per_second * 0.02; due >= 1; --due)
            {
                call request;
                request.method = "GET";
                request.target = fmt::format("/{}", next_target_++ % 50);
                request.metadata.time_limit = seconds(2);
                world.send(world.pick(options_.vms), "sound",
                           std::move(request));
            }
            world.run(step);
        }
    }

    // Arrivals beyond the bound in the worst window at an upstream.
    double excess(std::string const& upstream) const
    {
        time_point const since = first_named(upstream) + contact;
        std::map<std::size_t, time_point> told; // by VM
        for (auto const& each : world.answers())
        {
            if (each.upstream == upstream && each.at >= first_named(upstream))
            {
                told.try_emplace(each.vm, each.at);
            }
        }
        std::vector<time_point> counted;
        for (auto const& each : world.arrivals())
        {
            auto const known = told.find(each.vm);
            if (each.upstream == upstream && each.at >= since &&
                known != told.end() && each.at >= known->second + notice)
            {
                counted.push_back(each.at);
            }
        }
        double worst = 0;
        for (std::size_t first = 0; first < counted.size(); ++first)
        {
            time_point const end = counted[first] + window;
            auto const last = std::ranges::lower_bound(counted, end);
            double const count = static_cast<double>(
                last - counted.begin() - static_cast<std::ptrdiff_t>(first));
            worst =
                std::max(worst, count - allowed(upstream, counted[first], end));
        }
        return worst;
    }

    // The upstream that has got the most requests, without those left out.
    std::string busiest(std::string const& left_out = {}) const
    {
        std::map<std::string, std::size_t> counts;
        for (auto const& each : world.arrivals())
        {
            counts[each.upstream] += each.upstream == left_out ? 0 : 1;
        }
        return std::ranges::max_element(
                   counts, {},
                   &std::pair<std::string const, std::size_t>::second)
            ->first;
    }

    // Requests that reached an upstream since `since`, a second.
    double rate(std::string const& upstream, time_point since) const
    {
        auto const count = std::ranges::count_if(
            world.arrivals(), [&](test::upstream_arrival const& each)
            { return each.upstream == upstream && each.at >= since; });
        return static_cast<double>(count) /
               std::chrono::duration<double>(world.now() - since).count();
    }

private:
    using named_limit = std::pair<time_point, double>; // since when

    test::crash_world_options with_limits(test::crash_world_options options)
    {
        options.api_dialect = &spoken;
        options.answer_headers = [this](std::string const& upstream)
        {
            auto const found = limits_.find(upstream);
            bool const none =
                found == limits_.end() || found->second.back().second == 0;
            return none ? header_list()
                        : header_list{
                              {limit_header,
                               fmt::format("{}", found->second.back().second)}};
        };
        return options;
    }

    time_point first_named(std::string const& upstream) const
    {
        return limits_.at(upstream).front().first;
    }

    // By the highest limit in force in the window; no bound where there was
    // none.
    double allowed(std::string const& upstream, time_point from,
                   time_point to) const
    {
        auto const& named = limits_.at(upstream);
        double highest = 0;
        for (std::size_t i = 0; i < named.size(); ++i)
        {
            bool const in_force =
                named[i].first < to &&
                (i + 1 == named.size() || named[i + 1].first + notice > from);
            if (in_force && named[i].second == 0)
            {
                return std::numeric_limits<double>::infinity();
            }
            highest = in_force ? std::max(highest, named[i].second) : highest;
        }
        return tolerance * highest *
                   std::chrono::duration<double>(window).count() +
               extra;
    }

    std::map<std::string, std::vector<named_limit>> limits_;
    test::crash_world_options options_;
    std::uint64_t next_target_ = 0;

public:
    test::crash_world world;
};

test::crash_world_options nine_vms(std::uint64_t seed)
{
    test::crash_world_options options;
    options.vms = 9;
    options.upstreams = 8;
    options.slots = 12;
    options.first_byte = milliseconds(60);
    options.seed = seed;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_upstream_that_names_a_limit)

BOOST_AUTO_TEST_CASE(gets_no_more_than_it_allows_from_the_whole_fleet)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        limited_world desks(nine_vms(seed));
        desks.send_for(seconds(4), 200);
        std::string const first = desks.busiest();
        std::string const second = desks.busiest(first);
        desks.name_limit(first, 1.3);
        desks.name_limit(second, 2.3);
        desks.send_for(seconds(30), 200);
        auto const& sound = desks.world.of("sound");
        BOOST_TEST(desks.excess(first) <= 0, "seed " << seed);
        BOOST_TEST(desks.excess(second) <= 0, "seed " << seed);
        BOOST_TEST(sound.answered * 100 >= sound.sent * 98, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(gets_no_more_by_repeats_of_requests_whose_answers_are_lost)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world_options options = nine_vms(seed);
        options.kind = upstream_kind::engine;
        options.events = 5;
        options.lost_answers = 0.1;
        limited_world desks(options);
        desks.send_for(seconds(4), 200);
        std::string const first = desks.busiest();
        desks.name_limit(first, 1.3);
        desks.send_for(seconds(30), 200);
        BOOST_TEST(desks.excess(first) <= 0, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(gets_no_more_while_a_vm_is_cut_off_and_another_restarts)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        limited_world desks(nine_vms(seed));
        desks.send_for(seconds(4), 200);
        std::string const first = desks.busiest();
        desks.name_limit(first, 1.3);
        desks.world.cut_off(0, true);
        desks.send_for(seconds(6), 200);
        desks.world.restart_vm(1);
        desks.send_for(seconds(6), 200);
        desks.name_limit(first, 2.3);
        desks.world.cut_off(2, true);
        desks.world.restart_vm(3);
        desks.send_for(seconds(6), 200);
        desks.world.cut_off(0, false);
        desks.send_for(seconds(10), 200);
        BOOST_TEST(desks.excess(first) <= 0, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(gets_no_more_from_a_fleet_of_many_vms)
{
    test::crash_world_options options = nine_vms(1);
    options.vms = 60;
    limited_world desks(options);
    desks.send_for(seconds(4), 200);
    std::string const first = desks.busiest();
    std::string const second = desks.busiest(first);
    desks.name_limit(first, 1.3);
    desks.name_limit(second, 5);
    for (std::size_t vm = 0; vm < 20; ++vm)
    {
        desks.world.cut_off(vm, true);
    }
    desks.send_for(seconds(20), 200);
    BOOST_TEST(desks.excess(first) <= 0);
    BOOST_TEST(desks.excess(second) <= 0);
}

BOOST_AUTO_TEST_CASE(gets_requests_as_before_once_it_names_none)
{
    limited_world desks(nine_vms(1));
    desks.send_for(seconds(4), 200);
    std::string const first = desks.busiest();
    time_point const begin = desks.world.now() - seconds(4);
    double const usual = desks.rate(first, begin);
    desks.name_limit(first, 1.3);
    desks.send_for(seconds(15), 200);
    BOOST_TEST(desks.excess(first) <= 0);
    time_point const limited = desks.world.now() - seconds(10);
    BOOST_TEST(desks.rate(first, limited) > 1.3 / 2);
    desks.name_limit(first, 0);
    desks.send_for(seconds(5), 200);
    time_point const ended = desks.world.now();
    desks.send_for(seconds(5), 200);
    BOOST_TEST(desks.rate(first, ended) > usual / 2);
}

BOOST_AUTO_TEST_CASE(has_callers_told_when_to_return_if_all_others_name_one)
{
    test::crash_world_options options = nine_vms(1);
    options.upstreams = 4;
    limited_world desks(options);
    desks.send_for(seconds(4), 40);
    for (int i = 0; i < 4; ++i)
    {
        desks.name_limit(fmt::format("desk-{}", i), 3);
    }
    desks.send_for(seconds(5), 40);
    auto const before = desks.world.of("sound").answered;
    auto const known = desks.world.refusals_of("sound").size();
    desks.send_for(seconds(20), 40);
    for (int i = 0; i < 4; ++i)
    {
        BOOST_TEST(desks.excess(fmt::format("desk-{}", i)) <= 0);
    }
    // Two thirds of what the limits allow.
    BOOST_TEST(desks.world.of("sound").answered - before >= 20u * 12 * 2 / 3);
    auto const& refusals = desks.world.refusals_of("sound");
    BOOST_TEST(refusals.size() > known);
    for (std::size_t i = known; i < refusals.size(); ++i)
    {
        BOOST_TEST((refusals[i].run == verdict::not_run));
        BOOST_TEST((refusals[i].retry_after > duration::zero()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
