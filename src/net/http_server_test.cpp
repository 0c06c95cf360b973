#include "net/http_server.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <QTimer>

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(http_server_test)

using test::peer_socket;
using test::run_pending;
using test::run_until;

// The event loop of this test program.
struct application
{
    int argc = 0;
    QCoreApplication qt{argc, nullptr};
};

BOOST_TEST_GLOBAL_FIXTURE(application);

struct received_request
{
    exchange_id exchange;
    call request;
};

struct fixture
{
    explicit fixture(http_server_limits limits = {})
        : server(limits, {[this](exchange_id e, call c) {
                              requests.push_back({e, std::move(c)});
                          },
                          [this](exchange_id e) { abandoned.push_back(e); },
                          [this](exchange_id e) { paused.push_back(e); },
                          [this](exchange_id e) { resumed.push_back(e); },
                          [this]
                          {
                              ++drained;
                          }})
    {
        BOOST_REQUIRE(server.listen(QHostAddress::LocalHost, 0).ok());
    }

    bool wait_for_requests(std::size_t count)
    {
        return run_until([&] { return requests.size() >= count; });
    }

    std::vector<received_request> requests;
    std::vector<exchange_id> abandoned;
    std::vector<exchange_id> paused;
    std::vector<exchange_id> resumed;
    int drained = 0;
    http_server server;
};

std::string const get_a = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
std::string const get_b = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
std::string const post = "POST /p HTTP/1.1\r\nHost: h\r\n";

// -- Limits

struct limit_case
{
    char const* name;
    std::string bytes;
    http_server_limits limits;
    int status;
    char const* reason;
    bool retry_after = false;
};

constexpr duration soon = std::chrono::milliseconds(20);

std::vector<limit_case> limit_cases()
{
    std::string const large(2000, 'x');
    return {
        {"not HTTP", "hello\r\n\r\n", {}, 400, "malformed_request"},
        {"HTTP/2 preface",
         "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
         {},
         400,
         "malformed_request"},
        {"framed in two ways",
         post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
         {},
         400,
         "malformed_request"},
        {"two lengths",
         post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
         {},
         400,
         "malformed_request"},
        {"bad chunk",
         post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
         {},
         400,
         "malformed_request"},
        {"endless size of a chunk",
         post + "Transfer-Encoding: chunked\r\n\r\n" + std::string(2000, '1'),
         {.header_bytes = 1000},
         400,
         "malformed_request"},
        {"endless trailer",
         fmt::format("{}Transfer-Encoding: chunked\r\n\r\n0\r\nX: {}", post,
                     large),
         {.header_bytes = 1000},
         400,
         "malformed_request"},
        {"large headers",
         fmt::format("GET / HTTP/1.1\r\nX: {}", large),
         {.header_bytes = 1000},
         431,
         "headers_too_large"},
        {"body over its limit by length, none of it sent",
         post + "Content-Length: 200000000\r\n\r\n",
         {},
         413,
         "body_too_large"},
        {"body over its limit by chunks",
         post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + large,
         {.body_bytes = 1000},
         413,
         "body_too_large"},
        {"bodies over their memory",
         post + "Content-Length: 4000\r\n\r\n" + large,
         {.body_memory_bytes = 1000},
         503,
         "body_memory_exhausted",
         true},
        {"head never whole",
         "GET / HT",
         {.header_timeout = soon},
         408,
         "header_timeout"},
        {"body never whole",
         post + "Content-Length: 3\r\n\r\na",
         {.body_timeout = soon},
         408,
         "body_timeout"},
        {"connection over the limit",
         "",
         {.connections = 0},
         503,
         "too_many_connections",
         true},
        {"connection over its address's limit",
         "",
         {.connections_per_address = 0},
         429,
         "too_many_connections_from_address",
         true},
    };
}

BOOST_AUTO_TEST_SUITE(one_answer_for_each_request)

