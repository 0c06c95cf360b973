#include "core/configuration_relay.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;

time_point const start = from_micros(1'000'000'000);

struct relays
{
    relays()
    {
        sender.set_own(9, record);
        receiver.set_own(7, "old");
    }

    std::string const record = std::string(20'000, 'a') + "end";
    configuration_relay sender;
    configuration_relay receiver;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_relay_of_the_configuration)

BOOST_AUTO_TEST_SUITE(asks_a_peer)

BOOST_FIXTURE_TEST_CASE(once_it_has_lacked_the_peers_version_for_a_while,
                        relays)
{
    receiver.on_peer_version(start, "peer", 9);
    BOOST_TEST(!receiver.next_request(start + milliseconds(399)).has_value());
    auto const asked = receiver.next_request(start + milliseconds(400));
    BOOST_TEST(asked.value() == "peer");
    BOOST_TEST(!receiver.next_request(start + milliseconds(500)).has_value());
}

BOOST_FIXTURE_TEST_CASE(again_and_another_one_if_no_answer_comes, relays)
{
    receiver.on_peer_version(start, "peer", 9);
    BOOST_REQUIRE(receiver.next_request(start + milliseconds(400)).has_value());
    receiver.on_peer_version(start + milliseconds(600), "other", 8);
    BOOST_TEST(receiver.next_request(start + milliseconds(700)).value() ==
               "other");
}

BOOST_FIXTURE_TEST_CASE(not_if_it_has_read_the_version_itself, relays)
{
    receiver.on_peer_version(start, "peer", 9);
    receiver.set_own(9, record);
    BOOST_TEST(!receiver.next_request(start + milliseconds(400)).has_value());
    receiver.on_peer_version(start, "peer", 9);
    BOOST_TEST(!receiver.next_request(start + milliseconds(800)).has_value());
}

BOOST_FIXTURE_TEST_CASE(not_if_the_peer_has_an_older_version, relays)
{
    receiver.on_peer_version(start, "peer", 6);
    BOOST_TEST(!receiver.next_request(start + milliseconds(800)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gets_the_record)

BOOST_FIXTURE_TEST_CASE(whole_from_pieces_in_any_order_and_repeated, relays)
{
    auto pieces = sender.pieces_for(receiver.version());
    BOOST_REQUIRE(pieces.size() == 4u);
    std::ranges::reverse(pieces);
    BOOST_TEST(!receiver.add_piece(pieces[0]).has_value());
    BOOST_TEST(!receiver.add_piece(pieces[0]).has_value());
    BOOST_TEST(!receiver.add_piece(pieces[1]).has_value());
    BOOST_TEST(!receiver.add_piece(pieces[2]).has_value());
    BOOST_TEST((receiver.add_piece(pieces[3]) == record));
}

BOOST_FIXTURE_TEST_CASE(of_the_newest_version_only, relays)
{
    auto const older = sender.pieces_for(receiver.version());
    BOOST_TEST(!receiver.add_piece(older[0]).has_value());
    sender.set_own(10, "new");
    auto const newer = sender.pieces_for(receiver.version());
    BOOST_TEST((receiver.add_piece(newer.front()) == "new"));
    for (configuration_piece const& piece : older)
    {
        BOOST_TEST(!receiver.add_piece(piece).has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(from_a_peer_that_has_a_newer_one_only, relays)
{
    BOOST_TEST(sender.pieces_for(9).empty());
    BOOST_TEST(sender.pieces_for(12).empty());
    auto const pieces = sender.pieces_for(0);
    receiver.set_own(9, record);
    for (configuration_piece const& piece : pieces)
    {
        BOOST_TEST(!receiver.add_piece(piece).has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(never_from_pieces_that_are_none, relays)
{
    BOOST_TEST(!receiver.add_piece({9, 0, 0, "x"}).has_value());
    BOOST_TEST(!receiver.add_piece({9, 1, 1, "x"}).has_value());
    BOOST_TEST(
        !receiver.add_piece({9, 0, 1, std::string(6'001, 'x')}).has_value());
    BOOST_TEST(!receiver.add_piece({9, 0, 100'000, "x"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
