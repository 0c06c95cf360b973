// What upstreams say about themselves in their answers: that they are shutting
// down, that they want no requests for a time, or how many they take from all
// VMs together.
#include "core/request_path.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);
constexpr int ok = 200;
constexpr int unavailable = 503;
std::string const leaving_header = "Leaving";
std::string const pause_header = "Pause-Ms";
std::string const limit_header = "Limit";
std::string const misdirected_header = "Misdirected";

// Notices in headers of their own; everything else as in the native dialect.
class notice_dialect final : public dialect
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
        return status == unavailable;
    }

    answer_metadata read_answer(request_id const&, int status,
                                header_list const& headers) const override
    {
        answer_metadata metadata;
        if (status == unavailable)
        {
            metadata.stated_verdict = verdict::not_run;
        }
        metadata.from_other_upstream =
            !header_value(headers, misdirected_header).empty();
        metadata.notice.leaving =
            !header_value(headers, leaving_header).empty();
        std::string const pause(header_value(headers, pause_header));
        if (!pause.empty())
        {
            metadata.notice.pause = milliseconds(std::stoi(pause));
        }
        std::string const limit(header_value(headers, limit_header));
        if (!limit.empty())
        {
            metadata.notice.request_limit = std::stod(limit);
        }
        metadata.tells_of_limits = status == ok;
        return metadata;
    }
};

notice_dialect const spoken;

// A request path before `upstreams` register desks, all in incarnation 7.
struct desk_service
{
    explicit desk_service(int upstreams)
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = "/";
        route.service = "desk";
        route.idempotent = true;
        route.max_attempts = 2;
        tables->routes.push_back(route);
        path.set_routing_tables(now, tables);
        for (int i = 1; i <= upstreams; ++i)
        {
            list("desk-" + std::to_string(i), 7);
        }
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = "vm";
        result.records_requests = false;
        result.api_dialect = &spoken;
        return result;
    }

    void list(std::string const& name, std::uint64_t incarnation)
    {
        upstream_listed entry;
        entry.upstream.name = name;
        entry.upstream.service = "desk";
        entry.upstream.kind = upstream_kind::plain;
        entry.incarnation = incarnation;
        path.handle(now, entry);
    }

    // Sends a request; the attempt that it starts, if any.
    std::optional<start_attempt> send()
    {
        attempts.clear();
        refusals.clear();
        call request;
        request.id = "r" + std::to_string(next_request++);
        request.method = "GET";
        request.target = "/";
        path.handle(now, call_received{request});
        return attempts.empty() ? std::nullopt : std::optional(attempts.back());
    }

    void answer(start_attempt const& attempt, int status, header_list headers)
    {
        path.handle(now,
                    upstream_head{attempt.attempt, status, std::move(headers)});
        path.handle(now, upstream_end{attempt.attempt});
    }

    // How many of 40 requests go to `upstream`; all are answered.
    int requests_to(std::string const& upstream)
    {
        int count = 0;
        for (int i = 0; i < 40; ++i)
        {
            if (auto const attempt = send())
            {
                count += attempt->upstream == upstream ? 1 : 0;
                answer(*attempt, ok, {});
            }
        }
        return count;
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
    }

    time_point now = start;
    std::vector<start_attempt> attempts;
    std::vector<answer_refusal> refusals;
    int next_request = 1;
    request_path path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_upstream_that_answers)

BOOST_AUTO_TEST_SUITE(that_it_is_leaving)

BOOST_AUTO_TEST_CASE(gets_no_further_request_whatever_the_status)
{
    for (int const status : {ok, 404, 500, unavailable})
    {
        desk_service desks(3);
        auto const attempt = desks.send();
        BOOST_REQUIRE(attempt.has_value());
        desks.answer(*attempt, status, {{leaving_header, "1"}});
        BOOST_TEST(desks.requests_to(attempt->upstream) == 0);
    }
}

BOOST_AUTO_TEST_CASE(finishes_what_it_runs)
{
    desk_service desks(1);
    auto const first = desks.send();
    auto const second = desks.send();
    BOOST_REQUIRE((first && second));
    desks.answer(*first, ok, {{leaving_header, "1"}});
    desks.answer(*second, ok, {});
    BOOST_TEST(desks.refusals.empty());
    BOOST_TEST(desks.path.idle());
}

BOOST_AUTO_TEST_CASE(is_told_to_the_peers_once)
{
    desk_service desks(2);
    auto const first = desks.send();
    auto const second = desks.send();
    BOOST_REQUIRE((first && second));
    desks.answer(*first, ok, {{leaving_header, "1"}});
    BOOST_REQUIRE(desks.path.take_found_leaving().size() == 1u);
    desks.path.upstream_leaving(leaving_upstream{first->upstream, 7});
    BOOST_TEST(desks.path.take_found_leaving().empty());
}

