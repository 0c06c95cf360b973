// VMs that are partitioned from all upstreams while callers, the platform and
// the other VMs still reach them.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::link_loss;

// The bound on the users' pages (RECOVER): from `contact` after the partition
// began, first tries at partitioned VMs are served two thirds as often as those
// at the others at least, or no more than ten and one in fifty fail there.
constexpr seconds contact{3};
constexpr seconds partition_length{12};
constexpr milliseconds step{20};

test::crash_world_options nine_vms_in_four_domains(std::uint64_t seed)
{
    test::crash_world_options options;
    options.vms = 9;
    options.domains = 4;
    options.upstreams = 8;
    options.slots = 12;
    options.first_byte = milliseconds(40);
    options.seed = seed;
    return options;
}

test::crash_world_options streams(std::uint64_t seed)
{
    test::crash_world_options options = nine_vms_in_four_domains(seed);
    options.kind = upstream_kind::engine;
    options.events = 20;
    return options;
}

bool never_fatal(call const&)
{
    return false;
}

call lookup(std::size_t number, duration time_limit)
{
    call request;
    request.method = "GET";
    request.target = fmt::format("/{}", number % 50);
    request.metadata.time_limit = time_limit;
    return request;
}

// `per_second` requests, each to a VM by chance.
void send_for(test::crash_world& world, std::size_t vms, duration span,
              int per_second, duration time_limit = seconds(2))
{
    double due = 0;
    std::size_t number = 0;
    for (auto round = 0; round < span / step; ++round)
    {
        for (due += per_second * 0.02; due >= 1; --due)
        {
            world.send(world.pick(vms), "sound", lookup(number++, time_limit));
        }
        world.run(step);
    }
}

struct served_share
{
    std::size_t sent = 0;
    std::size_t served = 0;

    double share() const
    {
        return sent == 0
                   ? 1
                   : static_cast<double>(served) / static_cast<double>(sent);
    }
};

// How first tries sent in [from, to) ended at the VMs in `at`, or elsewhere.
served_share served_at(test::crash_world const& world,
                       std::set<std::size_t> const& at, bool elsewhere,
                       time_point from, time_point to)
{
    served_share result;
    for (auto const& [id, each] : world.callers())
    {
        if (at.contains(each.vm) != elsewhere && each.sent >= from &&
            each.sent < to)
        {
            ++result.sent;
            result.served += each.served ? 1 : 0;
        }
    }
    return result;
}

bool is_served_as_promised(served_share const& there,
                           served_share const& elsewhere)
{
    auto const failed = static_cast<double>(there.sent - there.served);
    return there.share() >= elsewhere.share() * 2 / 3 ||
           failed <= 10 + static_cast<double>(there.sent) / 50;
}

std::size_t most_runs(test::crash_world const& world)
{
    std::size_t most = 0;
    for (auto const& [id, each] : world.callers())
    {
        most = std::max(most, each.runs);
    }
    return most;
}

// Whether the bytes are the events 1 to `count`, in order.
bool is_whole_stream(std::string const& bytes, std::uint32_t count)
{
    std::string expected;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        expected += fmt::format("id: {}\ndata: x\n\n", i);
    }
    return bytes == expected;
}

// Partitions VMs in traffic and checks the promise.
void check_partition(test::crash_world_options const& options,
                     std::set<std::size_t> const& cut, link_loss how,
                     int per_second)
{
    test::crash_world world(options, never_fatal);
    send_for(world, options.vms, seconds(4), per_second);
    time_point const begin = world.now();
    for (std::size_t const vm : cut)
    {
        world.partition(vm, how);
    }
    send_for(world, options.vms, partition_length, per_second);
    time_point const end = world.now();
    for (std::size_t const vm : cut)
    {
        world.heal(vm);
    }
    send_for(world, options.vms, seconds(8), per_second);
    world.run(seconds(3));
    auto const there = served_at(world, cut, false, begin + contact, end);
    auto const elsewhere = served_at(world, cut, true, begin + contact, end);
    BOOST_TEST(is_served_as_promised(there, elsewhere),
               name_in(test::link_loss_names, how)
                   << ", seed " << options.seed << ", " << cut.size()
                   << " VMs: " << there.served << " of " << there.sent
                   << " served, elsewhere " << elsewhere.served << " of "
                   << elsewhere.sent);
    auto const after =
        served_at(world, cut, false, end + seconds(4), end + seconds(8));
    BOOST_TEST(after.share() >= 0.98, "after the partition " << after.share());
}

