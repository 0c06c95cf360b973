// Failure domains that the operator evacuates: at one VM, and in a fleet.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
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
// From the order until no VM in contact sends a request there (EvacuateMs).
constexpr seconds evacuation_bound{5};

domain_evacuated evacuation_of(std::string const& domain, std::uint64_t offset,
                               bool is_evacuated = true)
{
    return {{domain, is_evacuated, 0, offset}};
}

// A request path before upstreams of two services in domains of their own
// choice.
struct desk_service
{
    explicit desk_service(request_path_options options = own_options())
        : path(
              std::move(options), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = "/";
        route.service = "desk";
        route.idempotent = true;
        route.max_attempts = 3;
        route.timeout = seconds(30);
        tables->routes.push_back(route);
        path.set_routing_tables(now, tables);
        path.set_fleet_position(now, {0, 1});
    }

    static request_path_options own_options()
    {
        request_path_options result;
        result.vm = "vm";
        result.records_requests = false;
        result.retries.initial = 20;
        return result;
    }

    void list(std::string const& name, std::string const& domain,
              std::string const& version = "", std::uint64_t incarnation = 7)
    {
        upstream_listed entry;
        entry.upstream.name = name;
        entry.upstream.service = "desk";
        entry.upstream.version = version;
        entry.upstream.failure_domain = domain;
        entry.upstream.capacity = 4;
        entry.incarnation = incarnation;
        path.handle(now, entry);
    }

    void evacuate(std::string const& domain, bool is_evacuated = true)
    {
        path.handle(now, evacuation_of(domain, ++offset, is_evacuated));
    }

    // Sends a request; the attempt that it starts, if any.
    std::optional<start_attempt> send()
    {
        attempts.clear();
        refusals.clear();
        call request;
        request.id = fmt::format("r{}", next_request++);
        request.method = "GET";
        request.target = fmt::format("/{}", next_request);
        path.handle(now, call_received{request});
        return attempts.empty() ? std::nullopt : std::optional(attempts.back());
    }

    void answer(start_attempt const& attempt)
    {
        path.handle(now, upstream_head{attempt.attempt, 200, {}});
        path.handle(now, upstream_end{attempt.attempt});
    }

    // The upstreams that some requests at the same time go to; all are
    // answered.
    std::set<std::string> used()
    {
        std::set<std::string> names;
        std::vector<start_attempt> running;
        for (int i = 0; i < 4; ++i) // as many as one upstream's slots
        {
            if (auto const attempt = send())
            {
                names.insert(attempt->upstream);
                running.push_back(*attempt);
            }
        }
        for (start_attempt const& each : running)
        {
            answer(each);
        }
        run(milliseconds(100));
        return names;
    }

    void run(duration span)
    {
        for (time_point const end = now + span; now < end;)
        {
            now += tick_interval;
            path.tick(now);
        }
    }

    void take(command const& what)
    {
        if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            attempts.push_back(*attempt);
        }
        else if (auto const* refusal = std::get_if<answer_refusal>(&what))
        {
            refusals.push_back(*refusal);
        }
        else if (auto const* end = std::get_if<answer_end>(&what))
        {
            ended.push_back(end->request);
        }
        else if (auto const* entry = std::get_if<record_timeline>(&what))
        {
            entries.push_back(entry->kind + " " + entry->details);
        }
    }

    bool has_logged(std::string const& text) const
    {
        return std::ranges::any_of(entries, [&](std::string const& each)
                                   { return each.starts_with(text); });
    }

    time_point now = start;
    std::uint64_t offset = 0;
    std::vector<start_attempt> attempts;
    std::vector<answer_refusal> refusals;
    std::vector<request_id> ended;
    std::vector<std::string> entries;
    int next_request = 1;
    request_path path;
};

std::set<std::string> names(std::initializer_list<std::string> all)
{
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_evacuated_domain)

BOOST_AUTO_TEST_SUITE(at_one_vm)

// Guards against requests to a domain that is evacuated, also to upstreams that
// are listed later, start again or return, and against a domain that is not
// used again.
BOOST_AUTO_TEST_CASE(gets_nothing_until_it_is_restored)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    desks.list("desk-2", "patan");
    desks.evacuate("asan");
    BOOST_TEST(desks.has_logged("domain_evacuated domain=asan source=store"));
    BOOST_TEST((desks.used() == names({"desk-2"})));
    desks.list("desk-3", "asan");
    desks.list("desk-1", "asan", "", 8);
    BOOST_TEST((desks.used() == names({"desk-2"})));
    desks.path.handle(desks.now, upstream_unlisted{"desk-1"});
    desks.list("desk-1", "asan", "", 8);
    desks.list("desk-2", "asan", "", 8); // the name has moved there
    BOOST_TEST(desks.used().empty());
    desks.evacuate("asan", false);
    BOOST_TEST(desks.has_logged("domain_restored domain=asan"));
    BOOST_TEST((desks.used() == names({"desk-1", "desk-2", "desk-3"})));
}

