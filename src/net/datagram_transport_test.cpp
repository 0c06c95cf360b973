#include "net/datagram_transport.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(datagrams_between_vms)

BOOST_AUTO_TEST_CASE(bear_their_sender_and_kind)
{
    auto const decoded = decode_datagram(encode_datagram(
        "edge-1", {"edge-2", peer_message_kind::request, "payload"}));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded->vm == "edge-1");
    BOOST_TEST((decoded->kind == peer_message_kind::request));
    BOOST_TEST(decoded->payload == "payload");
}

BOOST_AUTO_TEST_CASE(of_any_other_form_are_refused)
{
    std::string const whole = encode_datagram(
        "edge-1", {"edge-2", peer_message_kind::request, "payload"});
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        BOOST_TEST(!decode_datagram(whole.substr(0, size)).ok());
    }
    auto const unknown = static_cast<peer_message_kind>(77);
    BOOST_TEST(
        !decode_datagram(encode_datagram("edge-1", {"", unknown, ""})).ok());
}

BOOST_AUTO_TEST_CASE(arrive_at_the_other_vm)
{
    std::optional<peer_message> got;
    datagram_transport here("here", [](peer_message const&) {});
    datagram_transport there("there", [&](peer_message message)
                             { got = std::move(message); });
    BOOST_REQUIRE(here.listen(QHostAddress::LocalHost, 0).ok());
    BOOST_REQUIRE(there.listen(QHostAddress::LocalHost, 0).ok());
    here.send("127.0.0.1:" + std::to_string(there.port()),
              {"there", peer_message_kind::membership, "hello"});
    BOOST_REQUIRE(test::run_until([&] { return got.has_value(); }));
    BOOST_TEST(got->vm == "here");
    BOOST_TEST(got->payload == "hello");
}

BOOST_AUTO_TEST_CASE(that_are_too_large_are_counted_and_dropped)
{
    datagram_transport here("here", [](peer_message const&) {});
    BOOST_REQUIRE(here.listen(QHostAddress::LocalHost, 0).ok());
    here.send("127.0.0.1:9", {"there", peer_message_kind::membership,
                              std::string(datagram_transport::max_bytes, 'x')});
    BOOST_TEST(here.dropped() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