void check_all_losses(test::crash_world_options (*options)(std::uint64_t seed),
                      std::set<std::size_t> const& cut)
{
    for (auto const& row : test::link_loss_names)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            check_partition(options(seed), cut, row.value, 100);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(vms_partitioned_from_all_upstreams)

BOOST_AUTO_TEST_CASE(are_served_as_well_as_others_if_it_is_one_vm)
{
    check_all_losses(nine_vms_in_four_domains, {3});
    check_all_losses(streams, {3});
}

BOOST_AUTO_TEST_CASE(are_served_as_well_as_others_if_it_is_most_of_a_zone)
{
    check_all_losses(nine_vms_in_four_domains, {0, 4});
    check_all_losses(streams, {0, 4});
}

BOOST_AUTO_TEST_CASE(are_served_as_well_as_others_if_it_is_a_whole_zone)
{
    check_all_losses(nine_vms_in_four_domains, {0, 4, 8});
    check_all_losses(streams, {0, 4, 8});
}

// As in the users' record.
BOOST_AUTO_TEST_CASE(
    are_served_as_well_as_others_if_it_is_over_half_of_the_fleet)
{
    check_all_losses(nine_vms_in_four_domains, {0, 1, 4, 6, 7});
    check_all_losses(streams, {0, 1, 4, 6, 7});
}

// Where there is no way at all, callers are told so before half of the time
// that one failed connection takes, and that the request has not run.
BOOST_AUTO_TEST_CASE(refuse_truly_and_at_once_if_it_is_all_vms)
{
    for (auto const& row : test::link_loss_names)
    {
        auto const options = nine_vms_in_four_domains(1);
        test::crash_world world(options, never_fatal);
        send_for(world, options.vms, seconds(4), 100);
        time_point const begin = world.now();
        for (std::size_t vm = 0; vm < options.vms; ++vm)
        {
            world.partition(vm, row.value);
        }
        send_for(world, options.vms, partition_length, 100);
        time_point const end = world.now();
        for (std::size_t vm = 0; vm < options.vms; ++vm)
        {
            world.heal(vm);
        }
        send_for(world, options.vms, seconds(8), 100);
        world.run(seconds(3));
        std::size_t late = 0;
        std::size_t untrue = 0;
        for (auto const& [id, each] : world.callers())
        {
            bool const counts =
                each.sent >= begin + contact && each.sent < end - seconds(2);
            late += counts && each.ended.value_or(world.now()) >
                                  each.sent + milliseconds(150)
                        ? 1
                        : 0;
            untrue +=
                each.run == verdict::not_run && !each.served && each.runs > 0
                    ? 1
                    : 0;
        }
        BOOST_TEST(late == 0u, name_in(test::link_loss_names, row.value));
        BOOST_TEST(untrue == 0u, name_in(test::link_loss_names, row.value));
        auto const after =
            served_at(world, {}, true, end + seconds(4), end + seconds(8));
        BOOST_TEST(after.share() >= 0.98,
                   name_in(test::link_loss_names, row.value));
    }
}

BOOST_AUTO_TEST_CASE(run_a_request_at_most_once_if_it_may_not_be_repeated)
{
    for (auto const& row : test::link_loss_names)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            auto options = nine_vms_in_four_domains(seed);
            options.idempotent = false;
            test::crash_world world(options, never_fatal);
            send_for(world, options.vms, seconds(2), 200, seconds(1));
            for (int round = 0; round < 3; ++round)
            {
                for (std::size_t const vm : {0u, 1u, 4u, 6u, 7u})
                {
                    world.partition(vm, row.value);
                }
                send_for(world, options.vms, seconds(4), 200, seconds(1));
                for (std::size_t const vm : {0u, 1u, 4u, 6u, 7u})
                {
                    world.heal(vm);
                }
                send_for(world, options.vms, seconds(2), 200, seconds(1));
            }
            world.run(seconds(2));
            BOOST_TEST(most_runs(world) == 1u);
            for (auto const& [id, each] : world.callers())
            {
                bool const untrue = each.ended && !each.served &&
                                    each.run == verdict::not_run &&
                                    each.runs > 0;
                BOOST_TEST(!untrue, id);
            }
        }
    }
}

// In the users' record three VMs concluded 56 crashes of sound upstreams, and
// other VMs refused sound requests for it.
BOOST_AUTO_TEST_CASE(do_not_take_it_for_crashes_of_upstreams)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        auto options = streams(seed);
        options.first_byte = milliseconds(150);
        test::crash_world world(options, never_fatal);
        send_for(world, options.vms, seconds(4), 200);
        for (std::size_t const vm : {0u, 1u, 4u, 6u, 7u})
        {
            world.partition(vm, link_loss::reset);
        }
        send_for(world, options.vms, seconds(6), 200);
        BOOST_TEST(world.of("sound").quarantined == 0u, "seed " << seed);
        BOOST_TEST(world.concluded_crashes() == 0u, "seed " << seed);
    }
}

