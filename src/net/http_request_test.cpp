#include "net/http_request.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(http_request_test)

using test::peer_server;
using test::run_until;

// Guards against a store or platform whose answer comes a byte at a time and
// is awaited without end.
BOOST_AUTO_TEST_CASE(an_answer_that_drips_fails)
{
    peer_server upstream;
    http_requester requester;
    std::optional<http_answer> answer;
    requester.send(upstream.address(), {"", "GET", "/", {}, ""},
                   {std::chrono::seconds(1), std::chrono::seconds(1),
                    std::chrono::seconds(1)},
                   [&](http_answer got) { answer = std::move(got); });
    BOOST_REQUIRE(run_until([&] { return upstream.count("GET") == 1; }));
    upstream.connections.at(0)->send(
        "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
    QTimer drip;
    QObject::connect(&drip, &QTimer::timeout, &drip,
                     [&] { upstream.connections.at(0)->send("x"); });
    drip.start(std::chrono::milliseconds(100));
    BOOST_REQUIRE(run_until([&] { return answer.has_value(); }));
    BOOST_TEST(answer->status == 0);
    BOOST_TEST(answer->reason == "answer_timeout");
    BOOST_TEST((answer->run == verdict::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