BOOST_AUTO_TEST_CASE(keep_alive_serves_one_after_another)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.answer(f.requests[0].exchange, 200, {}, "first");
    BOOST_REQUIRE(run_until([&] { return caller.got("first"); }));
    caller.send(get_b);
    BOOST_REQUIRE(f.wait_for_requests(2));
    f.server.answer(f.requests[1].exchange, 200, {}, "second");
    BOOST_TEST(run_until([&] { return caller.got("second"); }));
    BOOST_TEST(!caller.closed);
    BOOST_TEST(f.abandoned.empty());
}

BOOST_AUTO_TEST_CASE(two_requests_in_one_packet_wait_for_each_other)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a + get_b);
    BOOST_REQUIRE(f.wait_for_requests(1));
    run_pending();
    BOOST_TEST(f.requests.size() == 1U); // the first one is slow
    f.server.answer(f.requests[0].exchange, 200, {}, "first");
    BOOST_REQUIRE(f.wait_for_requests(2));
    BOOST_TEST(f.requests[1].request.target == "/b");
    f.server.answer(f.requests[1].exchange, 200, {}, "second");
    BOOST_REQUIRE(run_until([&] { return caller.got("second"); }));
    BOOST_TEST(caller.received.find("first") < caller.received.find("second"));
}

BOOST_AUTO_TEST_CASE(a_later_request_never_overtakes_an_earlier_one)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    caller.send(get_b);
    run_pending();
    BOOST_TEST(f.requests.size() == 1U);
    f.server.answer_head(f.requests[0].exchange, 200, {});
    run_pending();
    BOOST_TEST(f.requests.size() == 1U);
    f.server.answer_end(f.requests[0].exchange);
    BOOST_TEST(f.wait_for_requests(2));
}

BOOST_AUTO_TEST_CASE(a_burst_of_connections_waits_for_the_event_loop)
{
    fixture f;
    std::vector<std::unique_ptr<peer_socket>> callers;
    for (std::size_t i = 0; i < 200; ++i)
    {
        callers.push_back(std::make_unique<peer_socket>(f.server.port()));
        BOOST_REQUIRE((callers.back()->socket().state() ==
                       QAbstractSocket::ConnectedState));
        callers.back()->send(get_a);
    }
    BOOST_TEST(f.wait_for_requests(200));
}

// Guards against unbounded memory: with each answer, as much as the socket held
// was read beside the requests that already waited.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_wait_outside_the_process)
{
    constexpr std::size_t count = 1000;
    fixture f;
    std::string ahead;
    while (ahead.size() < std::size_t{64} << 20)
    {
        ahead += get_a;
    }
    peer_socket caller(f.server.port());
    caller.socket().write(ahead.data(), static_cast<qint64>(ahead.size()));
    for (std::size_t i = 0; i < count; ++i)
    {
        BOOST_REQUIRE(f.wait_for_requests(i + 1));
        f.server.answer(f.requests[i].exchange, 200, {}, "");
    }
    run_pending();
    // The kernel's buffers hold some MiB.
    BOOST_TEST(caller.socket().bytesToWrite() >
               static_cast<qint64>(ahead.size() / 2));
}

BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_requests)
{
    std::string const bytes =
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
        post + "X-Request-Id: r7\r\nContent-Length: 2\r\n\r\nfg" + get_a;
    fixture f;
    for (std::size_t split = 0; split <= bytes.size(); ++split)
    {
        f.requests.clear();
        peer_socket caller(f.server.port());
        caller.send(bytes.substr(0, split));
        run_pending();
        caller.send(bytes.substr(split));
        for (std::size_t i = 0; i < 3; ++i)
        {
            BOOST_REQUIRE(f.wait_for_requests(i + 1));
            f.server.answer(f.requests[i].exchange, 200, {}, "ok");
        }
        BOOST_TEST(f.requests[0].request.body == "abcde");
        BOOST_TEST(f.requests[1].request.body == "fg");
        BOOST_TEST(f.requests[1].request.id == "r7");
        BOOST_TEST(f.requests[2].request.target == "/a");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(forms_of_an_answer)

BOOST_AUTO_TEST_CASE(a_stream_is_sent_piece_by_piece)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    exchange_id const e = f.requests[0].exchange;
    f.server.answer_head(e, 200, {{"Content-Type", "text/event-stream"}});
    f.server.answer_piece(e, "one");
    BOOST_TEST(run_until([&] { return caller.got("3\r\none\r\n"); }));
    f.server.answer_piece(e, "");
    f.server.answer_piece(e, "two!");
    f.server.answer_end(e);
    BOOST_TEST(run_until([&] { return caller.got("4\r\ntwo!\r\n0\r\n\r\n"); }));
    BOOST_TEST(caller.got("Transfer-Encoding: chunked"));
}

BOOST_AUTO_TEST_CASE(http_1_0_gets_no_chunks_and_a_close)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    BOOST_REQUIRE(f.wait_for_requests(1));
    exchange_id const e = f.requests[0].exchange;
    f.server.answer_head(e, 200, {});
    f.server.answer_piece(e, "body");
    f.server.answer_end(e);
    BOOST_TEST(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.received.ends_with("\r\n\r\nbody"));
    BOOST_TEST(!caller.got("chunked"));
}

BOOST_AUTO_TEST_CASE(http_1_0_keeps_the_connection_where_the_length_is_known)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.answer(f.requests[0].exchange, 200, {}, "body");
    BOOST_TEST(run_until([&] { return caller.got("body"); }));
    BOOST_TEST(caller.got("Connection: keep-alive"));
}

BOOST_AUTO_TEST_CASE(head_and_204_have_no_body)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + get_a + get_b);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.answer(f.requests[0].exchange, 200, {}, "not sent");
    BOOST_REQUIRE(f.wait_for_requests(2));
    f.server.answer_head(f.requests[1].exchange, 204, {});
    f.server.answer_piece(f.requests[1].exchange, "not sent");
    f.server.answer_end(f.requests[1].exchange);
    BOOST_REQUIRE(f.wait_for_requests(3));
    f.server.answer(f.requests[2].exchange, 200, {}, "last");
    BOOST_REQUIRE(run_until([&] { return caller.got("last"); }));
    BOOST_TEST(caller.received ==
               "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
               "HTTP/1.1 204 No Content\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast");
}

BOOST_AUTO_TEST_CASE(expect_is_answered_before_the_body_is_sent)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_REQUIRE(
        run_until([&] { return caller.got("100 Continue\r\n\r\n"); }));
    caller.send("ok");
    BOOST_REQUIRE(f.wait_for_requests(1));
    BOOST_TEST(f.requests[0].request.body == "ok");
}

