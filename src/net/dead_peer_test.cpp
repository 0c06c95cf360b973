#include "net/dead_peer.hpp"

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(a_connection_to_a_dead_peer)

// The user time-out goes before the number of probes, so it must not be shorter
// than they take.
BOOST_AUTO_TEST_CASE(is_given_up_by_probes_and_by_the_user_timeout_alike)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    BOOST_TEST_REQUIRE(socket >= 0);
    auto const option = [socket](int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof value;
        BOOST_TEST(::getsockopt(socket, level, name, &value, &size) == 0);
        return value;
    };
    BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
    give_up_dead_peer(socket, std::chrono::seconds(3));
    BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) != 0);
    BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 3'000);
    int const probes_s =
        option(IPPROTO_TCP, TCP_KEEPIDLE) +
        option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
    BOOST_TEST(probes_s == 3);
    ::close(socket);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
