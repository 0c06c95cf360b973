#include "core/stream_relay.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace amarantharch;

namespace
{

constexpr std::size_t history = 4096;

std::string token(token_offset index)
{
    return encode_event({index, fmt::format("t{} \"ü\"\n", index)});
}

// An engine's output for the tokens [from, to), with the end event if `whole`.
std::string engine_bytes(token_offset from, token_offset to, bool whole)
{
    std::string bytes =
        "data: {\"cached_tokens\":3,\"prompt_tokens\":9}\n\n: keep alive\n\n";
    for (auto index = from; index < to; ++index)
    {
        bytes += token(index);
    }
    return whole ? bytes + encode_end_event() : bytes;
}

// The expected output to a caller that resumes at `from`.
std::string caller_bytes(token_offset from, token_offset to)
{
    std::string bytes;
    for (auto index = from; index < to; ++index)
    {
        bytes += token(index);
    }
    return bytes + encode_end_event();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stream_of_tokens)
BOOST_AUTO_TEST_SUITE(reaches_its_caller_whole)

BOOST_AUTO_TEST_CASE(torn_at_every_two_places)
{
    auto const bytes = engine_bytes(0, 3, true);
    for (std::size_t a = 0; a <= bytes.size(); ++a)
    {
        for (std::size_t b = a; b <= bytes.size(); ++b)
        {
            stream_relay relay("s", 0, history);
            relay.begin_attempt(1);
            std::string out;
            relay.feed(1, bytes.substr(0, a), out);
            relay.feed(1, bytes.substr(a, b - a), out);
            relay.feed(1, bytes.substr(b), out);
            BOOST_REQUIRE_EQUAL(out, caller_bytes(0, 3));
            BOOST_REQUIRE(relay.state() == relay_state::done);
        }
    }
}

BOOST_AUTO_TEST_CASE(moved_after_every_byte_while_the_old_attempt_goes_on)
{
    auto const first = engine_bytes(0, 4, true);
    for (std::size_t cut = 0; cut < first.size(); ++cut)
    {
        stream_relay relay("s", 0, history);
        relay.begin_attempt(1);
        std::string out;
        relay.feed(1, first.substr(0, cut), out);
        if (relay.end_attempt(1) == relay_state::done)
        {
            continue;
        }
        auto const second = engine_bytes(relay.next_offset(), 4, true);
        relay.begin_attempt(2);
        // Interleaves the bytes of both attempts.
        auto const late = first.substr(cut);
        for (std::size_t i = 0; i < std::max(second.size(), late.size()); ++i)
        {
            relay.feed(1, late.substr(std::min(i, late.size()), 1), out);
            relay.feed(2, second.substr(std::min(i, second.size()), 1), out);
        }
        BOOST_REQUIRE_EQUAL(out, caller_bytes(0, 4));
    }
}

BOOST_AUTO_TEST_CASE(resumed_by_an_engine_that_starts_too_early)
{
    stream_relay relay("s", 0, history);
    std::string out;
    relay.begin_attempt(1);
    relay.feed(1, engine_bytes(0, 3, false), out);
    relay.end_attempt(1);
    relay.begin_attempt(2);
    relay.feed(2, engine_bytes(1, 5, true), out);
    BOOST_TEST(out == caller_bytes(0, 5));
    BOOST_TEST(relay.duplicates() == 2U);
}

// All sequences of six tokens with indexes 0 to 3 from one engine.
BOOST_AUTO_TEST_CASE(never_with_a_gap_a_repeat_or_a_swap)
{
    constexpr int length = 6;
    constexpr unsigned kinds = 4;
    for (unsigned code = 0; code < (1U << (2 * length)); ++code)
    {
        stream_relay relay("s", 0, history);
        relay.begin_attempt(1);
        std::string out;
        for (unsigned i = 0; i < length; ++i)
        {
            relay.feed(1, token((code >> (2 * i)) % kinds), out);
        }
        auto const whole = caller_bytes(0, relay.next_offset());
        auto const expected =
            whole.substr(0, whole.size() - encode_end_event().size());
        BOOST_REQUIRE_EQUAL(out, expected);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_has_a_gap)

BOOST_AUTO_TEST_CASE(waits_for_another_attempt_from_the_missing_token)
{
    stream_relay relay("s", 0, history);
    std::string out;
    relay.begin_attempt(1);
    BOOST_TEST((relay.feed(1, token(0) + token(2) + token(1), out) ==
                relay_state::waiting));
    BOOST_TEST(out == token(0));
    BOOST_TEST(relay.next_offset() == 1U);
    relay.feed(1, token(1), out);
    BOOST_TEST(out == token(0));
}

BOOST_AUTO_TEST_CASE(at_its_end_is_not_done)
{
    stream_relay relay("s", 0, history);
    std::string out;
    relay.begin_attempt(1);
    relay.feed(1, token(0), out);
    BOOST_TEST((relay.end_attempt(1) == relay_state::waiting));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_caller_comes_back)

BOOST_AUTO_TEST_CASE(gets_the_rest_from_every_offset_it_may_have)
{
    stream_relay relay("s", 2, history);
    std::string out;
    relay.begin_attempt(1);
    relay.feed(1, engine_bytes(2, 6, true), out);
    for (token_offset from = 2; from <= 6; ++from)
    {
        BOOST_TEST(relay.replay_from(from).value() == caller_bytes(from, 6));
    }
    BOOST_TEST(absl::IsDataLoss(relay.replay_from(1).status()));
    BOOST_TEST(absl::IsOutOfRange(relay.replay_from(7).status()));
}

BOOST_AUTO_TEST_CASE(is_told_when_the_history_no_longer_reaches_back)
{
    stream_relay relay("s", 0, token(0).size() * 2);
    std::string out;
    relay.begin_attempt(1);
    relay.feed(1, engine_bytes(0, 5, false), out);
    BOOST_TEST(relay.replay_from(3).value() == token(3) + token(4));
    BOOST_TEST(absl::IsDataLoss(relay.replay_from(2).status()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_an_engine_that_misbehaves)

BOOST_AUTO_TEST_CASE(is_given_up_at_the_first_malformed_event)
{
    for (std::string const malformed_event :
         {"data: {", "data: 7", "data: {\"index\":-1,\"token\":\"a\"}",
          "data: {\"index\":0}", "data: {\"index\":0,\"token\":1}", "data: "})
    {
        stream_relay relay("s", 0, history);
        std::string out;
        relay.begin_attempt(1);
        relay.feed(1, malformed_event + "\n\n" + token(0), out);
        BOOST_TEST((relay.state() == relay_state::waiting));
        BOOST_TEST(out.empty());
    }
}

BOOST_AUTO_TEST_CASE(does_not_make_it_hold_an_endless_event)
{
    stream_relay relay("s", 0, history);
    std::string out;
    relay.begin_attempt(1);
    std::string const part(engine_event_parser::max_event_size, 'x');
    relay.feed(1, part, out);
    BOOST_TEST((relay.feed(1, "x", out) == relay_state::waiting));
}

BOOST_AUTO_TEST_CASE(gets_nothing_through_after_the_end)
{
    stream_relay relay("s", 0, history);
    std::string out;
    relay.begin_attempt(1);
    relay.feed(1, token(0) + encode_end_event() + token(1), out);
    relay.feed(1, token(1), out);
    relay.begin_attempt(2);
    relay.feed(2, token(1), out);
    BOOST_TEST(out == caller_bytes(0, 1));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