// Guards against an evacuation that cuts running requests.
BOOST_AUTO_TEST_CASE(ends_what_it_runs)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    auto const running = desks.send();
    BOOST_REQUIRE(running.has_value());
    desks.evacuate("asan");
    desks.run(seconds(2));
    BOOST_TEST(desks.refusals.empty());
    desks.answer(*running);
    BOOST_TEST(desks.ended == std::vector<request_id>{"r1"},
               boost::test_tools::per_element());
}

// Guards against a repeat of a failed attempt in the evacuated domain.
BOOST_AUTO_TEST_CASE(gets_no_repeats)
{
    for (int round = 0; round < 20; ++round)
    {
        desk_service desks;
        for (int i = 1; i <= 4; ++i)
        {
            desks.list(fmt::format("desk-{}", i), "asan");
        }
        auto const first = desks.send();
        BOOST_REQUIRE(first.has_value());
        desks.list("desk-9", "patan");
        desks.evacuate("asan");
        desks.attempts.clear();
        desks.path.handle(desks.now,
                          upstream_failed{first->attempt, verdict::not_run,
                                          "connect_failed"});
        desks.run(seconds(2));
        BOOST_REQUIRE(desks.attempts.size() == 1u);
        BOOST_TEST(desks.attempts.front().upstream == "desk-9");
    }
}

// Guards against requests in the admission queue that go to the evacuated
// domain, or wait in vain for it.
BOOST_AUTO_TEST_SUITE(with_requests_in_the_queue)

BOOST_AUTO_TEST_CASE(has_them_served_elsewhere)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    std::vector<start_attempt> running;
    for (int i = 0; i < 12; ++i)
    {
        if (auto const attempt = desks.send())
        {
            running.push_back(*attempt);
        }
    }
    BOOST_REQUIRE(running.size() < 12u); // the others are queued
    desks.list("desk-2", "patan");
    desks.evacuate("asan");
    desks.attempts.clear();
    for (start_attempt const& each : running)
    {
        desks.answer(each);
    }
    desks.run(milliseconds(200));
    BOOST_TEST(!desks.attempts.empty());
    for (start_attempt const& each : desks.attempts)
    {
        BOOST_TEST(each.upstream == "desk-2");
    }
}

