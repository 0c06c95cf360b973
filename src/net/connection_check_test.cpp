#include "net/connection_check.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>

namespace amarantharch
{

namespace
{

std::optional<connection_outcome> check(std::string const& address)
{
    connection_check subject;
    std::optional<connection_outcome> result;
    subject.start(address, std::chrono::milliseconds(200),
                  [&](connection_outcome outcome) { result = outcome; });
    test::run_until([&] { return result.has_value(); });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_check_of_an_address)

BOOST_AUTO_TEST_CASE(tells_whether_connections_are_accepted_or_refused)
{
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    std::string const address =
        fmt::format("127.0.0.1:{}", server.serverPort());
    BOOST_TEST((check(address) == connection_outcome::accepted));
    server.close();
    BOOST_TEST((check(address) == connection_outcome::refused));
}

BOOST_AUTO_TEST_CASE(of_no_proper_form_tells_nothing)
{
    BOOST_TEST((check("nowhere") == connection_outcome::unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
