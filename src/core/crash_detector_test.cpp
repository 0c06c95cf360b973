#include "core/crash_detector.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

namespace
{

constexpr upstream_index upstream = 3;
attempts_in_flight const three_attempts{{1, {11}}, {2, {12}}, {3, {13}}};

time_point at(int milliseconds)
{
    return time_point(std::chrono::milliseconds(milliseconds));
}

std::set<fingerprint> keys_of(suspect_requests const& requests)
{
    std::set<fingerprint> keys;
    for (auto const& [key, since_sent] : requests)
    {
        keys.insert(key);
    }
    return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_upstream_whose_connections_are_lost)

BOOST_AUTO_TEST_CASE(crashed_if_all_were_lost_together)
{
    crash_detector detector({});
    BOOST_TEST(
        !detector.record_lost_connection(at(0), upstream, 1, three_attempts));
    BOOST_TEST(!detector.record_lost_connection(at(1), upstream, 2,
                                                {{2, {12}}, {3, {13}}}));
    auto const suspects =
        detector.record_lost_connection(at(2), upstream, 3, {{3, {13}}});
    BOOST_REQUIRE(suspects.has_value());
    BOOST_TEST(
        (keys_of(suspects->requests) == std::set<fingerprint>{11, 12, 13}));
}

BOOST_AUTO_TEST_CASE(crashed_if_the_only_one_was_lost)
{
    crash_detector detector({});
    BOOST_TEST(detector.record_lost_connection(at(0), upstream, 1, {{1, {11}}})
                   .has_value());
}

BOOST_AUTO_TEST_SUITE(but_not_all_of_them)

BOOST_AUTO_TEST_CASE(did_not_crash_if_one_was_answered)
{
    crash_detector detector({});
    BOOST_TEST(
        !detector.record_lost_connection(at(0), upstream, 1, three_attempts));
    detector.record_ended_attempt(upstream, 2);
    BOOST_TEST(!detector.record_lost_connection(at(1), upstream, 3,
                                                {{3, {13}}, {4, {14}}}));
}

BOOST_AUTO_TEST_CASE(did_not_crash_if_the_rest_came_too_late)
{
    crash_detector detector({});
    BOOST_TEST(!detector.record_lost_connection(at(0), upstream, 1,
                                                {{1, {11}}, {2, {12}}}));
    BOOST_TEST(!detector
                    .record_lost_connection(at(300), upstream, 2,
                                            {{2, {12}}, {3, {13}}})
                    .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(crashed_if_it_then_refuses_a_connection)
{
    crash_detector detector({});
    BOOST_TEST(
        !detector.record_lost_connection(at(0), upstream, 1, three_attempts));
    BOOST_TEST(detector.needs_check(upstream));
    BOOST_TEST(!detector.needs_check(upstream));
    auto const suspects = detector.record_refused_connection(at(900), upstream);
    BOOST_REQUIRE(suspects.has_value());
    BOOST_TEST(
        (keys_of(suspects->requests) == std::set<fingerprint>{11, 12, 13}));
    BOOST_TEST(!detector.record_refused_connection(at(901), upstream));
}

BOOST_AUTO_TEST_CASE(did_not_crash_then_if_it_refuses_only_much_later)
{
    crash_detector detector({});
    detector.record_lost_connection(at(0), upstream, 1, three_attempts);
    BOOST_TEST(!detector.record_refused_connection(at(1'100), upstream));
}

BOOST_AUTO_TEST_SUITE(below_the_quorum)

BOOST_AUTO_TEST_CASE(did_not_crash_though_all_were_lost)
{
    crash_detector detector({.quorum = 3});
    BOOST_TEST(
        !detector.record_lost_connection(at(0), upstream, 1, {{1, {11}}}));
    BOOST_TEST(detector.needs_check(upstream));
}

BOOST_AUTO_TEST_CASE(crashed_if_it_then_refuses_a_connection)
{
    crash_detector detector({.quorum = 3});
    detector.record_lost_connection(at(0), upstream, 1, {{1, {11}}});
    BOOST_TEST(detector.record_refused_connection(at(5), upstream).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_ran_several_requests)

BOOST_AUTO_TEST_CASE(was_not_crashed_by_one_whose_answer_had_begun)
{
    crash_detector detector({});
    detector.record_lost_connection(
        at(0), upstream, 1, {{1, {11, true, {}}}, {2, {12, false, {}}}});
    auto const suspects = detector.record_lost_connection(
        at(1), upstream, 2, {{2, {12, false, {}}}});
    BOOST_REQUIRE(suspects.has_value());
    BOOST_TEST((keys_of(suspects->requests) == std::set<fingerprint>{12}));
}

BOOST_AUTO_TEST_CASE(was_crashed_by_one_of_them_if_all_answers_had_begun)
{
    crash_detector detector({});
    auto const suspects = detector.record_lost_connection(
        at(0), upstream, 1, {{1, {11, true, {}}}});
    BOOST_REQUIRE(suspects.has_value());
    BOOST_TEST((keys_of(suspects->requests) == std::set<fingerprint>{11}));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
