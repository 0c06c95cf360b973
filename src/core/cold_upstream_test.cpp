// Upstreams that have just started and handle few requests: at one VM, and in a
// fleet.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'700'000'000'000'000);
constexpr double rate = 5;
// What a cold upstream may get in any second (Bounds.ColdOvershoot, ColdSlack).
constexpr double bound = rate * 1.5 + 5;

std::string const cold_header = "Cold";

// The cold time in a header of its own; the rest as in the native dialect.
class cold_dialect final : public dialect
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
        std::string const cold(header_value(headers, cold_header));
        if (!cold.empty())
        {
            metadata.notice.cold_for = milliseconds(std::atoi(cold.c_str()));
        }
        return metadata;
    }
};

cold_dialect const spoken;

// A request path, the only VM, before desks in incarnation 7.
struct desk_service
{
    explicit desk_service(int upstreams,
                          std::string const& cold_service = "desk")
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = "/";
        route.service = "desk";
        route.max_attempts = 1;
        route.timeout = seconds(9);
        tables->routes.push_back(route);
        if (!cold_service.empty())
        {
            tables->warm_ups.push_back({cold_service, seconds(8), rate});
        }
        path.set_routing_tables(now, tables);
        path.set_fleet_position(now, {0, 1});
        for (int i = 1; i <= upstreams; ++i)
        {
            list(fmt::format("desk-{}", i));
        }
        run(seconds(2)); // the list of VMs has settled
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = "vm";
        result.records_requests = false;
        result.api_dialect = &spoken;
        result.outliers.min_active_share = 0;
        return result;
    }

    void list(std::string const& name, duration cold_for = {},
              std::uint64_t incarnation = 7)
    {
        upstream_listed entry;
        entry.upstream.name = name;
        entry.upstream.service = "desk";
        entry.incarnation = incarnation;
        entry.cold_for = cold_for;
        path.handle(now, entry);
    }

    std::optional<start_attempt> send()
    {
        std::size_t const before = attempts.size();
        call request;
        request.id = fmt::format("r{}", next_request++);
        request.method = "GET";
        request.target = fmt::format("/{}", next_request);
        path.handle(now, call_received{request});
        return attempts.size() == before ? std::nullopt
                                         : std::optional(attempts.back());
    }

    void answer(start_attempt const& attempt, header_list headers = {})
    {
        path.handle(now,
                    upstream_head{attempt.attempt, 200, std::move(headers)});
        path.handle(now, upstream_end{attempt.attempt});
    }

    // The upstream that gets a request if all are idle.
    std::string favourite()
    {
        auto const attempt = send();
        BOOST_REQUIRE(attempt.has_value());
        answer(*attempt);
        return attempt->upstream;
    }

    // Requests in `span` that went to `upstream`; all are answered.
    std::size_t requests_to(std::string const& upstream, duration span)
    {
        std::size_t count = 0;
        for (time_point const end = now + span; now < end;)
        {
            run(tick_interval);
            if (auto const attempt = send())
            {
                count += attempt->upstream == upstream ? 1 : 0;
                answer(*attempt);
            }
        }
        return count;
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
            decisions.push_back("send " + attempt->request.id + " " +
                                attempt->upstream);
        }
        else if (auto const* refusal = std::get_if<answer_refusal>(&what))
        {
            refusals.push_back(*refusal);
            decisions.push_back("refuse " + refusal->request + " " +
                                refusal->why.reason);
        }
        else if (auto const* entry = std::get_if<record_timeline>(&what))
        {
            entries.push_back(entry->kind + " " + entry->details);
            decisions.push_back(entries.back());
        }
    }

    std::size_t logged(std::string const& text) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(entries, [&](std::string const& each)
                                  { return each.starts_with(text); }));
    }

    upstream_row const& row(std::string const& name) const
    {
        return path.upstreams().row(*path.upstreams().find(name));
    }

    time_point now = start;
    std::vector<start_attempt> attempts;
    std::vector<answer_refusal> refusals;
    std::vector<std::string> entries;
    std::vector<std::string> decisions; // all of it, in order
    int next_request = 1;
    request_path path;
};

// A fleet before upstreams that the test makes cold.
class cold_world
{
public:
    explicit cold_world(std::uint64_t seed, std::size_t domains = 1)
        : options_(with_cold(seed, domains)),
          world(options_, [](call const&) { return false; })
    {
    }

