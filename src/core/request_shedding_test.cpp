// Load shedding on the path of requests, before two upstreams.
#include "core/request_path.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 16;
constexpr std::uint32_t full_queue = 33;

// Rejections and loads in headers of their own; everything else as in the
// native dialect.
class load_dialect final : public dialect
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
        if (!header_value(headers, "Not-Run").empty())
        {
            metadata.stated_verdict = verdict::not_run;
        }
        std::string const load(header_value(headers, "Load"));
        answer_load read;
        if (std::sscanf(load.c_str(), "%u,%u,%u", &read.running, &read.waiting,
                        &read.slots) == 3)
        {
            metadata.load = read;
        }
        return metadata;
    }
};

load_dialect const spoken;

struct sent_attempt
{
    attempt_id attempt = 0;
    request_id request;
    std::string upstream;
};

struct urgent_and_other
{
    urgent_and_other()
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        tables->routes = {route_of("/urgent", 0, 1), route_of("/other", 2, 2),
                          route_of("/once", 1, 2)};
        tables->routes[2].idempotent = false;
        path.set_routing_tables(now, tables);
        for (std::string const& name : upstreams)
        {
            upstream_listed entry;
            entry.upstream.name = name;
            entry.upstream.service = "desk";
            entry.upstream.kind = upstream_kind::engine;
            entry.upstream.capacity = slots;
            path.handle(now, entry);
        }
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = std::string("vm");
        result.records_requests = false;
        result.not_run_status = 503;
        result.api_dialect = &spoken;
        result.retries.initial = 20;
        return result;
    }

    static route_spec route_of(std::string const& prefix, std::uint8_t rank,
                               std::uint32_t max_attempts)
    {
        route_spec route;
        route.name = prefix;
        route.prefix = prefix;
        route.service = "desk";
        route.kind = upstream_kind::engine;
        route.timeout = seconds(8);
        route.urgency_rank = rank;
        route.max_attempts = max_attempts;
        return route;
    }

    void take(command const& what)
    {
        if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            sent.push_back(
                {attempt->attempt, attempt->request.id, attempt->upstream});
        }
        if (auto const* refused = std::get_if<answer_refusal>(&what))
        {
            refusals.emplace(refused->request, refused->why);
        }
        if (auto const* line = std::get_if<record_timeline>(&what))
        {
            ++lines[line->kind];
        }
    }

    void ask(std::string const& id, std::string const& target)
    {
        call request;
        request.id = id;
        request.method = std::string("POST");
        request.target = target;
        path.handle(now, call_received{request});
    }

    void report(std::uint32_t running, std::uint32_t waiting)
    {
        for (std::string const& name : upstreams)
        {
            path.upstream_reported(name, {now, running, waiting, 0});
        }
    }

    void decline(sent_attempt const& what)
    {
        path.handle(now,
                    upstream_head{what.attempt,
                                  503,
                                  {{"Not-Run", "1"},
                                   {"Load", fmt::format("{},{},{}", slots,
                                                        full_queue, slots)}}});
    }

    void run(duration span)
    {
        for (time_point const end = now + span; now < end;)
        {
            now += milliseconds(10);
            path.tick(now);
        }
    }

    std::size_t sent_of(std::string const& id) const
    {
        return static_cast<std::size_t>(std::ranges::count(
            sent, id, [](sent_attempt const& each) { return each.request; }));
    }

    std::vector<std::string> const upstreams{"desk-1", "desk-2"};
    time_point now = from_micros(1'000'000'000);
    std::vector<sent_attempt> sent;
    std::map<request_id, refusal> refusals;
    std::map<std::string, std::size_t> lines;
    request_path path;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shed_requests, urgent_and_other)

// Guards against less urgent work that fills the queues of upstreams.
BOOST_AUTO_TEST_CASE(the_less_urgent_wait_and_are_rejected_in_time)
{
    report(slots, 2);
    ask("urgent", "/urgent");
    ask("other", "/other");
    BOOST_TEST(sent_of("urgent") == 1U);
    BOOST_TEST(sent_of("other") == 0U);
    BOOST_TEST(path.shed_requests().at(2).waiting == 1U);
    run(milliseconds(900));
    BOOST_TEST(sent_of("other") == 0U);
    BOOST_TEST(lines["request_held"] == 1U);
    BOOST_TEST(lines["request_shed"] == 1U);
    BOOST_REQUIRE(refusals.contains("other"));
    BOOST_TEST((refusals.at("other").run == verdict::not_run));
    BOOST_TEST((refusals.at("other").retry_after > duration::zero()));
    BOOST_TEST((refusals.at("other").retry_after <= seconds(2)));
    BOOST_TEST(path.shed_requests().at(2).waiting == 0U);
    BOOST_TEST(path.shed_requests().at(2).rejected == 1U);
}