// A stream that was cut goes on where it ended, at another upstream and through
// another VM.
BOOST_AUTO_TEST_CASE(have_streams_resumed_without_a_gap)
{
    for (auto const& row : test::link_loss_names)
    {
        auto options = streams(1);
        options.events = 40;
        test::crash_world world(options, never_fatal);
        send_for(world, options.vms, seconds(2), 100);
        world.partition(3, row.value);
        send_for(world, options.vms, seconds(3), 100);
        world.partition(0, row.value);
        send_for(world, options.vms, seconds(3), 100);
        world.heal(3);
        world.heal(0);
        world.run(seconds(5));
        for (auto const& [id, each] : world.callers())
        {
            if (each.served)
            {
                BOOST_TEST(is_whole_stream(each.events, options.events),
                           name_in(test::link_loss_names, row.value)
                               << " " << id << "\n"
                               << each.events);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(have_upstreams_told_when_a_caller_leaves)
{
    auto options = streams(1);
    options.events = 200;
    test::crash_world world(options, never_fatal);
    world.partition(3, link_loss::reset);
    send_for(world, options.vms, seconds(2), 100);
    world.run(seconds(1));
    std::size_t running = 0;
    for (auto const& [id, each] : world.callers())
    {
        if (each.vm == 3 && !each.ended)
        {
            running += world.running(id);
            world.leave(id);
        }
    }
    BOOST_TEST(running > 0u);
    world.run(milliseconds(100));
    for (auto const& [id, each] : world.callers())
    {
        BOOST_TEST((each.vm != 3 || world.running(id) == 0));
    }
}

BOOST_AUTO_TEST_CASE(
    are_served_while_vms_that_run_their_attempts_stop_or_restart)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        auto const options = nine_vms_in_four_domains(seed);
        test::crash_world world(options, never_fatal);
        send_for(world, options.vms, seconds(2), 100);
        for (std::size_t const vm : {0u, 4u, 8u})
        {
            world.partition(vm, link_loss::silent);
        }
        time_point const begin = world.now();
        send_for(world, options.vms, seconds(3), 100);
        world.stop(1, seconds(8));
        send_for(world, options.vms, seconds(3), 100);
        world.restart_vm(2);
        send_for(world, options.vms, seconds(3), 100);
        world.run(seconds(3));
        auto const there = served_at(world, {0, 4, 8}, false, begin + contact,
                                     begin + seconds(9));
        BOOST_TEST(there.share() >= 0.95,
                   "seed " << seed << ": " << there.share());
    }
}

// Links to upstreams say nothing about a version that is being rolled out, nor
// about the upstreams.
BOOST_AUTO_TEST_CASE(hold_no_failure_of_their_links_against_upstreams)
{
    auto const options = nine_vms_in_four_domains(1);
    test::crash_world world(options, never_fatal);
    send_for(world, options.vms, seconds(4), 200);
    world.partition(3, link_loss::silent);
    send_for(world, options.vms, seconds(4), 200);
    upstream_table const& table = world.vm_at(3).requests().upstreams();
    for (upstream_index i = 0; i < table.size(); ++i)
    {
        BOOST_TEST((table.row(i).ejected_until <= world.now()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstreams_that_are_silent_for_a_second)

// Their requests are answered late, and nothing is held against them.
BOOST_AUTO_TEST_CASE(keep_their_requests_and_are_not_taken_for_crashed)
{
    for (std::size_t const count : {1u, 3u})
    {
        for (auto const make : {nine_vms_in_four_domains, streams})
        {
            auto const options = make(count);
            test::crash_world world(options, never_fatal);
            send_for(world, options.vms, seconds(4), 100, seconds(4));
            for (std::size_t i = 0; i < count; ++i)
            {
                world.silence(fmt::format("desk-{}", i), milliseconds(1'200));
            }
            send_for(world, options.vms, seconds(3), 100, seconds(4));
            world.run(seconds(4));
            for (auto const& [id, each] : world.callers())
            {
                BOOST_TEST((each.served && each.runs == 1), id);
            }
            BOOST_TEST(world.concluded_crashes() == 0u);
            for (std::size_t vm = 0; vm < options.vms; ++vm)
            {
                BOOST_TEST(!world.vm_at(vm).requests().reach().partitioned());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