BOOST_AUTO_TEST_CASE(may_be_the_predecessor_of_the_one_that_runs_now)
{
    desk_service desks(1);
    auto const attempt = desks.send();
    BOOST_REQUIRE(attempt.has_value());
    desks.list("desk-1", 8);
    desks.answer(*attempt, ok, {{leaving_header, "1"}});
    BOOST_TEST(desks.requests_to("desk-1") == 40);
    desks.path.upstream_leaving(leaving_upstream{"desk-1", 7});
    BOOST_TEST(desks.requests_to("desk-1") == 40);
}

BOOST_AUTO_TEST_CASE(stays_so_when_its_entry_lapses_and_comes_back)
{
    desk_service desks(1);
    auto const attempt = desks.send();
    BOOST_REQUIRE(attempt.has_value());
    desks.answer(*attempt, ok, {{leaving_header, "1"}});
    desks.path.handle(desks.now, upstream_unlisted{"desk-1"});
    desks.list("desk-1", 7);
    BOOST_TEST(!desks.send().has_value());
    desks.path.handle(desks.now, upstream_unlisted{"desk-1"});
    desks.list("desk-1", 8);
    BOOST_TEST(desks.send().has_value());
}

BOOST_AUTO_TEST_CASE(is_not_the_one_meant_if_the_address_is_anothers)
{
    desk_service desks(1);
    auto const attempt = desks.send();
    BOOST_REQUIRE(attempt.has_value());
    desks.answer(*attempt, 421,
                 {{leaving_header, "1"}, {misdirected_header, "1"}});
    desks.now += seconds(5);
    BOOST_TEST(desks.requests_to("desk-1") == 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_it_wants_a_pause)

BOOST_AUTO_TEST_CASE(gets_no_request_until_its_end)
{
    desk_service desks(2);
    auto const attempt = desks.send();
    BOOST_REQUIRE(attempt.has_value());
    desks.answer(*attempt, unavailable, {{pause_header, "2000"}});
    BOOST_TEST(desks.requests_to(attempt->upstream) == 0);
    desks.now += milliseconds(1'999);
    BOOST_TEST(desks.requests_to(attempt->upstream) == 0);
    desks.now += milliseconds(1);
    BOOST_TEST(desks.requests_to(attempt->upstream) > 0);
}

BOOST_AUTO_TEST_CASE(is_not_paused_for_less_by_a_later_answer)
{
    desk_service desks(1);
    auto const first = desks.send();
    auto const second = desks.send();
    BOOST_REQUIRE((first && second));
    desks.answer(*first, unavailable, {{pause_header, "2000"}});
    desks.answer(*second, unavailable, {{pause_header, "100"}});
    desks.now += milliseconds(500);
    BOOST_TEST(!desks.send().has_value());
}

BOOST_AUTO_TEST_CASE(is_not_taken_for_a_faulty_one)
{
    desk_service desks(1);
    for (int i = 0; i < 20; ++i)
    {
        auto const attempt = desks.send();
        BOOST_REQUIRE(attempt.has_value());
        desks.answer(*attempt, unavailable, {{pause_header, "100"}});
        desks.now += milliseconds(100);
    }
    BOOST_TEST(desks.requests_to("desk-1") == 40);
}

// The caller learns at once that its request was not run, and when an upstream
// takes requests again.
BOOST_AUTO_TEST_CASE(leaves_the_callers_a_true_refusal_if_all_others_pause_too)
{
    desk_service desks(2);
    auto const first = desks.send();
    auto const second = desks.send();
    BOOST_REQUIRE((first && second));
    BOOST_REQUIRE(first->upstream != second->upstream);
    desks.answer(*first, unavailable, {{pause_header, "3000"}});
    desks.answer(*second, unavailable, {{pause_header, "700"}});
    BOOST_TEST(!desks.send().has_value());
    BOOST_REQUIRE(desks.refusals.size() == 1u);
    refusal const& why = desks.refusals.front().why;
    BOOST_TEST(why.status == unavailable);
    BOOST_TEST((why.run == verdict::not_run));
    BOOST_TEST((why.retry_after == milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(to_a_load_read_is_left_alone_too)
{
    desk_service desks(2);
    desks.path.handle(desks.now,
                      upstream_noticed{"desk-1", {false, seconds(1)}});
    BOOST_TEST(desks.requests_to("desk-1") == 0);
    desks.path.handle(desks.now, upstream_noticed{"desk-2", {true, {}}});
    BOOST_TEST(!desks.send().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_it_takes_so_many_requests_a_second)

BOOST_AUTO_TEST_CASE(has_callers_return_sooner_if_anothers_pause_ends_sooner)
{
    desk_service desks(2);
    desks.path.set_fleet_position(desks.now, {0, 40});
    auto const first = desks.send();
    auto const second = desks.send();
    BOOST_REQUIRE((first && second && first->upstream != second->upstream));
    desks.answer(*first, ok, {{limit_header, "1"}});
    desks.answer(*second, unavailable, {{pause_header, "700"}});
    desks.now += seconds(2);
    desks.answer(*desks.send(), unavailable, {{pause_header, "700"}});
    while (desks.refusals.empty())
    {
        desks.send();
    }
    BOOST_TEST((desks.refusals.front().why.retry_after <= milliseconds(700)));
}

// One VM of a fleet of four: a turn every two seconds.
struct limited_desk : desk_service
{
    limited_desk() : desk_service(1)
    {
        path.set_fleet_position(now, {0, 4});
        hear("2");
    }

    // Has the desk answer a request with this limit.
    void hear(std::string const& limit)
    {
        auto const attempt = send();
        BOOST_REQUIRE(attempt.has_value());
        answer(*attempt, ok, {{limit_header, limit}});
    }

    void run(duration span)
    {
        for (time_point const end = now + span; now < end;)
        {
            now += milliseconds(10);
            path.tick(now);
        }
    }
};

BOOST_FIXTURE_TEST_CASE(has_a_request_wait_for_its_turn, limited_desk)
{
    BOOST_TEST(!send().has_value());
    BOOST_TEST(refusals.empty());
    run(seconds(3));
    BOOST_TEST(attempts.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(has_as_many_wait_as_have_a_turn_in_time, limited_desk)
{
    std::size_t waiting = 0;
    for (int i = 0; i < 20; ++i)
    {
        send();
        waiting += refusals.empty() ? 1 : 0;
    }
    BOOST_TEST(waiting >= 2u);
    BOOST_TEST(waiting < 10u);
    attempts.clear();
    refusals.clear();
    run(seconds(15));
    BOOST_TEST(attempts.size() + refusals.size() == waiting);
    BOOST_TEST(refusals.size() <= 1u);
}

BOOST_FIXTURE_TEST_CASE(has_a_caller_return_when_there_is_a_turn, limited_desk)
{
    while (refusals.empty())
    {
        send();
    }
    refusal const why = refusals.front().why;
    BOOST_TEST(why.status == unavailable);
    BOOST_TEST((why.run == verdict::not_run));
    BOOST_TEST((why.retry_after > seconds(2)));
    run(why.retry_after);
    attempts.clear();
    send();
    run(seconds(2));
    BOOST_TEST(refusals.empty());
    BOOST_TEST(attempts.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(has_no_request_wait_that_has_failed_there, limited_desk)
{
    send();
    run(seconds(3));
    BOOST_REQUIRE(attempts.size() == 1u);
    path.handle(now, upstream_failed{attempts.front().attempt,
                                     verdict::may_have_run, "timeout"});
    run(milliseconds(100));
    BOOST_TEST(refusals.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(has_a_limit_until_it_names_none, limited_desk)
{
    path.handle(now, upstream_noticed{"desk-1", {}});
    BOOST_TEST(!send().has_value());
    run(seconds(3));
    BOOST_REQUIRE(attempts.size() == 1u);
    answer(attempts.front(), ok, {});
    BOOST_TEST(requests_to("desk-1") == 40);
}

BOOST_FIXTURE_TEST_CASE(has_none_in_a_later_incarnation, limited_desk)
{
    list("desk-1", 8);
    BOOST_TEST(requests_to("desk-1") == 40);
}

BOOST_FIXTURE_TEST_CASE(has_it_when_its_entry_lapses_and_comes_back,
                        limited_desk)
{
    path.handle(now, upstream_unlisted{"desk-1"});
    list("desk-1", 7);
    BOOST_TEST(requests_to("desk-1") == 0);
}

BOOST_FIXTURE_TEST_CASE(has_the_limit_that_it_named_last, limited_desk)
{
    // Peers' messages that are older than the desk's own answer, and a later
    // one.
    path.merge_limit(now, {"desk-1", 7, 0, duration(seconds(5)).count()});
    BOOST_TEST(requests_to("desk-1") == 0);
    now += seconds(1);
    path.merge_limit(now, {"desk-1", 6, 0, 0});
    BOOST_TEST(path.upstreams().limits(now).size() == 1u);
    path.merge_limit(now, {"desk-1", 7, std::nan(""), 0});
    BOOST_TEST(path.upstreams().limits(now).front().per_second == 2);
    path.merge_limit(now, {"desk-1", 7, 0, 0});
    BOOST_TEST(requests_to("desk-1") == 40);
}

BOOST_FIXTURE_TEST_CASE(is_shared_with_vms_whose_entries_are_gone_for_a_moment,
                        limited_desk)
{
    path.set_fleet_position(now, {0, 1});
    BOOST_TEST((path.upstreams().row(0).limit->interval() == seconds(2)));
    run(seconds(31));
    BOOST_TEST((path.upstreams().row(0).limit->interval() ==
                duration(seconds(1)) / 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
