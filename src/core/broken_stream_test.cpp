// Event streams whose answers have neither a length nor chunks, so that the end
// of the connection ends them.
#include "core/request_path.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

// A request path before two engines, with one route of event streams.
struct stream_service
{
    explicit stream_service(bool resumable = false)
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = std::string("/");
        route.service = std::string("pool");
        route.kind = upstream_kind::engine;
        route.idempotent = resumable;
        route.event_stream = true;
        route.resumable = resumable;
        route.max_attempts = resumable ? 3 : 1;
        tables->routes.push_back(route);
        path.set_routing_tables(now, tables);
        for (char const* const name : {"engine-1", "engine-2", "engine-3"})
        {
            upstream_listed entry;
            entry.upstream.name = name;
            entry.upstream.service = std::string("pool");
            entry.upstream.kind = upstream_kind::engine;
            entry.incarnation = 1;
            path.handle(now, entry);
        }
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = std::string("vm");
        result.records_requests = false;
        // One lost connection proves no crash, so that a check is needed.
        result.crashes.quorum = 2;
        return result;
    }

    void take(command const& what)
    {
        if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            started = attempt->attempt;
        }
        if (auto const* refused = std::get_if<answer_refusal>(&what))
        {
            refusal_status = refused->why.status;
        }
        if (auto const* check = std::get_if<check_upstream>(&what))
        {
            checked.push_back(check->upstream);
        }
        if (auto const* head = std::get_if<answer_head>(&what))
        {
            heads.push_back(head->status);
        }
        if (auto const* bytes = std::get_if<answer_piece>(&what))
        {
            caller_got += bytes->bytes;
        }
        ended = ended || std::holds_alternative<answer_end>(what);
    }

    // Sends a stream that an engine begins to answer.
    void begin(std::optional<std::uint64_t> resume_after = std::nullopt)
    {
        call request;
        request.id = std::string("r");
        request.method = std::string("POST");
        request.target = std::string("/");
        request.metadata.resume_after = resume_after;
        path.handle(now, call_received{request});
        path.handle(now, upstream_head{started, 200, {}});
    }

    void piece(std::string const& bytes)
    {
        path.handle(now, upstream_piece{started, bytes});
    }

    void end()
    {
        path.handle(now, upstream_end{started});
    }

    time_point now = from_micros(1'000'000'000);
    attempt_id started = 0;
    std::optional<int> refusal_status;
    std::vector<std::string> checked;
    std::vector<int> heads; // statuses that the caller got
    std::string caller_got;
    bool ended = false;
    request_path path;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_stream_that_ends_with_its_connection, stream_service)

BOOST_AUTO_TEST_CASE(is_whole_after_an_event)
{
    begin();
    piece("id: 1\ndata: x\n\n");
    end();
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(is_broken_off_inside_an_event)
{
    begin();
    piece("id: 1\ndata: x\n\nid: 2\nda");
    end();
    BOOST_TEST(!ended);
    BOOST_TEST(refusal_status.has_value());
    BOOST_TEST(!checked.empty());
}

BOOST_AUTO_TEST_CASE(is_broken_off_before_its_first_event)
{
    begin();
    end();
    BOOST_TEST(!ended);
    BOOST_TEST(refusal_status.has_value());
    BOOST_TEST(!checked.empty());
}

BOOST_AUTO_TEST_CASE(may_have_no_event_left_if_it_was_resumed)
{
    begin(17);
    end();
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_SUITE_END()

// A stream that may be resumed, broken off after its first event, so that
// another upstream is asked to go on.
struct resumed_stream : stream_service
{
    resumed_stream() : stream_service(true)
    {
        begin_with(200, event_stream);
        piece(first);
        break_off();
    }

    void begin_with(int status, header_list const& headers)
    {
        attempt_id const before = started;
        if (before == 0)
        {
            call request;
            request.id = std::string("r");
            request.method = std::string("POST");
            request.target = std::string("/");
            path.handle(now, call_received{request});
        }
        path.handle(now, upstream_head{started, status, headers});
    }

    // The attempt's connection is lost; waits for the next attempt.
    void break_off()
    {
        attempt_id const lost = started;
        path.handle(now, upstream_failed{lost, verdict::may_have_run,
                                         "connection_lost"});
        wait_for_attempt(lost);
    }

    void wait_for_attempt(attempt_id last)
    {
        for (int i = 0; i < 100 && started == last; ++i)
        {
            now += std::chrono::milliseconds(10);
            path.tick(now);
        }
    }

    std::string const first = "id: 1\ndata: x\n\n";
    std::string const second = "id: 2\ndata: y\n\n";
    header_list const event_stream{{"Content-Type", "text/event-stream"}};
};

struct odd_continuation
{
    int status;
    header_list headers;
    std::string body;
};

// Guards against an error's text in the middle of a stream, and against a
// stream that ends with it as if it were complete.
BOOST_AUTO_TEST_CASE(a_resumed_stream_takes_nothing_but_its_events)
{
    header_list const text{{"Content-Type", "text/plain"}};
    header_list const events{{"Content-Type", "text/event-stream"}};
    for (odd_continuation const& odd :
         std::vector<odd_continuation>{{404, text, "not found\n\n"},
                                       {404, events, "data: not found\n\n"},
                                       {400, {}, "bad\n\n"},
                                       {500, text, "failed\n\n"},
                                       {302, text, "elsewhere\n\n"},
                                       {204, {}, ""},
                                       {206, events, "id: 2\ndata: y\n\n"},
                                       {200, text, "all is well\n\n"},
                                       {200, {}, "all is well\n\n"}})
    {
        BOOST_TEST_CONTEXT(odd.status << " " << odd.body)
        {
            resumed_stream f;
            attempt_id const odd_attempt = f.started;
            f.begin_with(odd.status, odd.headers);
            if (!odd.body.empty())
            {
                f.path.handle(f.now, upstream_piece{odd_attempt, odd.body});
            }
            f.path.handle(f.now, upstream_end{odd_attempt});
            BOOST_TEST(!f.ended);
            BOOST_TEST(f.caller_got == f.first);
            f.wait_for_attempt(odd_attempt);
            BOOST_REQUIRE(f.started != odd_attempt);
            f.begin_with(200, events);
            f.piece(f.second);
            f.end();
            BOOST_TEST(f.ended);
            BOOST_TEST(f.caller_got == f.first + f.second);
            BOOST_TEST(f.heads == std::vector<int>{200},
                       boost::test_tools::per_element());
        }
    }
}

// The same where no attempt is left: the stream is torn, not ended.
BOOST_AUTO_TEST_CASE(a_stream_that_no_upstream_resumes_does_not_look_complete)
{
    resumed_stream f;
    for (int i = 0; i < 2 && !f.refusal_status; ++i)
    {
        attempt_id const odd_attempt = f.started;
        f.begin_with(404, {{"Content-Type", "text/plain"}});
        f.path.handle(f.now, upstream_piece{odd_attempt, "not found\n\n"});
        f.path.handle(f.now, upstream_end{odd_attempt});
        f.wait_for_attempt(odd_attempt);
    }
    BOOST_TEST(f.refusal_status.has_value());
    BOOST_TEST(!f.ended);
    BOOST_TEST(f.caller_got == f.first);
}

} // namespace amarantharch
