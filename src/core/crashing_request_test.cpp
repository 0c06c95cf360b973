// A request that crashes each upstream that runs it, and comes again and again.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// After its third crash and this time, a request may reach upstreams three
// times at most (BUDGET and ContactMs on the users' pages).
constexpr seconds contact{3};
constexpr std::size_t allowed_arrivals = 3;

call lookup(std::string const& path)
{
    call request;
    request.method = "GET";
    request.target = path;
    return request;
}

bool is_fatal(call const& request)
{
    return request.target == "/fatal";
}

// Arrivals of the fatal request that the bound counts.
std::size_t late_arrivals(test::crash_world& world)
{
    constexpr std::size_t free_crashes = 3;
    if (world.crashes().size() < free_crashes)
    {
        return 0;
    }
    time_point const since = world.crashes()[free_crashes - 1] + contact;
    return static_cast<std::size_t>(std::ranges::count_if(
        world.of("fatal").arrivals, [&](time_point at) { return at > since; }));
}

// Four lookups a second at each VM, and the fatal one twice a second at any.
void send_lookups(test::crash_world& world, seconds span)
{
    for (auto round = 0; round < span / milliseconds(250); ++round)
    {
        for (std::size_t i = 0; i < 4; ++i)
        {
            world.send(i, "sound", lookup("/sound"));
        }
        if (round % 2 == 0)
        {
            world.send(world.pick(4), "fatal", lookup("/fatal"));
        }
        world.run(milliseconds(250));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_upstreams)

BOOST_AUTO_TEST_CASE(is_not_sent_any_more_though_it_was_the_only_one_there)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world({.seed = seed}, is_fatal);
        send_lookups(world, seconds(30));
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals, "seed " << seed);
        BOOST_TEST(world.of("sound").answered >=
                       world.of("sound").sent * 9 / 10,
                   "seed " << seed);
    }
}

// As in the users' record: nine VMs before four upstreams, answers of 100 ms,
// other lookups beside it, and VMs that restart.
BOOST_AUTO_TEST_CASE(is_not_sent_any_more_by_many_vms_of_which_some_restart)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world_options options;
        options.vms = 9;
        options.first_byte = milliseconds(100);
        options.lost_answers = 0.02;
        options.seed = seed;
        test::crash_world world(options, is_fatal);
        for (auto round = 0; round < seconds(60) / milliseconds(100); ++round)
        {
            world.send(world.pick(options.vms), "sound",
                       lookup("/sound/" + std::to_string(world.pick(20))));
            if (round % 3 == 0)
            {
                world.send(world.pick(options.vms), "fatal", lookup("/fatal"));
            }
            if (round % 100 == 99)
            {
                world.restart_vm(world.pick(options.vms));
            }
            world.run(milliseconds(100));
        }
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals,
                   "seed " << seed << ": " << late_arrivals(world) << " late, "
                           << world.crashes().size() << " crashes");
        BOOST_TEST(world.of("sound").quarantined * 20 <= world.of("sound").sent,
                   "seed " << seed << ": " << world.of("sound").quarantined
                           << " of " << world.of("sound").sent);
    }
}

// It is in flight at all upstreams when the first of them crashes.
BOOST_AUTO_TEST_CASE(is_not_sent_any_more_though_it_runs_long_and_comes_often)
{
    for (std::size_t const vms : {4u, 9u, 40u})
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            test::crash_world_options options;
            options.vms = vms;
            options.first_byte = milliseconds(400);
            options.seed = seed;
            test::crash_world world(options, is_fatal);
            for (auto round = 0; round < seconds(30) / milliseconds(40);
                 ++round)
            {
                world.send(world.pick(vms), "fatal", lookup("/fatal"));
                world.send(world.pick(vms), "sound",
                           lookup("/s" + std::to_string(world.pick(30))));
                world.run(milliseconds(40));
            }
            BOOST_TEST(late_arrivals(world) <= allowed_arrivals,
                       vms << " VMs, seed " << seed << ": "
                           << late_arrivals(world) << " late, "
                           << world.crashes().size() << " crashes");
        }
    }
}

BOOST_AUTO_TEST_CASE(is_not_sent_by_a_vm_that_has_started_since)
{
    test::crash_world world({}, is_fatal);
    send_lookups(world, seconds(10));
    auto const before = world.of("fatal").arrivals.size();
    world.restart_vm(0);
    world.run(contact);
    for (int i = 0; i < 10; ++i)
    {
        world.send(0, "fatal", lookup("/fatal"));
        world.run(milliseconds(500));
    }
    BOOST_TEST(world.of("fatal").arrivals.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_whose_answers_are_lost)

BOOST_AUTO_TEST_CASE(are_not_taken_for_fatal_while_the_upstreams_live)
{
    test::crash_world world({.lost_answers = 0.4}, is_fatal);
    for (auto round = 0; round < 80; ++round)
    {
        for (std::size_t i = 0; i < 4; ++i)
        {
            world.send(i, "sound", lookup("/sound"));
        }
        world.run(milliseconds(250));
    }
    BOOST_TEST(world.of("sound").quarantined == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstreams_that_crash_at_once)

// A lookup that many send was in flight at each of them.
BOOST_AUTO_TEST_CASE(have_no_popular_request_refused_afterwards)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world(
            {.upstreams = 8, .first_byte = milliseconds(100), .seed = seed},
            is_fatal);
        auto const send_for = [&](seconds span)
        {
            for (auto round = 0; round < span / milliseconds(20); ++round)
            {
                world.send(world.pick(4), "popular", lookup("/popular"));
                world.run(milliseconds(20));
            }
        };
        send_for(seconds(3));
        world.crash_at_once(4);
        send_for(seconds(5));
        auto const before = world.of("popular");
        send_for(seconds(10));
        auto const after = world.of("popular");
        BOOST_TEST(after.answered - before.answered >=
                       (after.sent - before.sent) * 9 / 10,
                   "seed " << seed << ": " << after.answered - before.answered
                           << " of " << after.sent - before.sent
                           << " answered, " << after.quarantined << " refused");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
