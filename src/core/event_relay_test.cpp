#include "core/event_relay.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <string>

namespace amarantharch
{

namespace
{

std::string event_text(std::uint64_t id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

std::string events(std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (std::uint64_t id = from; id <= to; ++id)
    {
        text += event_text(id);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_relay_of_events)

BOOST_AUTO_TEST_CASE(passes_whole_events_on_wherever_the_pieces_are_torn)
{
    std::string const text = events(0, 3);
    for (std::size_t cut = 0; cut <= text.size(); ++cut)
    {
        event_relay relay(std::nullopt);
        relay.begin_attempt(1);
        std::string out;
        BOOST_TEST(relay.feed(1, text.substr(0, cut), out));
        BOOST_TEST((out.empty() || out.ends_with("\n\n")));
        BOOST_TEST(relay.feed(1, text.substr(cut), out));
        BOOST_TEST(out == text);
        BOOST_TEST(relay.end_attempt(1));
        BOOST_TEST(relay.last_event().value() == 3u);
    }
}

BOOST_AUTO_TEST_CASE(joins_a_later_attempt_without_gap_or_repeat)
{
    std::string const full_text = events(0, 9);
    for (std::size_t cut = 0; cut < full_text.size(); ++cut)
    {
        event_relay relay(std::nullopt);
        relay.begin_attempt(1);
        std::string out;
        relay.feed(1, full_text.substr(0, cut), out);
        relay.begin_attempt(2);
        std::uint64_t const next =
            relay.last_event() ? *relay.last_event() + 1 : 0;
        BOOST_TEST(relay.feed(1, "late bytes\n\n", out));
        BOOST_TEST(relay.feed(2, events(next, 9), out));
        BOOST_TEST(out == full_text);
    }
}

BOOST_AUTO_TEST_CASE(drops_what_the_caller_has)
{
    event_relay relay(4);
    relay.begin_attempt(1);
    std::string out;
    BOOST_TEST(relay.feed(1, events(2, 6), out));
    BOOST_TEST(out == events(5, 6));
    BOOST_TEST(relay.events_relayed() == 2u);
}

BOOST_AUTO_TEST_CASE(gives_an_attempt_up_before_a_gap)
{
    event_relay relay(std::nullopt);
    relay.begin_attempt(1);
    std::string out;
    BOOST_TEST(!relay.feed(1, events(0, 2) + event_text(4), out));
    BOOST_TEST(out == events(0, 2));
    BOOST_TEST(relay.last_event().value() == 2u);
}

BOOST_AUTO_TEST_CASE(does_not_take_a_part_of_an_event_for_the_end)
{
    event_relay relay(std::nullopt);
    relay.begin_attempt(1);
    std::string out;
    relay.feed(1, event_text(0) + "id: 1\nda", out);
    BOOST_TEST(!relay.end_attempt(1));
    BOOST_TEST(out == event_text(0));
}

BOOST_AUTO_TEST_CASE(bounds_an_event_without_end)
{
    event_relay relay(std::nullopt);
    relay.begin_attempt(1);
    std::string out;
    BOOST_TEST(!relay.feed(
        1, std::string(event_relay::max_event_bytes + 1, 'x'), out));
    BOOST_TEST(out.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