    static constexpr std::size_t vms = 24;

    // From now on for `span`; all VMs read it in the directory.
    void make_cold(std::string const& upstream, duration span)
    {
        until_[upstream] = world.now() + span;
        world.tell_entry(upstream);
    }

    void send_for(duration span)
    {
        for (duration at{}; at < span; at += milliseconds(10))
        {
            for (int i = 0; i < 3; ++i)
            {
                call request;
                request.method = "GET";
                request.target = fmt::format("/{}", world.pick(50));
                request.metadata.time_limit = seconds(2);
                world.send(world.pick(vms), "sound", std::move(request));
            }
            world.run(milliseconds(10));
        }
    }

    // The upstreams in the order of how many requests they have got.
    std::vector<std::string> busiest() const
    {
        std::map<std::string, std::size_t> counts;
        for (auto const& each : world.arrivals())
        {
            ++counts[each.upstream];
        }
        std::vector<std::string> names;
        names.reserve(counts.size());
        for (auto const& [name, count] : counts)
        {
            names.push_back(name);
        }
        std::ranges::sort(names, std::ranges::greater(),
                          [&](std::string const& name)
                          { return counts.at(name); });
        return names;
    }

    // Requests that reached an upstream in a span, and the most in any second
    // of it.
    std::vector<time_point> arrivals(std::string const& upstream,
                                     time_point from, time_point to) const
    {
        std::vector<time_point> times;
        for (auto const& each : world.arrivals())
        {
            if (each.upstream == upstream && each.at >= from && each.at < to)
            {
                times.push_back(each.at);
            }
        }
        return times;
    }

    double most(std::string const& upstream, time_point from,
                time_point to) const
    {
        auto const times = arrivals(upstream, from, to);
        std::ptrdiff_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first)
        {
            most = std::max(most, std::lower_bound(first, times.end(),
                                                   *first + seconds(1)) -
                                      first);
        }
        return static_cast<double>(most);
    }

private:
    test::crash_world_options with_cold(std::uint64_t seed, std::size_t domains)
    {
        test::crash_world_options options;
        options.vms = vms;
        options.upstreams = 8;
        options.upstream_domains = domains;
        options.first_byte = milliseconds(100);
        options.seed = seed;
        options.warm_ups = {{"desk", seconds(8), rate}};
        options.api_dialect = &spoken;
        options.cold_for = [this](std::string const& upstream)
        {
            auto const found = until_.find(upstream);
            return found == until_.end() ? duration::zero()
                                         : std::max(found->second - world.now(),
                                                    duration::zero());
        };
        return options;
    }

    std::map<std::string, time_point> until_;
    test::crash_world_options options_;

public:
    test::crash_world world;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_cold_upstream)

BOOST_AUTO_TEST_SUITE(at_one_vm)

// Guards against requests beyond the rate, and against none at all.
BOOST_AUTO_TEST_CASE(gets_requests_at_its_rate_until_it_is_warm)
{
    desk_service desks(2);
    std::string const name = desks.favourite();
    std::size_t const usual = desks.requests_to(name, seconds(4));
    desks.list(name, seconds(4));
    BOOST_TEST(
        desks.logged(
            "upstream_cold upstream=" + name +
            " incarnation=7 source=directory remaining_ms=4000 per_second=5 "
            "vms=1 interval_ms=200") == 1u);
    BOOST_TEST(desks.path.upstreams().warming_up(desks.now) == 1u);
    std::size_t const cold = desks.requests_to(name, seconds(4));
    BOOST_TEST(cold <= 4 * rate + 1);
    BOOST_TEST(cold >= 4 * rate / 2);
    BOOST_TEST(desks.requests_to(name, seconds(4)) >= usual * 8 / 10);
    BOOST_TEST(desks.logged("upstream_warm upstream=" + name) == 1u);
    BOOST_TEST(desks.path.upstreams().warming_up(desks.now) == 0u);
}