BOOST_AUTO_TEST_CASE(a_field_cannot_forge_another)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.answer(f.requests[0].exchange, 200,
                    {{"X-A", "1\r\nX-Forged: 2"},
                     {"X-B: 1\r\nX-Forged", "2"},
                     {"Transfer-Encoding", "chunked"},
                     {"X-C", "kept"}},
                    "ok");
    BOOST_REQUIRE(run_until([&] { return caller.got("ok"); }));
    BOOST_TEST(!caller.got("Forged"));
    BOOST_TEST(!caller.got("chunked"));
    BOOST_TEST(caller.got("X-C: kept"));
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_are_not_passed_on)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: X-Hop\r\n"
                "X-Hop: 1\r\nTE: trailers\r\nX-End: 2\r\n\r\n");
    BOOST_REQUIRE(f.wait_for_requests(1));
    header_list const expected{{"Host", "h"}, {"X-End", "2"}};
    BOOST_TEST((f.requests[0].request.headers == expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refusals)

BOOST_AUTO_TEST_CASE(each_limit_has_its_own)
{
    for (limit_case const& row : limit_cases())
    {
        BOOST_TEST_CONTEXT(row.name)
        {
            fixture f(row.limits);
            peer_socket caller(f.server.port());
            caller.send(row.bytes);
            BOOST_REQUIRE(run_until([&] { return caller.closed; }));
            BOOST_TEST(caller.received.starts_with(
                           fmt::format("HTTP/1.1 {} ", row.status)),
                       caller.received);
            BOOST_TEST(caller.got(fmt::format("\"reason\":\"{}\"", row.reason)),
                       caller.received);
            BOOST_TEST(caller.got("\"verdict\":\"not_run\""));
            BOOST_TEST(caller.got("X-Verdict: not_run"));
            BOOST_TEST(caller.got("X-Request-Id: "));
            BOOST_TEST(caller.got("Connection: close"));
            BOOST_TEST(caller.got("Retry-After: 1") == row.retry_after);
            BOOST_TEST(f.requests.empty());
            BOOST_TEST(f.abandoned.empty());
        }
    }
}

// Guards against request smuggling: a body whose transfer coding was not known
// was taken for the next request.
BOOST_AUTO_TEST_CASE(a_body_of_unknown_length_is_not_read_as_a_request)
{
    std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    std::string const identity = "Transfer-Encoding: identity\r\n";
    std::vector<std::string> const heads{
        post + "Transfer-Encoding: xchunked\r\n\r\n",
        post + identity + "\r\n",
        post + "Transfer-Encoding: \r\n\r\n",
        post + "Transfer-Encoding: \"chunked\"\r\n\r\n",
        post + "Transfer-Encoding: chunked, identity\r\n\r\n",
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked;x=y\r\n\r\n",
        post + identity + "Content-Length: 0\r\n\r\n",
        post + identity + chunked,
        "GET /a HTTP/1.1\r\n" + identity + "\r\n",
        "POST /p HTTP/1.0\r\nConnection: keep-alive\r\n" + chunked};
    for (std::string const& head : heads)
    {
        BOOST_TEST_CONTEXT(head)
        {
            fixture f;
            peer_socket caller(f.server.port());
            caller.send(head + get_b);
            BOOST_REQUIRE(run_until([&] { return caller.closed; }));
            BOOST_TEST(caller.received.starts_with("HTTP/1.1 400 "));
            BOOST_TEST(caller.got("\"reason\":\"malformed_request\""));
            BOOST_TEST(f.requests.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refused_body_frees_its_memory)
{
    fixture f({.body_bytes = 1000, .body_memory_bytes = 1500});
    std::string const large(900, 'x');
    for (int i = 0; i < 3; ++i)
    {
        peer_socket caller(f.server.port());
        caller.send(post);
        caller.send("Transfer-Encoding: chunked\r\n\r\n");
        caller.send(fmt::format("384\r\n{0}\r\n384\r\n{0}", large));
        BOOST_REQUIRE(run_until([&] { return caller.closed; }));
        BOOST_TEST(caller.got(" 413 "), caller.received);
    }
}

// Guards against bodies that take more memory than their budget: a body that
// grows as it comes holds up to twice its size.
BOOST_AUTO_TEST_CASE(a_body_counts_with_the_memory_that_it_takes)
{
    constexpr std::size_t megabyte = std::size_t{1} << 20;
    fixture f({.body_memory_bytes = megabyte * 3 / 2});
    peer_socket caller(f.server.port());
    std::string const body(megabyte * 5 / 4, 'x');
    caller.send(post + fmt::format("Content-Length: {}\r\n\r\n", body.size()) +
                body);
    BOOST_REQUIRE(run_until([&] { return caller.got("}\n"); }));
    BOOST_TEST(caller.got("\"reason\":\"body_memory_exhausted\""));
    BOOST_TEST(f.requests.empty());
}

BOOST_AUTO_TEST_CASE(the_callers_id_is_in_the_refusal)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(post + "X-Request-Id: r9\r\nContent-Length: 99999999\r\n\r\n");
    BOOST_REQUIRE(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.got("X-Request-Id: r9"));
}

BOOST_AUTO_TEST_CASE(a_started_answer_is_torn_rather_than_ended)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    exchange_id const e = f.requests[0].exchange;
    f.server.answer_head(e, 200, {});
    f.server.answer_piece(e, "part");
    f.server.refuse(e, "r", {502, verdict::may_have_run, "x", {}});
    BOOST_REQUIRE(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.received.ends_with("4\r\npart\r\n"));
    BOOST_TEST(f.abandoned.empty());
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_without_a_word)
{
    fixture f({.idle_timeout = soon});
    peer_socket caller(f.server.port());
    BOOST_REQUIRE(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.received.empty());
    BOOST_TEST(run_until([&] { return f.server.connections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_that_leave)

BOOST_AUTO_TEST_CASE(are_reported_once_and_not_written_to)
{
    fixture f;
    std::optional<peer_socket> caller(f.server.port());
    caller->send(get_a + get_b);
    BOOST_REQUIRE(f.wait_for_requests(1));
    exchange_id const e = f.requests[0].exchange;
    f.server.answer_head(e, 200, {});
    caller.reset();
    BOOST_REQUIRE(run_until([&] { return !f.abandoned.empty(); }));
    f.server.answer_piece(e, "late");
    f.server.answer_end(e);
    f.server.refuse(e, "r", {503, verdict::not_run, "x", {}});
    run_pending();
    BOOST_TEST(f.abandoned == std::vector<exchange_id>{e},
               boost::test_tools::per_element());
    BOOST_TEST(f.requests.size() == 1U);
    BOOST_TEST(f.server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(before_their_request_is_whole_are_not_reported)
{
    fixture f;
    {
        peer_socket caller(f.server.port());
        caller.send(post + "Content-Length: 9\r\n\r\nab");
        BOOST_REQUIRE(run_until([&] { return f.server.connections() == 1; }));
        run_pending();
    }
    BOOST_REQUIRE(run_until([&] { return f.server.connections() == 0; }));
    BOOST_TEST(f.abandoned.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_that_read_slowly)

struct slow_caller : fixture
{
    explicit slow_caller(http_server_limits limits)
        : fixture(limits), caller(server.port())
    {
        caller.socket().setReadBufferSize(1);
        caller.socket().disconnect(&caller.socket());
        caller.send(get_a);
        BOOST_REQUIRE(wait_for_requests(1));
        e = requests[0].exchange;
        server.answer_head(e, 200, {});
    }

    // Writes pieces until the server pauses the exchange.
    void fill()
    {
        std::string const piece(std::size_t{64} << 10, 'x');
        BOOST_REQUIRE(run_until(
            [&]
            {
                server.answer_piece(e, piece);
                return !paused.empty();
            }));
    }

    peer_socket caller;
    exchange_id e = 0;
};

BOOST_AUTO_TEST_CASE(pause_their_producer_and_resume_it)
{
    slow_caller f({});
    f.fill();
    BOOST_TEST(f.resumed.empty());
    f.caller.socket().setReadBufferSize(0);
    BOOST_TEST(run_until(
        [&]
        {
            f.caller.socket().readAll();
            return !f.resumed.empty();
        }));
    BOOST_TEST(f.paused.size() == 1U);
    BOOST_TEST(f.abandoned.empty());
}

BOOST_AUTO_TEST_CASE(are_cut_at_the_limit)
{
    slow_caller f({.outgoing_limit_bytes = std::size_t{1} << 20});
    f.fill();
    std::string const piece(std::size_t{64} << 10, 'x');
    for (int i = 0; i < 64; ++i)
    {
        f.server.answer_piece(f.e, piece);
    }
    BOOST_TEST(f.abandoned.empty()); // not from inside answer_piece
    BOOST_REQUIRE(run_until([&] { return !f.abandoned.empty(); }));
    f.server.answer_piece(f.e, piece);
    run_pending();
    BOOST_TEST(f.abandoned.size() == 1U);
    BOOST_TEST(f.server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(are_cut_when_they_take_nothing_for_too_long)
{
    slow_caller f({.write_timeout = soon});
    f.fill();
    BOOST_REQUIRE(run_until([&] { return !f.abandoned.empty(); }));
    BOOST_TEST(f.server.connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(graceful_shutdown)

BOOST_AUTO_TEST_CASE(finishes_requests_in_progress_and_closes_idle_ones)
{
    fixture f({.drain_grace = soon});
    peer_socket idle(f.server.port());
    peer_socket busy(f.server.port());
    peer_socket streaming(f.server.port());
    busy.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    streaming.send(get_b);
    BOOST_REQUIRE(f.wait_for_requests(2));
    f.server.answer_head(f.requests[1].exchange, 200, {});
    BOOST_REQUIRE(run_until([&] { return f.server.connections() == 3; }));

    f.server.drain();
    BOOST_TEST(run_until([&] { return idle.closed; }));
    BOOST_TEST(f.drained == 0);
    peer_socket late(f.server.port());
    BOOST_TEST(run_until(
        [&] {
            return late.socket().error() ==
                   QAbstractSocket::ConnectionRefusedError;
        }));

    f.server.answer(f.requests[0].exchange, 200, {}, "done");
    f.server.answer_end(f.requests[1].exchange);
    BOOST_TEST(run_until([&] { return busy.closed && streaming.closed; }));
    BOOST_TEST(busy.got("Connection: close"));
    BOOST_TEST(busy.received.ends_with("done"));
    BOOST_TEST(streaming.received.ends_with("0\r\n\r\n"));
    BOOST_TEST(run_until([&] { return f.drained == 1; }));
    BOOST_TEST(f.abandoned.empty());
}

BOOST_AUTO_TEST_CASE(serves_a_request_that_was_on_its_way)
{
    fixture f;
    peer_socket caller(f.server.port());
    BOOST_REQUIRE(run_until([&] { return f.server.connections() == 1; }));
    f.server.drain();
    caller.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.answer(f.requests[0].exchange, 200, {}, "done");
    BOOST_REQUIRE(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.received.ends_with("done"));
}

BOOST_AUTO_TEST_CASE(serves_a_connection_that_was_not_accepted_yet)
{
    fixture f;
    peer_socket caller(f.server.port());
    BOOST_REQUIRE(caller.socket().waitForConnected(5000));
    f.server.drain();
    caller.send(get_a);
    BOOST_TEST(f.wait_for_requests(1));
}

BOOST_AUTO_TEST_CASE(answers_what_was_sent_ahead_before_it_closes)
{
    fixture f;
    peer_socket caller(f.server.port());
    caller.send(get_a + get_b);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.drain();
    f.server.answer(f.requests[0].exchange, 200, {}, "first");
    BOOST_REQUIRE(f.wait_for_requests(2));
    BOOST_TEST(!caller.got("Connection: close"));
    f.server.answer(f.requests[1].exchange, 200, {}, "second");
    BOOST_TEST(run_until([&] { return caller.closed; }));
    BOOST_TEST(caller.got("Connection: close"));
    BOOST_TEST(caller.received.ends_with("second"));
}

BOOST_AUTO_TEST_CASE(turns_callers_away_with_their_answers_while_it_listens)
{
    fixture f;
    peer_socket kept(f.server.port());
    kept.send(get_a);
    BOOST_REQUIRE(f.wait_for_requests(1));
    f.server.close_after_answers();
    f.server.answer(f.requests[0].exchange, 200, {}, "done");
    BOOST_TEST(run_until([&] { return kept.closed; }));
    BOOST_TEST(kept.got("Connection: close"));
    peer_socket another(f.server.port());
    another.send(get_b);
    BOOST_TEST(f.wait_for_requests(2));
}

BOOST_AUTO_TEST_SUITE(whose_end_comes)

struct draining_fixture : fixture
{
    // Drains for so short a time that `sent` is not whole before its end.
    std::string answer_to(std::string const& sent)
    {
        peer_socket caller(server.port());
        caller.send(sent);
        run_pending();
        server.drain(soon);
        BOOST_TEST(run_until([&] { return caller.closed; }));
        return caller.received;
    }
};

BOOST_FIXTURE_TEST_CASE(refuses_a_body_that_still_arrives, draining_fixture)
{
    std::string const answer = answer_to(post + "Content-Length: 3\r\n\r\na");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("\"stopping\"") != std::string::npos);
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(requests.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_a_head_that_still_arrives, draining_fixture)
{
    std::string const answer = answer_to("GET /a HT");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("\"stopping\"") != std::string::npos);
}

// A process with a grace of 1 s exits so long after the end of its drain.
BOOST_FIXTURE_TEST_CASE(refuses_it_before_the_process_exits, draining_fixture)
{
    constexpr std::chrono::milliseconds until_exit{50};
    peer_socket caller(server.port());
    caller.send(post + "Content-Length: 3\r\n\r\na");
    run_pending();
    server.drain(soon);
    bool exits = false;
    bool answered = false;
    QTimer::singleShot(
        std::chrono::ceil<std::chrono::milliseconds>(soon) + until_exit,
        Qt::PreciseTimer, &caller.socket(),
        [&]
        {
            char byte = 0;
            exits = true;
            answered =
                !caller.received.empty() ||
                ::recv(static_cast<int>(caller.socket().socketDescriptor()),
                       &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
        });
    BOOST_REQUIRE(run_until([&] { return exits; }));
    BOOST_TEST(answered);
}

BOOST_FIXTURE_TEST_CASE(closes_an_idle_connection, draining_fixture)
{
    BOOST_TEST(answer_to("").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_reported_at_once_when_there_is_nothing_to_finish)
{
    fixture f;
    f.server.drain();
    BOOST_TEST(f.drained == 0);
    BOOST_TEST(run_until([&] { return f.drained == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_burst_of_callers_uses_up_the_descriptors)

// Leaves the process `more` free descriptors.
class descriptor_shortage
{
public:
    explicit descriptor_shortage(rlim_t more)
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        int const lowest_free = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
        ::close(lowest_free);
        rlimit const scarce{static_cast<rlim_t>(lowest_free) + more,
                            before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &scarce);
    }

    ~descriptor_shortage()
    {
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    rlimit before_{};
};

constexpr std::size_t burst = 6;
constexpr rlim_t room = 2;

// Callers that the kernel has connected and the server has not accepted.
struct burst_fixture : fixture
{
    burst_fixture()
    {
        for (auto& caller : callers)
        {
            caller = std::make_unique<peer_socket>(server.port());
            BOOST_REQUIRE(caller->socket().waitForConnected(5000));
        }
    }

    std::array<std::unique_ptr<peer_socket>, burst> callers;
};

BOOST_FIXTURE_TEST_CASE(accepts_the_waiting_callers_once_there_is_room,
                        burst_fixture)
{
    {
        descriptor_shortage const shortage(room);
        BOOST_REQUIRE(run_until([&] { return server.connections() > 0; }));
        run_pending();
        BOOST_TEST(server.connections() == room);
    }
    BOOST_TEST(run_until([&] { return server.connections() == burst; }));
}

BOOST_FIXTURE_TEST_CASE(serves_new_callers_after_the_burst_is_gone,
                        burst_fixture)
{
    {
        descriptor_shortage const shortage(room);
        BOOST_REQUIRE(run_until([&] { return server.connections() > 0; }));
        run_pending();
        for (auto& caller : callers)
        {
            caller.reset();
        }
        BOOST_REQUIRE(run_until([&] { return server.connections() == 0; }));
    }
    peer_socket caller(server.port());
    caller.send(get_a);
    BOOST_TEST(wait_for_requests(1));
}

BOOST_FIXTURE_TEST_CASE(does_not_accept_again_once_it_has_stopped,
                        burst_fixture)
{
    {
        descriptor_shortage const shortage(room);
        BOOST_REQUIRE(run_until([&] { return server.connections() > 0; }));
        run_pending();
        server.stop_accepting();
    }
    std::size_t const accepted = server.connections();
    QElapsedTimer timer;
    timer.start();
    BOOST_TEST(run_until([&] { return timer.elapsed() > 500; }));
    BOOST_TEST(server.connections() == accepted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
