#include "core/load_shedding.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

load_shedding with_ranks(std::vector<std::uint8_t> ranks)
{
    load_shedding shedding;
    shedding.set_ranks(std::move(ranks));
    return shedding;
}

shedding_question question_of(std::uint8_t rank, double occupancy)
{
    shedding_question question;
    question.id = std::string("request");
    question.rank = rank;
    question.received = start;
    question.deadline = start + seconds(8);
    question.predicted = milliseconds(200);
    question.upstream_occupancy = occupancy;
    question.service_occupancy = occupancy;
    question.slot_time = milliseconds(200);
    return question;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_sheddings)

// Guards against a rank that takes the room of a more urgent one, and against
// decisions that differ from sending where there is no overload.
BOOST_AUTO_TEST_CASE(ranks_stop_one_after_the_other)
{
    struct row
    {
        double occupancy;
        shedding_action most_urgent;
        shedding_action middle;
        shedding_action least_urgent;
    };
    using enum shedding_action;
    load_shedding const shedding = with_ranks({0, 1, 2});
    for (row const& each :
         {row{0, send, send, send}, row{0.49, send, send, send},
          row{0.56, send, send, hold}, row{0.61, send, hold, hold},
          row{2.5, send, hold, hold}})
    {
        BOOST_TEST_CONTEXT(each.occupancy)
        {
            auto const action = [&](std::uint8_t rank)
            {
                return shedding.decide(start, question_of(rank, each.occupancy))
                    .action;
            };
            BOOST_TEST((action(0) == each.most_urgent));
            BOOST_TEST((action(1) == each.middle));
            BOOST_TEST((action(2) == each.least_urgent));
        }
    }
}

// Guards against holding where nothing more urgent could use the room, and
// where nothing is known.
BOOST_AUTO_TEST_CASE(without_priorities_or_loads_all_is_sent)
{
    load_shedding const one_rank = with_ranks({2, 2});
    auto const decision = one_rank.decide(start, question_of(2, 5));
    BOOST_TEST((decision.action == shedding_action::send));
    BOOST_TEST((decision.reason == shedding_reason::no_priorities));
    shedding_question unknown = question_of(2, 5);
    unknown.service_occupancy.reset();
    auto const blind = with_ranks({0, 2}).decide(start, unknown);
    BOOST_TEST((blind.action == shedding_action::send));
    BOOST_TEST((blind.reason == shedding_reason::loads_unknown));
}

// Guards against requests at upstreams that can only be late.
BOOST_AUTO_TEST_CASE(what_cannot_be_in_time_is_rejected_at_once)
{
    load_shedding const shedding = with_ranks({0, 1});
    shedding_question question = question_of(1, 2);
    question.deadline = start + milliseconds(200);
    auto const decision = shedding.decide(start, question);
    BOOST_TEST((decision.action == shedding_action::reject));
    BOOST_TEST((decision.reason == shedding_reason::past_deadline));
    // Predictions are not trusted where there is no overload.
    question.service_occupancy = 0.2;
    BOOST_TEST(
        (shedding.decide(start, question).action == shedding_action::send));
}