// Guards against an upstream that turns cold again, while it is cold or later,
// and that the VM learns of from its answers only.
BOOST_AUTO_TEST_CASE(is_known_by_its_answers_when_it_turns_cold_again)
{
    desk_service desks(2);
    desks.list("desk-1", seconds(2));
    desks.run(seconds(3));
    BOOST_TEST(!desks.row("desk-1").warms_up(desks.now));
    auto attempt = desks.send();
    BOOST_REQUIRE(attempt.has_value());
    std::string const name = attempt->upstream;
    desks.answer(*attempt, {{cold_header, "8000"}});
    BOOST_TEST(desks.row(name).warms_up(desks.now + milliseconds(7'900)));
    BOOST_TEST(!desks.row(name).warms_up(desks.now + milliseconds(8'100)));
    BOOST_TEST(desks.requests_to(name, seconds(4)) <= 4 * rate + 1);
    std::size_t const logged = desks.logged("upstream_cold upstream=" + name);
    desks.list(name, seconds(8)); // cold anew, four seconds before its end
    BOOST_TEST(desks.row(name).warms_up(desks.now + milliseconds(7'900)));
    BOOST_TEST(desks.logged("upstream_cold upstream=" + name) == logged + 1);
}

// Guards against an older record, a record without the time, or a return within
// an incarnation that ends a cold time early, and against a cold time that
// passes to the next start.
BOOST_AUTO_TEST_CASE(stays_cold_for_the_longest_time_told_in_its_incarnation)
{
    desk_service desks(2);
    desks.list("desk-1", seconds(8));
    desks.list("desk-1", seconds(1));
    desks.list("desk-1");
    BOOST_TEST(desks.row("desk-1").warms_up(desks.now + seconds(7)));
    desks.path.handle(desks.now, upstream_unlisted{"desk-1"});
    desks.list("desk-1");
    BOOST_TEST(desks.row("desk-1").warms_up(desks.now + seconds(7)));
    desks.list("desk-1", seconds(3), 8);
    BOOST_TEST(desks.row("desk-1").warms_up(desks.now + seconds(2)));
    BOOST_TEST(!desks.row("desk-1").warms_up(desks.now + seconds(4)));
}

// Guards against requests from a VM that does not know how many VMs share the
// rate.
BOOST_AUTO_TEST_CASE(gets_nothing_while_the_number_of_vms_is_not_known)
{
    desk_service desks(2);
    std::string const name = desks.favourite();
    desks.path.set_fleet_position(desks.now, {0, 0});
    // A smaller number counts only after 30 s; see request_path.
    desks.run(seconds(40));
    desks.list(name, seconds(4));
    BOOST_TEST(desks.requests_to(name, milliseconds(3'900)) == 0u);
}

// Guards against requests that are refused though a turn comes in time, and
// that are held beyond what turns can serve.
BOOST_AUTO_TEST_CASE(has_requests_wait_for_a_turn_if_there_is_no_other)
{
    desk_service desks(1);
    desks.list("desk-1", seconds(8));
    for (int i = 0; i < 60; ++i)
    {
        if (auto const attempt = desks.send())
        {
            desks.answer(*attempt);
        }
    }
    // Three seconds, a third of the time that a request has, are 15 turns.
    BOOST_TEST(desks.refusals.size() >= 60u - 3 * rate - 2);
    BOOST_TEST(desks.refusals.size() <= 60u - 3 * rate + 2);
    for (answer_refusal const& each : desks.refusals)
    {
        BOOST_TEST(each.why.status == 503);
        BOOST_TEST((each.why.run == verdict::not_run));
        BOOST_TEST((each.why.retry_after > duration::zero()));
        BOOST_TEST((each.why.retry_after <= seconds(8)));
    }
    std::size_t const refused = desks.refusals.size();
    for (int i = 0; i < 400; ++i)
    {
        std::size_t const before = desks.attempts.size();
        desks.run(tick_interval);
        for (std::size_t k = before; k < desks.attempts.size(); ++k)
        {
            desks.answer(desks.attempts[k]);
        }
    }
    BOOST_TEST(desks.attempts.size() + refused == 60u);
    BOOST_TEST(desks.refusals.size() == refused);
}

// Guards against a turn that is told where only one of the two admits.
BOOST_AUTO_TEST_CASE(that_names_a_limit_has_turns_by_both)
{
    for (double const limit : {0.7, 2.0, 4.0, 11.0})
    {
        upstream_table table;
        upstream_profile profile;
        profile.name = "desk-1";
        profile.service = "desk";
        table.put(profile, 1);
        table.set_fleet_position(start, {1, 3});
        table.set_warm_up_rates(start, {{"desk", rate}});
        table.hear_cold(start, "desk-1", 1, seconds(30));
        table.hear_limit(start, "desk-1", 1, limit);
        std::size_t sent = 0;
        time_point now = start + seconds(2);
        for (; now < start + seconds(28); now += milliseconds(10))
        {
            upstream_row const& row = table.row(0);
            bool const admits = row.takes_work(now);
            BOOST_TEST(admits ==
                       (row.limit->admits(now) && row.warm_up->admits(now)));
            auto const turn = table.turn_after(now, "desk", 0, {});
            BOOST_REQUIRE(turn.has_value());
            BOOST_TEST(table.row(0).takes_work(std::max(*turn, now)));
            if (admits)
            {
                table.use_turns(now, 0);
                ++sent;
            }
        }
        BOOST_TEST(sent > 0u);
        BOOST_TEST(static_cast<double>(sent) <= 26 * limit / 3 + 1);
        BOOST_TEST(static_cast<double>(sent) <= 26 * rate / 3 + 1);
    }
}

// Guards against an ejection of an upstream that is slow because it is cold,
// and against one that fails for other reasons and is kept.
BOOST_AUTO_TEST_CASE(is_not_ejected_for_being_slow)
{
    for (std::string const reason :
         {"connect_timeout", "head_timeout", "piece_timeout", "answer_timeout",
          "connection_lost"})
    {
        desk_service desks(2);
        std::string const name = desks.favourite();
        desks.list(name, seconds(60));
        int failures = 0;
        for (int i = 0; i < 3'000 && failures < 5; ++i)
        {
            desks.run(tick_interval);
            auto const attempt = desks.send();
            if (attempt && attempt->upstream == name)
            {
                ++failures;
                desks.path.handle(
                    desks.now, upstream_failed{attempt->attempt,
                                               verdict::may_have_run, reason});
            }
            else if (attempt)
            {
                desks.answer(*attempt);
            }
        }
        bool const is_ejected = desks.row(name).ejected_until > desks.now;
        BOOST_TEST(is_ejected == (reason == "connection_lost"), reason);
    }
}

// Guards against reads of loads at engines that are cold.
BOOST_AUTO_TEST_CASE(has_no_loads_read)
{
    upstream_table table;
    for (std::string const name : {"engine-1", "engine-2"})
    {
        upstream_profile profile;
        profile.name = name;
        profile.service = "chat";
        table.put(profile, 1);
    }
    table.set_fleet_position(start, {0, 1});
    table.set_warm_up_rates(start, {{"chat", rate}});
    table.hear_cold(start, "engine-1", 1, seconds(5));
    load_sharing loads;
    std::map<std::string, time_point> first_read;
    for (duration at{}; at < seconds(8); at += milliseconds(100))
    {
        for (auto const index : loads.take_due_engines(start + at, table))
        {
            first_read.try_emplace(table.row(index).profile.name, start + at);
        }
    }
    BOOST_TEST((first_read.at("engine-1") >= start + seconds(5)));
    BOOST_TEST((first_read.at("engine-2") < start + seconds(2)));
}

// Guards against any change for services without a rate for cold upstreams: the
// same events lead to the same decisions and lines, whether or not upstreams
// tell that they are cold and another service has a rate.
BOOST_AUTO_TEST_CASE(is_like_any_other_where_its_service_has_no_rate)
{
    desk_service told(4, "other");
    desk_service untold(4, "");
    for (int i = 0; i < 600; ++i)
    {
        for (desk_service* const each : {&told, &untold})
        {
            bool const tells = each == &told;
            each->run(tick_interval);
            if (i % 20 == 0)
            {
                each->list(fmt::format("desk-{}", 1 + i / 20 % 4),
                           tells ? seconds(8) : seconds(0));
            }
            auto const attempt = each->send();
            if (!attempt)
            {
                continue;
            }
            if (i % 7 == 0)
            {
                each->path.handle(each->now,
                                  upstream_failed{attempt->attempt,
                                                  verdict::may_have_run,
                                                  "head_timeout"});
                continue;
            }
            each->answer(*attempt, tells ? header_list{{cold_header, "5000"}}
                                         : header_list{});
        }
    }
    BOOST_TEST(told.decisions == untold.decisions,
               boost::test_tools::per_element());
    BOOST_TEST(told.path.upstreams().warming_up(told.now) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(before_a_fleet)

// Guards against more requests than the upstream can handle from all VMs
// together, while VMs restart and are cut off from each other.
BOOST_AUTO_TEST_CASE(gets_no_more_than_it_can_handle_while_vms_fail)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        cold_world desks(seed);
        desks.send_for(seconds(2));
        time_point const begin = desks.world.now();
        std::vector<std::string> chosen = desks.busiest();
        BOOST_REQUIRE(chosen.size() >= 3u);
        chosen.resize(3);
        for (std::string const& cold : chosen)
        {
            desks.make_cold(cold, seconds(12));
        }
        desks.world.cut_off(3, true);
        desks.world.cut_off(4, true);
        for (std::size_t i = 0; i < 10; ++i)
        {
            desks.world.restart_vm(5 + i);
            desks.send_for(seconds(1));
        }
        time_point const end = desks.world.now();
        for (std::string const& cold : chosen)
        {
            BOOST_TEST(desks.most(cold, begin, end) <= bound,
                       cold << " seed " << seed);
            BOOST_TEST(desks.arrivals(cold, begin, end).size() > 0u);
        }
        desks.send_for(seconds(4));
        time_point const warm = desks.world.now();
        desks.send_for(seconds(2));
        BOOST_TEST(desks.most(chosen[0], warm, desks.world.now()) > bound);
        auto const& sound = desks.world.of("sound");
        BOOST_TEST(sound.answered * 100 >= sound.sent * 98, "seed " << seed);
    }
}

// Guards against a burst when all VMs start at once before cold upstreams.
BOOST_AUTO_TEST_CASE(gets_no_more_when_all_vms_start_at_once)
{
    cold_world desks(1);
    for (int i = 0; i < 8; ++i)
    {
        desks.make_cold(fmt::format("desk-{}", i), seconds(12));
    }
    time_point const begin = desks.world.now();
    for (std::size_t i = 0; i < cold_world::vms; ++i)
    {
        desks.world.restart_vm(i);
    }
    desks.send_for(seconds(8));
    for (int i = 0; i < 8; ++i)
    {
        std::string const name = fmt::format("desk-{}", i);
        BOOST_TEST(desks.most(name, begin, desks.world.now()) <= bound);
        // Half of what they can handle, once the lists of VMs have settled.
        BOOST_TEST(desks.arrivals(name, begin, desks.world.now()).size() >=
                   7 * rate / 2);
    }
}

// Guards against a restored domain whose upstreams have become cold meanwhile
// and get all requests at once.
BOOST_AUTO_TEST_CASE(gets_no_more_in_a_domain_that_is_restored)
{
    cold_world desks(1, 4);
    desks.send_for(seconds(2));
    std::string const favourite = desks.busiest().front();
    std::string const zone = test::crash_world::upstream_domain(favourite, 4);
    std::vector<std::string> there;
    for (int i = 0; i < 8; ++i)
    {
        std::string const name = fmt::format("desk-{}", i);
        if (test::crash_world::upstream_domain(name, 4) == zone)
        {
            there.push_back(name);
        }
    }
    std::uint64_t offset = 0;
    auto const order = [&](bool is_evacuated)
    {
        ++offset;
        for (std::size_t i = 0; i < cold_world::vms; ++i)
        {
            desks.world.vm_at(i).handle(
                desks.world.now(),
                domain_evacuated{{zone, is_evacuated, 0, offset}});
        }
    };
    order(true);
    time_point const evacuated = desks.world.now();
    desks.send_for(seconds(5));
    time_point const restored = desks.world.now();
    for (std::string const& name : there)
    {
        BOOST_TEST(desks.arrivals(name, evacuated, restored).empty());
        desks.make_cold(name, seconds(6));
    }
    order(false);
    desks.send_for(seconds(5));
    for (std::string const& name : there)
    {
        BOOST_TEST(desks.most(name, restored, desks.world.now()) <= bound);
    }
    // The one that was in use before is used again.
    BOOST_TEST(!desks.arrivals(favourite, restored, desks.world.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
