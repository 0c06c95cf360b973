// An answer whose body ends with its connection, as callers of HTTP/1.0 get
// it: an orderly close is its end, so each other close has to be a reset.
#include "net/http_server.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

namespace amarantharch
{

namespace
{

using test::run_until;

using test::plain_caller;
using test::seen;

// A server that has taken one request and begun its answer.
struct begun_answer
{
    explicit begun_answer(std::string const& request, int status = 200)
        : server(std::make_unique<http_server>(
              http_server_limits{},
              http_server_handlers{[this](exchange_id e, call const&)
                                   { exchange = e; },
                                   [](exchange_id) {
                                   }}))
    {
        BOOST_REQUIRE(server->listen(QHostAddress::LocalHost, 0).ok());
        caller.emplace(server->port(), request);
        BOOST_REQUIRE(run_until([&] { return exchange != 0; }));
        server->answer_head(exchange, status, {});
    }

    // Adds to the answer, and waits until the caller has it.
    void send(std::string const& piece)
    {
        server->answer_piece(exchange, piece);
        BOOST_REQUIRE(run_until(
            [&]
            {
                (void)caller->look();
                return caller->received.find(piece) != std::string::npos;
            }));
    }

    seen end()
    {
        seen how = seen::open;
        BOOST_REQUIRE(run_until(
            [&]
            {
                how = caller->look();
                return how != seen::open;
            }));
        return how;
    }

    exchange_id exchange = 0;
    std::unique_ptr<http_server> server;
    std::optional<plain_caller> caller;
};

std::string const old_get = "GET /a HTTP/1.0\r\n\r\n";
// More than the sockets' buffers take, less than an answer may hold back.
constexpr std::size_t large = std::size_t{12} << 20;

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer_that_ends_with_its_connection)

BOOST_AUTO_TEST_SUITE(is_seen_as_torn)

BOOST_AUTO_TEST_CASE(when_it_is_given_up)
{
    begun_answer f(old_get);
    f.send("part");
    f.server->answer_abort(f.exchange);
    BOOST_TEST((f.end() == seen::reset));
}

BOOST_AUTO_TEST_CASE(when_it_is_given_up_after_its_head)
{
    begun_answer f(old_get);
    f.server->answer_abort(f.exchange);
    BOOST_TEST((f.end() == seen::reset));
}

BOOST_AUTO_TEST_CASE(when_its_server_goes_in_its_middle)
{
    begun_answer f(old_get);
    f.send("part");
    f.server.reset();
    BOOST_TEST((f.end() == seen::reset));
}

BOOST_AUTO_TEST_CASE(when_its_server_goes_before_its_last_bytes_left)
{
    begun_answer f(old_get);
    for (std::size_t sent = 0; sent < large; sent += large / 4)
    {
        f.server->answer_piece(f.exchange, std::string(large / 4, 'x'));
    }
    f.server->answer_end(f.exchange);
    f.server.reset();
    BOOST_TEST((f.end() == seen::reset));
    BOOST_TEST(f.caller->received.size() < large);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_seen_as_whole)

BOOST_AUTO_TEST_CASE(when_all_of_it_was_sent)
{
    begun_answer f(old_get);
    f.send("all");
    f.server->answer_end(f.exchange);
    BOOST_TEST((f.end() == seen::closed));
    BOOST_TEST(f.caller->received.ends_with("\r\n\r\nall"));
}

// The server's end doesn't take back what is on its way.
BOOST_AUTO_TEST_CASE(when_its_server_goes_after_its_last_bytes_left)
{
    begun_answer f(old_get);
    f.server->answer_piece(f.exchange, "all");
    f.server->answer_end(f.exchange);
    test::run_pending();
    f.server.reset();
    BOOST_TEST((f.end() == seen::closed));
    BOOST_TEST(f.caller->received.ends_with("\r\n\r\nall"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Chunks tell by themselves: what was sent of them isn't destroyed.
BOOST_AUTO_TEST_SUITE(an_answer_in_chunks)

BOOST_AUTO_TEST_CASE(has_no_last_chunk_when_its_server_goes)
{
    for (std::string const field : {"", "Connection: close\r\n"})
    {
        begun_answer f("GET /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
        f.send("part");
        f.server.reset();
        BOOST_TEST((f.end() != seen::open));
        BOOST_TEST(f.caller->received.ends_with("4\r\npart\r\n"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
