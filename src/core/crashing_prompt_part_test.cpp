// Requests that share one part of their prompts, which crashes each engine that
// begins to answer them. No two of them are alike.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// After the fifth crash and this time, three requests with a fatal part may
// reach engines (BUDGET and ContactMs on the users' pages). After twice the
// time, sound requests that share their first part are served again (LOST).
constexpr seconds contact{3};
constexpr std::size_t free_crashes = 5;
constexpr std::size_t allowed_arrivals = 3;

constexpr std::uint64_t fatal_part = 0xbad;
constexpr std::uint64_t first_parts = 8;
constexpr std::uint64_t second_parts = 50;
constexpr std::uint64_t first_part_base = 0x100;
constexpr std::uint64_t second_part_base = 0x1000;
constexpr std::uint64_t last_part_base = 0x1000000;

bool has_fatal_part(call const& request)
{
    return std::ranges::any_of(request.metadata.prompt,
                               [](prompt_part const& part)
                               { return part.id == fatal_part; });
}

class prompts
{
public:
    explicit prompts(test::crash_world& world) : world_(world) {}

    call with(std::uint64_t first, std::uint64_t second)
    {
        call request;
        request.method = "POST";
        request.target = "/draft";
        request.body = std::to_string(++last_);
        request.metadata.size = token_size{700, 50};
        request.metadata.prompt = {
            {first, 100}, {second, 100}, {last_part_base + last_, 500}};
        return request;
    }

    std::uint64_t any_first()
    {
        return first_part_base + world_.pick(first_parts);
    }

    std::uint64_t any_second()
    {
        return second_part_base + world_.pick(second_parts);
    }

private:
    test::crash_world& world_;
    std::uint64_t last_ = 0;
};

test::crash_world_options engines(std::uint64_t seed)
{
    test::crash_world_options options;
    options.upstreams = 16;
    options.kind = upstream_kind::engine;
    options.slots = 64;
    options.first_byte = milliseconds(100);
    options.event_interval = milliseconds(50);
    options.events = 15;
    options.seed = seed;
    return options;
}

// The bound starts after this many crashes.
time_point bound_start(test::crash_world const& world)
{
    return world.crashes().size() < free_crashes
               ? world.now()
               : world.crashes()[free_crashes - 1] + contact;
}

std::size_t late_arrivals(test::crash_world& world)
{
    time_point const since = bound_start(world);
    return static_cast<std::size_t>(std::ranges::count_if(
        world.of("fatal").arrivals, [&](time_point at) { return at > since; }));
}

// Sends 50 sound requests a second for `span`, and `fatal` every 200 ms. Those
// of a kind "near" share their first part with the fatal ones.
template <typename MakeFatal>
void send_requests(test::crash_world& world, prompts& make, seconds span,
                   MakeFatal fatal)
{
    for (auto round = 0; round < span / milliseconds(20); ++round)
    {
        std::uint64_t const first = make.any_first();
        world.send(world.pick(4), first == first_part_base ? "near" : "sound",
                   make.with(first, make.any_second()));
        if (round % 10 == 0)
        {
            world.send(world.pick(4), "fatal", fatal());
        }
        world.run(milliseconds(20));
    }
}

// Share of the requests of a kind that are answered, of those sent in a run of
// five seconds.
template <typename MakeFatal>
double served_share(test::crash_world& world, prompts& make,
                    std::string const& kind, MakeFatal fatal)
{
    constexpr seconds longest_answer{2};
    world.run(longest_answer);
    auto const before = world.of(kind);
    send_requests(world, make, seconds(5), fatal);
    world.run(longest_answer);
    auto const& after = world.of(kind);
    return static_cast<double>(after.answered - before.answered) /
           static_cast<double>(after.sent - before.sent);
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests_with_a_prompt_part_that_crashes_engines)

BOOST_AUTO_TEST_CASE(are_not_sent_any_more_and_sound_ones_beside_them_are)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world(engines(seed), has_fatal_part);
        prompts make(world);
        auto const fatal = [&]
        {
            return make.with(first_part_base, fatal_part);
        };
        send_requests(world, make, seconds(5),
                      [&]
                      { return make.with(first_part_base, second_part_base); });
        send_requests(world, make, seconds(20), fatal);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << world.crashes().size()
                                   << " crashes");
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals, "seed " << seed);
        BOOST_TEST(served_share(world, make, "near", fatal) > 0.9,
                   "seed " << seed);
        BOOST_TEST(served_share(world, make, "sound", fatal) > 0.9,
                   "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(are_not_sent_any_more_if_the_first_part_is_the_fatal_one)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world(engines(seed), has_fatal_part);
        prompts make(world);
        auto const fatal = [&]
        {
            return make.with(fatal_part, make.any_second());
        };
        send_requests(world, make, seconds(20), fatal);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << world.crashes().size()
                                   << " crashes");
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals, "seed " << seed);
        BOOST_TEST(served_share(world, make, "sound", fatal) > 0.9,
                   "seed " << seed);
    }
}

