#include "net/message_session.hpp"

#include "net/peer_envelope.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(message_session_test)

constexpr std::size_t limit = 1000;

struct session_pair
{
    // Carries bytes both ways, `step` at a time, until none are left.
    void exchange(std::size_t step)
    {
        bool more_bytes = true;
        while (more_bytes)
        {
            bool const forth = carry(dialer, listener, step);
            bool const back = carry(listener, dialer, step);
            more_bytes = forth || back;
            auto more = listener.take_received();
            received.insert(received.end(), more.begin(), more.end());
            auto settled = dialer.take_results();
            results.insert(results.end(), settled.begin(), settled.end());
        }
    }

    static bool carry(message_session& from, message_session& to,
                      std::size_t step)
    {
        std::string const bytes = from.take_output();
        for (std::size_t at = 0; at < bytes.size(); at += step)
        {
            BOOST_REQUIRE(to.feed(bytes.substr(at, step)).ok());
        }
        return !bytes.empty();
    }

    message_session dialer{session_role::dialer, limit};
    message_session listener{session_role::listener, limit};
    std::vector<std::string> received;
    std::vector<message_result> results;
};

BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_messages)
{
    std::vector<std::string> const messages{"a", std::string(limit, 'b'),
                                            std::string("\0c", 2)};
    for (std::size_t step = 1; step < 200; ++step)
    {
        session_pair pair;
        for (std::size_t i = 0; i < messages.size(); ++i)
        {
            BOOST_REQUIRE(pair.dialer.send(i, messages[i]).ok());
        }
        pair.exchange(step);
        std::sort(pair.received.begin(), pair.received.end());
        std::vector<std::string> expected = messages;
        std::sort(expected.begin(), expected.end());
        BOOST_TEST(pair.received == expected, boost::test_tools::per_element());
        BOOST_REQUIRE(pair.results.size() == messages.size());
        BOOST_TEST(std::all_of(pair.results.begin(), pair.results.end(),
                               [](auto const& r) { return r.acknowledged; }));
    }
}

BOOST_AUTO_TEST_CASE(a_message_over_the_limit_is_reset_and_not_delivered)
{
    session_pair pair;
    BOOST_REQUIRE(pair.dialer.send(1, std::string(limit + 1, 'x')).ok());
    BOOST_REQUIRE(pair.dialer.send(2, std::string(50 * limit, 'x')).ok());
    BOOST_REQUIRE(pair.dialer.send(3, "small").ok());
    pair.exchange(4096);
    BOOST_TEST(pair.received == std::vector<std::string>{"small"},
               boost::test_tools::per_element());
    BOOST_REQUIRE(pair.results.size() == 3U);
    for (message_result const& result : pair.results)
    {
        BOOST_TEST(result.acknowledged == (result.id == 3));
    }
}

BOOST_AUTO_TEST_CASE(bytes_of_another_protocol_are_an_error)
{
    for (session_role const role :
         {session_role::dialer, session_role::listener})
    {
        message_session session(role, limit);
        BOOST_TEST(!session.feed(std::string(100, 'G')).ok());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peer_envelope_test)

BOOST_AUTO_TEST_CASE(carries_kind_and_payload)
{
    for (auto const& row : peer_message_kind_names)
    {
        peer_message const sent{"target", row.value, std::string("\0\xff", 2)};
        auto const got = decode_envelope(encode_envelope(sent));
        BOOST_REQUIRE(got.ok());
        BOOST_TEST((got->kind == sent.kind));
        BOOST_TEST(got->payload == sent.payload);
        BOOST_TEST(got->vm.empty());
    }
}

BOOST_AUTO_TEST_CASE(skips_fields_of_later_versions)
{
    // [9, 2, "p", {"new": 1}, nil]
    auto const got = decode_envelope("\x95\x09\x02\xa1p\x81\xa3new\x01\xc0");
    BOOST_REQUIRE(got.ok());
    BOOST_TEST((got->kind == peer_message_kind::request));
    BOOST_TEST(got->payload == "p");
}

BOOST_AUTO_TEST_CASE(refuses_what_is_not_one)
{
    std::vector<std::string> const inputs{
        "",
        "\xc0",
        "\xa1x",
        "\x93\x01\x02",             // cut short
        "\x93\xa1x\x02\xa1p",       // version is no number
        "\xdd\xff\xff\xff\xff\x01", // four billion elements
        "\xdb\xff\xff\xff\xff",     // four gigabytes
        std::string(1000, '\x91'),  // nested
    };
    for (std::string const& input : inputs)
    {
        BOOST_TEST((decode_envelope(input).status().code() ==
                    absl::StatusCode::kInvalidArgument));
    }
}

BOOST_AUTO_TEST_CASE(refuses_a_kind_that_is_not_known)
{
    BOOST_TEST((decode_envelope("\x93\x01\x7f\xa1p").status().code() ==
                absl::StatusCode::kUnimplemented));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