BOOST_AUTO_TEST_CASE(has_them_refused_at_once_if_no_other_is_left)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    std::size_t running = 0;
    for (int i = 0; i < 12; ++i)
    {
        running += desks.send() ? 1 : 0;
    }
    desks.refusals.clear();
    desks.evacuate("asan");
    BOOST_TEST(desks.refusals.size() == 12u - running);
    for (answer_refusal const& each : desks.refusals)
    {
        BOOST_TEST(each.why.status == 503);
        BOOST_TEST((each.why.run == verdict::not_run));
        BOOST_TEST((each.why.retry_after > duration::zero()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that are held until their deadline although it is
// known that nothing can serve them.
BOOST_AUTO_TEST_CASE(has_requests_refused_at_once_if_all_are_evacuated)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    desks.list("desk-2", "patan");
    desks.list("desk-3", "thimi");
    desks.path.upstream_leaving("desk-3");
    desks.evacuate("asan");
    desks.evacuate("patan");
    BOOST_TEST(!desks.send().has_value());
    BOOST_REQUIRE(desks.refusals.size() == 1u);
    refusal const& why = desks.refusals.front().why;
    BOOST_TEST(why.status == 503);
    BOOST_TEST(why.reason == "domains_evacuated");
    BOOST_TEST((why.run == verdict::not_run));
    BOOST_TEST((why.retry_after > duration::zero()));
}

// Guards against waiting for the turn at an evacuated upstream that names a
// limit, and against a time to return that counts on it.
BOOST_AUTO_TEST_CASE(is_not_waited_for)
{
    upstream_table table;
    upstream_profile profile;
    profile.name = "desk-1";
    profile.service = "desk";
    profile.failure_domain = "asan";
    table.put(profile, 1);
    table.set_fleet_position(start, {0, 1});
    BOOST_TEST(table.next_available("desk").has_value());
    table.set_evacuated("asan", true);
    BOOST_TEST(!table.next_available("desk").has_value());
    table.hear_limit(start, "desk-1", 1, 2.0);
    BOOST_TEST(!table.turn_after(start, "desk", 0, {}).has_value());
    BOOST_TEST(!table.row(0).takes_work(start + seconds(1)));
    BOOST_TEST(!table.row(0).takes_relayed(start + seconds(1)));
    table.set_evacuated("asan", false);
    BOOST_TEST(table.turn_after(start, "desk", 0, {}).has_value());
    BOOST_TEST(table.row(0).takes_relayed(start));
}

// Guards against load reads of evacuated engines.
BOOST_AUTO_TEST_CASE(has_no_loads_read)
{
    upstream_table table;
    for (std::string const domain : {"asan", "patan"})
    {
        upstream_profile profile;
        profile.name = "engine-" + domain;
        profile.service = "chat";
        profile.failure_domain = domain;
        table.put(profile, 1);
    }
    table.set_evacuated("asan", true);
    load_sharing loads;
    std::set<std::string> read;
    for (duration at{}; at < seconds(5); at += milliseconds(100))
    {
        for (auto const index : loads.take_due_engines(start + at, table))
        {
            read.insert(table.row(index).profile.name);
        }
    }
    BOOST_TEST((read == names({"engine-patan"})));
}

// Guards against one evacuation that ends or hides another.
BOOST_AUTO_TEST_CASE(holds_beside_another_one)
{
    desk_service desks;
    desks.list("desk-1", "asan");
    desks.list("desk-2", "patan");
    desks.list("desk-3", "thimi");
    desks.evacuate("asan");
    desks.evacuate("patan");
    BOOST_TEST((desks.used() == names({"desk-3"})));
    desks.evacuate("asan", false);
    BOOST_TEST((desks.used() == names({"desk-1", "desk-3"})));
    desks.evacuate("patan", false);
    BOOST_TEST((desks.used() == names({"desk-1", "desk-2", "desk-3"})));
}

// Guards against a version move that sends its share into the evacuated domain,
// and against an evacuation that ends the move.
BOOST_AUTO_TEST_CASE(holds_during_a_version_move)
{
    desk_service desks;
    desks.list("old-asan", "asan", "v1");
    desks.list("new-asan", "asan", "v2");
    desks.list("old-patan", "patan", "v1");
    desks.list("new-patan", "patan", "v2");
    desks.path.moves().add_ordered_move(
        desks.now, "desk",
        {"rev", "desk", "", "v2", desks.now, desks.now + seconds(60)},
        short_move_options());
    desks.evacuate("asan");
    std::set<std::string> used;
    for (int i = 0; i < 300; ++i)
    {
        desks.run(milliseconds(100));
        if (auto const attempt = desks.send())
        {
            used.insert(attempt->upstream);
            desks.answer(*attempt);
        }
    }
    BOOST_TEST((used == names({"old-patan", "new-patan"})));
    BOOST_TEST((desks.path.moves().reports(desks.now).at("desk").state ==
                move_state::running));
}

// Guards against the last version's upstreams being in the evacuated domain:
// the other version serves.
BOOST_AUTO_TEST_CASE(leaves_the_other_version_where_it_holds_all_of_one)
{
    desk_service desks;
    desks.list("old-asan", "asan", "v1");
    desks.list("new-patan", "patan", "v2");
    desks.path.moves().add_ordered_move(
        desks.now, "desk",
        {"rev", "desk", "", "v2", desks.now, desks.now + seconds(60)},
        short_move_options());
    desks.evacuate("patan");
    BOOST_TEST((desks.used() == names({"old-asan"})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_fleet)

// Guards against VMs without the store that go on sending, and against a VM
// that starts while the store is away and serves without knowing.
BOOST_AUTO_TEST_CASE(is_known_to_vms_that_cannot_read_the_store)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        test::crash_world_options options;
        options.vms = 12;
        options.upstreams = 8;
        options.upstream_domains = 4;
        options.first_byte = milliseconds(100);
        options.seed = seed;
        test::crash_world world(options, [](call const&) { return false; });
        auto const send_for = [&](duration span)
        {
            for (duration at{}; at < span; at += milliseconds(20))
            {
                call request;
                request.method = "GET";
                request.target = fmt::format("/{}", world.pick(50));
                world.send(world.pick(options.vms), "sound", request);
                world.run(milliseconds(20));
            }
        };
        std::string domain; // that is evacuated
        auto const arrivals = [&](time_point since)
        {
            return std::ranges::count_if(
                world.arrivals(),
                [&](test::upstream_arrival const& each)
                {
                    return each.at >= since &&
                           test::crash_world::upstream_domain(
                               each.upstream, options.upstream_domains) ==
                               domain;
                });
        };
        send_for(seconds(2));
        time_point const ordered = world.now();
        domain = test::crash_world::upstream_domain(
            world.arrivals().back().upstream, options.upstream_domains);
        BOOST_TEST(arrivals(start) > 0);
        world.vm_at(0).handle(ordered, evacuation_of(domain, 6));
        send_for(seconds(8));
        BOOST_TEST(arrivals(ordered + evacuation_bound) == 0, "seed " << seed);
        // Its configuration is there at once, the store is not.
        world.run(seconds(1)); // what it runs is not lost
        world.restart_vm(5);
        world.run(evacuation_bound);
        time_point const restarted = world.now();
        send_for(seconds(4));
        BOOST_TEST(arrivals(restarted) == 0, "seed " << seed);
        world.vm_at(3).handle(world.now(), evacuation_of(domain, 9, false));
        world.run(evacuation_bound);
        time_point const restored = world.now();
        send_for(seconds(2));
        BOOST_TEST(arrivals(restored) > 0, "seed " << seed);
        world.run(seconds(1));
        auto const& sound = world.of("sound");
        BOOST_TEST(sound.answered == sound.sent, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