// Guards against requests that are held until they are late, or for ever.
BOOST_AUTO_TEST_CASE(a_hold_is_a_bounded_part_of_the_slack)
{
    load_shedding const shedding = with_ranks({0, 1});
    shedding_question question = question_of(1, 2);
    question.deadline = start + milliseconds(1'200);
    auto const held = shedding.decide(start, question);
    BOOST_TEST((held.action == shedding_action::hold));
    BOOST_TEST((held.held_until == start + milliseconds(250)));
    question.held_since = start;
    question.held_until = held.held_until;
    auto const later = shedding.decide(start + milliseconds(240), question);
    BOOST_TEST((later.action == shedding_action::hold));
    BOOST_TEST((later.held_until == held.held_until));
    auto const ended = shedding.decide(held.held_until, question);
    BOOST_TEST((ended.action == shedding_action::reject));
    BOOST_TEST((ended.retry_after > duration::zero()));
    shedding_question const patient = question_of(1, 2);
    BOOST_TEST((shedding.decide(start, patient).held_until <=
                start + milliseconds(500)));
}

// Guards against a most urgent rank that starves the others by its offers
// alone, and against ageing that spends the reserve on all of them.
BOOST_AUTO_TEST_CASE(waiting_raises_the_rank_and_for_some_to_the_first)
{
    load_shedding const shedding = with_ranks({0, 3, 7});
    std::size_t first = 0;
    constexpr std::size_t count = 1'000;
    for (std::size_t i = 0; i < count; ++i)
    {
        shedding_question question = question_of(7, 2);
        question.id = fmt::format("r{}", i);
        question.held_since = start;
        BOOST_REQUIRE(shedding.position_of(start, question) == 2U);
        BOOST_REQUIRE(shedding.position_of(start - seconds(5), question) == 2U);
        BOOST_REQUIRE(
            shedding.position_of(start + milliseconds(300), question) == 1U);
        first += shedding.position_of(start + milliseconds(600), question) == 0
                     ? 1
                     : 0;
    }
    BOOST_TEST(first > count / 10);
    BOOST_TEST(first < count * 3 / 10);
}

// Guards against VMs that all stop and resume at the same moment.
BOOST_AUTO_TEST_CASE(thresholds_of_a_rank_are_spread)
{
    load_shedding const shedding = with_ranks({0, 1, 2});
    std::size_t sent = 0;
    constexpr std::size_t count = 1'000;
    for (std::size_t i = 0; i < count; ++i)
    {
        shedding_question question = question_of(1, 0.585);
        question.id = fmt::format("r{}", i);
        sent += shedding.decide(start, question).action == shedding_action::send
                    ? 1
                    : 0;
    }
    BOOST_TEST(sent > count / 4);
    BOOST_TEST(sent < count * 3 / 4);
}

// One failure each: one upstream full, all full, loads that are not known any
// more, a clock that was suspended or set back.
BOOST_AUTO_TEST_CASE(a_full_upstream_gets_nothing_of_any_rank)
{
    load_shedding const shedding = with_ranks({0, 1});
    for (std::uint8_t const rank : {std::uint8_t{0}, std::uint8_t{1}})
    {
        shedding_question question = question_of(rank, 0.1);
        question.upstream_full = true;
        auto const decision = shedding.decide(start, question);
        BOOST_TEST((decision.action == shedding_action::hold));
        BOOST_TEST((decision.reason == shedding_reason::upstream_full));
    }
}

BOOST_AUTO_TEST_CASE(the_limit_of_upstreams_is_learned_from_rejections)
{
    load_shedding shedding = with_ranks({0, 1});
    shedding.on_rejection(0.5); // slots were free: another cause
    BOOST_TEST(shedding.limit() == 3.0);
    shedding.on_rejection(5);
    BOOST_TEST(shedding.limit() == 5.0);
    BOOST_TEST((shedding.decide(start, question_of(0, 4.9)).action ==
                shedding_action::send));
    auto const all_full = shedding.decide(start, question_of(0, 5));
    BOOST_TEST((all_full.action == shedding_action::hold));
}

BOOST_AUTO_TEST_CASE(a_suspended_or_set_back_clock_ends_no_hold_wrongly)
{
    load_shedding shedding = with_ranks({0, 1});
    shedding.on_occupancy(start, 2);
    shedding_question question = question_of(1, 2);
    question.held_since = start;
    question.held_until = start + milliseconds(300);
    BOOST_TEST((shedding.decide(start - seconds(3), question).action ==
                shedding_action::hold));
    // Loads from before a suspension are not known any more.
    shedding.on_occupancy(start + seconds(5), 0);
    question.service_occupancy.reset();
    BOOST_TEST((shedding.decide(start + seconds(5), question).action ==
                shedding_action::send));
}

// Guards against callers who come back for nothing, all at once, or the less
// urgent first.
BOOST_AUTO_TEST_CASE(retry_after_follows_the_fall_of_occupancy)
{
    load_shedding shedding = with_ranks({0, 1, 2});
    shedding_question question = question_of(2, 2.5);
    question.deadline = start + seconds(60);
    question.slot_time = seconds(1);
    auto const by_slot_time = shedding.retry_after(start, question);
    BOOST_TEST((by_slot_time >= seconds(2)));
    BOOST_TEST((by_slot_time <= seconds(3)));
    for (int i = 0; i < 20; ++i)
    {
        shedding.on_occupancy(start + milliseconds(250) * i, 3 - 0.125 * i);
    }
    auto const by_trend = shedding.retry_after(start, question);
    BOOST_TEST((by_trend >= seconds(4) - milliseconds(1)));
    BOOST_TEST((by_trend <= seconds(6)));
    question.rank = 1;
    BOOST_TEST((shedding.retry_after(start, question) < by_trend));
}

BOOST_AUTO_TEST_CASE(retry_after_is_useful_to_the_caller_where_it_can_be)
{
    load_shedding const shedding = with_ranks({0, 1, 2});
    for (int i = 0; i < 100; ++i)
    {
        shedding_question question = question_of(2, 2.5);
        question.id = fmt::format("r{}", i);
        question.slot_time = seconds(1);
        question.deadline = start + seconds(4);
        auto const capped = shedding.retry_after(start, question);
        BOOST_TEST((capped <= seconds(1)));
        BOOST_TEST((capped >= milliseconds(600)));
        // No room before the deadline: the true time.
        question.deadline = start + seconds(2);
        BOOST_TEST((shedding.retry_after(start, question) >= seconds(2)));
    }
}

// Guards against a most urgent rank that fills the upstreams until all of its
// own requests are late.
BOOST_AUTO_TEST_CASE(the_most_urgent_rank_stops_where_it_misses_its_target)
{
    load_shedding shedding = with_ranks({0, 1});
    shedding.on_first_event(0, 0.1, seconds(2), seconds(1)); // no overload
    shedding.on_first_event(1, 1.0, seconds(2), seconds(1));
    BOOST_TEST((shedding.decide(start, question_of(0, 2)).action ==
                shedding_action::send));
    shedding.on_first_event(0, 1.0, seconds(1), seconds(1));
    BOOST_TEST((shedding.decide(start, question_of(0, 0.7)).action ==
                shedding_action::send));
    BOOST_TEST((shedding.decide(start, question_of(0, 0.9)).action ==
                shedding_action::hold));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