// Guards against room that goes to the less urgent first.
BOOST_AUTO_TEST_CASE(room_goes_to_the_more_urgent_first)
{
    report(slots, full_queue);
    ask("other", "/other");
    ask("once", "/once");
    run(milliseconds(100));
    BOOST_TEST(sent.empty());
    report(2, 0);
    run(milliseconds(30));
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].request == "once");
    BOOST_TEST(sent[1].request == "other");
    BOOST_TEST(refusals.empty());
}

BOOST_AUTO_TEST_CASE(without_loads_or_with_stale_ones_all_is_sent)
{
    ask("unknown", "/other");
    BOOST_TEST(sent_of("unknown") == 1U);
    report(slots, full_queue);
    run(seconds(4));
    ask("stale", "/other");
    BOOST_TEST(sent_of("stale") == 1U);
}

// A suspended VM finds old loads and requests that were held before.
BOOST_AUTO_TEST_CASE(a_suspension_ends_holds_without_a_wrong_rejection)
{
    report(slots, 2);
    ask("other", "/other");
    now += seconds(5);
    path.tick(now);
    BOOST_TEST(sent_of("other") == 1U);
    BOOST_TEST(refusals.empty());
}

BOOST_AUTO_TEST_CASE(one_full_upstream_leaves_the_other)
{
    report(4, 0);
    ask("other", "/other");
    BOOST_REQUIRE(sent.size() == 1U);
    decline(sent[0]);
    run(milliseconds(100));
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[1].upstream != sent[0].upstream);
    for (int i = 0; i < 5; ++i)
    {
        ask(fmt::format("u{}", i), "/urgent");
        BOOST_TEST(sent.back().upstream == sent[1].upstream);
    }
}

// Guards against urgent requests with one attempt that are spent on upstreams
// known to be full.
BOOST_AUTO_TEST_CASE(at_full_upstreams_the_urgent_wait_for_a_newer_load)
{
    report(slots, full_queue - 1);
    ask("first", "/urgent");
    ask("second", "/urgent");
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_REQUIRE(sent[0].upstream != sent[1].upstream);
    decline(sent[0]);
    decline(sent[1]);
    BOOST_REQUIRE(refusals.contains("first")); // it had one attempt
    BOOST_TEST((refusals.at("first").retry_after > duration::zero()));
    BOOST_TEST((refusals.at("first").retry_after <= seconds(2)));
    ask("third", "/urgent");
    run(milliseconds(100));
    BOOST_TEST(sent_of("third") == 0U);
    report(slots, 3);
    run(milliseconds(30));
    BOOST_TEST(sent_of("third") == 1U);
}

// Guards against an effect that happens twice.
BOOST_AUTO_TEST_CASE(what_may_have_run_once_is_not_sent_again)
{
    report(4, 0);
    ask("declined", "/once");
    ask("failed", "/once");
    BOOST_REQUIRE(sent.size() == 2U);
    path.handle(now, upstream_failed{sent[1].attempt, verdict::may_have_run,
                                     "connection_lost"});
    decline(sent[0]);
    run(milliseconds(200));
    BOOST_TEST(sent_of("failed") == 1U);
    BOOST_TEST(sent_of("declined") == 2U);
}

BOOST_AUTO_TEST_CASE(expired_and_left_requests_are_not_counted_as_waiting)
{
    report(slots, full_queue);
    ask("left", "/other");
    path.handle(now, call_abandoned{"left"});
    BOOST_TEST(path.shed_requests().at(2).waiting == 0U);
    ask("expired", "/other");
    now += seconds(9);
    path.tick(now);
    BOOST_TEST(path.shed_requests().at(2).waiting == 0U);
    BOOST_TEST(path.shed_requests().at(2).expired == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
