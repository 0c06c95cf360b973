#include "core/relay_fields.hpp"

#include "core/site.hpp"

#include <boost/test/unit_test.hpp>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(the_fields_of_a_relayed_attempt)

BOOST_AUTO_TEST_CASE(name_the_upstream_and_end_at_the_relay)
{
    call attempt;
    attempt.headers = {{"Host", "a.example"}};
    call relayed = to_relayed(attempt, {"u1", 7});
    auto const target = take_relay_target(relayed);
    BOOST_TEST_REQUIRE(target.has_value());
    BOOST_TEST(target->upstream == "u1");
    BOOST_TEST(target->incarnation == 7u);
    BOOST_TEST((relayed.headers == attempt.headers));
}

BOOST_AUTO_TEST_CASE(are_never_those_of_a_caller)
{
    call attempt;
    attempt.headers = {{"x-relay-upstream", "theirs"},
                       {"X-Relay-Incarnation", "1"}};
    call relayed = to_relayed(attempt, {"u1", 7});
    BOOST_TEST(take_relay_target(relayed)->upstream == "u1");
    BOOST_TEST(relayed.headers.empty());
}

BOOST_AUTO_TEST_CASE(name_no_upstream_if_they_are_malformed)
{
    for (header_list const& headers :
         {header_list{}, header_list{{"X-Relay-Upstream", "u1"}},
          header_list{{"X-Relay-Upstream", "u1"},
                      {"X-Relay-Incarnation", "seven"}},
          header_list{{"X-Relay-Incarnation", "7"}}})
    {
        call relayed;
        relayed.headers = headers;
        BOOST_TEST(!take_relay_target(relayed));
    }
}

BOOST_AUTO_TEST_CASE(tell_a_failure_from_an_answer)
{
    auto const why = relay_failure_in(relay_failure_headers(
        {failure_place::upstream, verdict::not_run, "connect_failed"}));
    BOOST_TEST_REQUIRE(why.has_value());
    BOOST_TEST((why->place == failure_place::upstream));
    BOOST_TEST((why->run == verdict::not_run));
    BOOST_TEST(why->reason == "connect_failed");
    header_list const answer{{"Content-Type", "text/plain"}};
    BOOST_TEST(!relay_failure_in(answer));
    BOOST_TEST(
        without_relay_fields({{"X-Relay-Failure", "forged"}, answer.front()})
            .size() == 1u);
}

BOOST_AUTO_TEST_CASE(count_as_the_worst_if_they_cannot_be_read)
{
    auto const why = relay_failure_in(
        {{"X-Relay-Failure", "x"}, {"X-Relay-Verdict", "surely_not"}});
    BOOST_TEST((why->run == verdict::may_have_run));
    BOOST_TEST((why->place == failure_place::relay));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
