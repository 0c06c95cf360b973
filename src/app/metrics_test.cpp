#include "app/metrics.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

BOOST_AUTO_TEST_SUITE(the_metrics)

BOOST_AUTO_TEST_CASE(appear_in_the_exposition_text)
{
    metrics subject;
    subject.set(gauge_name::requests_in_flight, 3);
    subject.count(counter_name::tokens_relayed, 2);
    subject.count(counter_name::tokens_relayed);
    subject.request_answered("claims", 200, std::chrono::milliseconds(3),
                             std::chrono::milliseconds(30));
    subject.request_refused("no_upstream", verdict::not_run);
    subject.attempt_failed("desk-1", verdict::may_have_run);
    subject.decision_took("route", duration(4));
    subject.set_shedding(2, {5, 1, 0, 3});
    subject.set_shedding(2, {7, 1, 0, 4});
    std::string const text = subject.text();
    for (
        char const* line : {
            "amarantharch_requests_in_flight 3\n",
            "amarantharch_tokens_relayed_total 3\n",
            R"(amarantharch_requests_answered_total{route="claims",status="200"} 1)",
            R"(amarantharch_requests_refused_total{reason="no_upstream",verdict="not_run"} 1)",
            R"(amarantharch_attempts_failed_total{upstream="desk-1",verdict="may_have_run"} 1)",
            R"(amarantharch_first_byte_seconds_bucket{route="claims",le="0.005"} 1)",
            R"(amarantharch_shedding_held{rank="2"} 7)",
            R"(amarantharch_shedding_waiting{rank="2"} 4)",
            R"(amarantharch_decision_seconds_bucket{decision="route",le="5e-06"} 1)",
        })
    {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_CASE(start_at_0_so_that_a_rate_can_be_taken)
{
    BOOST_TEST(metrics().text().find("amarantharch_log_appends_total 0\n") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
