#include "core/session_text.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

BOOST_AUTO_TEST_SUITE(a_line_of_a_session)

BOOST_AUTO_TEST_CASE(is_a_word_and_its_fields)
{
    auto const line = parse_text_line("call id=r1  body=\"a \\\"b\\\"\\n\"");
    BOOST_REQUIRE(line.ok());
    BOOST_TEST(line->word == "call");
    BOOST_TEST(line->value("id") == "r1");
    BOOST_TEST(line->value("body") == "a \"b\"\n");
    BOOST_TEST(line->value("method", "GET") == "GET");
}

BOOST_AUTO_TEST_CASE(keeps_every_byte_through_quoting)
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte)
    {
        all += static_cast<char>(byte);
    }
    auto const line = parse_text_line("piece bytes=" + quoted_text(all));
    BOOST_REQUIRE(line.ok());
    BOOST_TEST(line->value("bytes") == all);
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_refused_with_its_column)
{
    struct fault
    {
        std::string_view line;
        std::string_view message;
    };
    constexpr fault faults[] = {
        {"call id", "column 8: expected name=value"},
        {"call id=\"x", "column 11: expected a closing quote"},
        {"call id=\"\\q\"", "column 11: expected one of n r t"},
        {"call id=\"\\x1\"", "column 13: expected two hexadecimal digits"},
    };
    for (fault const& row : faults)
    {
        auto const line = parse_text_line(row.line);
        BOOST_TEST_CONTEXT(row.line)
        {
            BOOST_REQUIRE(!line.ok());
            BOOST_TEST(
                std::string(line.status().message()).starts_with(row.message));
        }
    }
}

BOOST_AUTO_TEST_SUITE(that_states_an_event)

BOOST_AUTO_TEST_CASE(becomes_that_event)
{
    auto const parsed = parse_event(
        *parse_text_line("failed attempt=7 run=may_have_run reason=cut"));
    BOOST_REQUIRE(parsed.ok());
    auto const& failed = std::get<upstream_failed>(*parsed);
    BOOST_TEST(failed.attempt == 7U);
    BOOST_TEST((failed.run == verdict::may_have_run));
    BOOST_TEST(failed.reason == "cut");
}

BOOST_AUTO_TEST_CASE(is_refused_if_unknown_or_wrong)
{
    for (char const* text : {"unheard_of", "head attempt=x status=200",
                             "end attempt=-1", "failed attempt=1 run=perhaps"})
    {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!parse_event(*parse_text_line(text)).ok());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