// Many fatal requests are in flight at several engines when the first of these
// crashes.
BOOST_AUTO_TEST_CASE(are_not_sent_any_more_though_answers_begin_late)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world_options options = engines(seed);
        options.vms = 9;
        options.first_byte = milliseconds(1'500);
        test::crash_world world(options, has_fatal_part);
        prompts make(world);
        for (auto round = 0; round < seconds(20) / milliseconds(40); ++round)
        {
            world.send(world.pick(options.vms), "fatal",
                       make.with(first_part_base, fatal_part));
            world.send(world.pick(options.vms), "sound",
                       make.with(make.any_first(), make.any_second()));
            world.run(milliseconds(40));
        }
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals,
                   "seed " << seed << ": " << late_arrivals(world) << " late, "
                           << world.crashes().size() << " crashes");
    }
}

BOOST_AUTO_TEST_CASE(are_not_sent_any_more_while_engines_crash_without_them_too)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        test::crash_world_options options = engines(seed);
        options.vms = 9;
        options.upstreams = 18;
        options.slots = 24;
        options.events = 10;
        options.first_byte = milliseconds(1'000);
        test::crash_world world(options, has_fatal_part);
        prompts make(world);
        for (auto round = 0; round < seconds(20) / milliseconds(20); ++round)
        {
            if (round % 2 == 0)
            {
                world.send(world.pick(options.vms), "fatal",
                           make.with(first_part_base, fatal_part));
            }
            world.send(world.pick(options.vms), "sound",
                       make.with(make.any_first(), make.any_second()));
            if (round % 25 == 0)
            {
                world.crash_any();
            }
            world.run(milliseconds(20));
        }
        BOOST_TEST(late_arrivals(world) <= allowed_arrivals,
                   "seed " << seed << ": " << late_arrivals(world) << " late, "
                           << world.crashes().size() << " crashes");
    }
}

BOOST_AUTO_TEST_CASE(are_not_sent_by_a_vm_that_has_started_since)
{
    test::crash_world world(engines(1), has_fatal_part);
    prompts make(world);
    auto const fatal = [&]
    {
        return make.with(first_part_base, fatal_part);
    };
    send_requests(world, make, seconds(20), fatal);
    auto const before = world.of("fatal").arrivals.size();
    world.restart_vm(0);
    world.run(contact);
    for (int i = 0; i < 20; ++i)
    {
        world.send(0, "fatal", fatal());
        world.run(milliseconds(200));
    }
    BOOST_TEST(world.of("fatal").arrivals.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(engines_that_crash_for_other_reasons)

// Parts in flight at many engines got as many marks at one moment, and were
// refused to the end of the day.
BOOST_AUTO_TEST_CASE(have_no_prompt_part_refused_though_many_crash_at_once)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world_options options = engines(seed);
        options.vms = 8;
        options.upstreams = 40;
        options.slots = 12;
        test::crash_world world(options, has_fatal_part);
        prompts make(world);
        auto const send_for = [&](seconds span)
        {
            for (auto round = 0; round < span / milliseconds(20); ++round)
            {
                for (int i = 0; i < 6; ++i)
                {
                    std::uint64_t const first = first_part_base + world.pick(3);
                    world.send(world.pick(options.vms), "sound",
                               make.with(first, make.any_second()));
                }
                world.run(milliseconds(20));
            }
        };
        send_for(seconds(3));
        for (std::size_t const crashed : {8u, 16u, 12u})
        {
            world.crash_at_once(crashed);
            send_for(seconds(6));
        }
        auto const& sound = world.of("sound");
        BOOST_TEST(sound.quarantined * 200 <= sound.sent,
                   "seed " << seed << ": " << sound.quarantined << " of "
                           << sound.sent);
    }
}

BOOST_AUTO_TEST_CASE(have_no_prompt_part_refused)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world(engines(seed), has_fatal_part);
        prompts make(world);
        for (int crash = 0; crash < 30; ++crash)
        {
            world.crash_any();
            send_requests(world, make, seconds(1),
                          [&] { return make.with(make.any_first(), 0x2000); });
        }
        BOOST_TEST(world.of("sound").quarantined * 200 <=
                       world.of("sound").sent,
                   "seed " << seed << ": " << world.of("sound").quarantined
                           << " of " << world.of("sound").sent);
        BOOST_TEST(served_share(world, make, "sound",
                                [&] {
                                    return make.with(make.any_first(), 0x2000);
                                }) > 0.9,
                   "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
