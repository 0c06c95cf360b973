#include "core/version_evidence.hpp"
#include "core/version_move.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace amarantharch
{

namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

time_point const start = from_micros(0);

move_plan plan()
{
    move_plan result;
    result.revision = std::string("r7");
    result.service = std::string("drafting");
    result.old_version = std::string("1");
    result.new_version = std::string("2");
    result.started = start;
    result.deadline = start + hours(1);
    return result;
}

version_move fresh_move()
{
    return version_move(plan(), {});
}

move_record record(move_state state, std::uint32_t stage)
{
    return {"r7", static_cast<std::uint8_t>(state), stage, "why"};
}

double mean_share(version_move const& move, time_point from, int samples)
{
    double sum = 0;
    for (int i = 0; i < samples; ++i)
    {
        sum += move.share(from + std::chrono::milliseconds(100) * i);
    }
    return sum / samples;
}

// Feeds enough good answers of both versions to leave any stage.
void feed_good_answers(version_move& move, time_point now)
{
    for (int i = 0; i < 100; ++i)
    {
        auto const latency = std::chrono::milliseconds(100 + i * 37 % 100);
        for (auto const arm :
             {version_arm::old_version, version_arm::new_version})
        {
            move.on_answer(now, "ask", load_band::low, arm, latency);
        }
    }
}

void feed_failures(version_move& move, int count)
{
    for (int i = 0; i < count; ++i)
    {
        move.on_failure("ask", load_band::low, version_arm::new_version, 0.01);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_moves)

BOOST_AUTO_TEST_SUITE(the_sequential_test)

// By Ville's inequality the wealth of at most a share alpha of good versions
// ever exceeds 1 / alpha, even if evaluated after each outcome.
BOOST_AUTO_TEST_CASE(rarely_accuses_a_good_version_at_any_look)
{
    double const alpha = 0.05;
    int accused = 0;
    int const runs = 400;
    for (int run = 0; run < runs; ++run)
    {
        std::mt19937_64 random(static_cast<std::uint64_t>(run));
        std::uniform_real_distribution<double> uniform(0, 1);
        std::lognormal_distribution<double> latency(4, 0.7);
        sequential_test test;
        double highest = 0;
        for (int i = 0; i < 4'000; ++i)
        {
            double const share = i % 2'000 < 1'000 ? 0.05 : 0.5;
            auto const arm = uniform(random) < share ? version_arm::new_version
                                                     : version_arm::old_version;
            if (uniform(random) < 0.05)
            {
                test.on_failure(arm, share);
            }
            else
            {
                auto const took = duration(
                    static_cast<std::int64_t>(latency(random) * 1'000));
                test.on_answer(start, arm, took);
            }
            highest = std::max({highest, test.evidence().failure_log_mixture(),
                                test.evidence().latency_log_mixture()});
        }
        accused += highest > std::log(2 / alpha) ? 1 : 0;
    }
    BOOST_TEST(accused <= alpha * runs);
}

BOOST_AUTO_TEST_CASE(is_not_moved_by_a_cause_that_hits_both)
{
    std::mt19937_64 random(1);
    sequential_test test;
    for (int i = 0; i < 10'000; ++i)
    {
        bool const is_new = random() % 100 == 0;
        test.on_failure(
            is_new ? version_arm::new_version : version_arm::old_version, 0.01);
    }
    BOOST_TEST(test.evidence().failure_log_mixture() < 0);
}

BOOST_AUTO_TEST_CASE(finds_a_slow_version_in_few_answers)
{
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> latency(4, 0.5);
    sequential_test test;
    int answers = 0;
    while (test.evidence().latency_log_mixture() < std::log(1e4))
    {
        for (int i = 0; i < 10; ++i)
        {
            test.on_answer(
                start, version_arm::old_version,
                duration(static_cast<std::int64_t>(latency(random) * 1'000)));
        }
        test.on_answer(
            start, version_arm::new_version,
            duration(static_cast<std::int64_t>(latency(random) * 2'000)));
        ++answers;
        BOOST_TEST_REQUIRE(answers < 200);
    }
}

BOOST_AUTO_TEST_CASE(adds_up_over_vms_whatever_the_split)
{
    sequential_test whole;
    sequential_test parts[3];
    for (int i = 0; i < 300; ++i)
    {
        auto const arm =
            i % 7 == 0 ? version_arm::new_version : version_arm::old_version;
        whole.on_failure(arm, 0.1);
        parts[i % 3].on_failure(arm, 0.1);
    }
    test_evidence sum;
    for (sequential_test const& part : parts)
    {
        sum.add(part.evidence());
    }
    BOOST_TEST(sum.failure_log_mixture() ==
                   whole.evidence().failure_log_mixture(),
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(sum.new_failures == whole.evidence().new_failures);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(exposure)

BOOST_AUTO_TEST_CASE(is_the_stages_share_on_average_with_pulses)
{
    version_move move = fresh_move();
    move.on_contact(start);
    for (double const capacity : {0.05, 0.25, 0.9})
    {
        move.set_capacity_share(capacity);
        time_point from = start;
        double sum = 0;
        for (int minute = 0; minute < 5; ++minute)
        {
            move.on_contact(from);
            double part = 0;
            for (int s = 0; s < 60; ++s)
            {
                move.on_contact(from + seconds(s));
                part += mean_share(move, from + seconds(s), 10);
            }
            sum += part / 60;
            from += minutes(1);
        }
        BOOST_TEST(sum / 5 <= move_stages[0].share * 1.1);
        BOOST_TEST(sum / 5 >= move_stages[0].share * 0.8);
    }
}

// Few requests reach a version that is bad from the start.
BOOST_AUTO_TEST_CASE(starts_with_a_calm_time)
{
    version_move const move = fresh_move();
    BOOST_TEST(mean_share(move, start, 400) <= move_stages[0].share);
}

BOOST_AUTO_TEST_CASE(is_the_same_for_a_request_at_every_vm)
{
    version_move const one = fresh_move();
    version_move const other = fresh_move();
    int exposed = 0;
    for (int i = 0; i < 100'000; ++i)
    {
        request_id const id = fmt::format("request-{}", i);
        bool const is_new = one.assign(start, id) == version_arm::new_version;
        BOOST_TEST_REQUIRE(
            is_new == (other.assign(start, id) == version_arm::new_version));
        exposed += is_new ? 1 : 0;
    }
    BOOST_TEST(exposed <= 100'000 * one.share(start) * 1.1);
    BOOST_TEST(exposed >= 100'000 * one.share(start) * 0.9);
}

BOOST_AUTO_TEST_CASE(shrinks_at_a_vm_that_hears_nobody)
{
    version_move move = fresh_move();
    move.apply(record(move_state::running, 3));
    move.on_contact(start + minutes(1));
    BOOST_TEST(move.share(start + minutes(1)) == 0.5);
    BOOST_TEST(move.share(start + minutes(1) + seconds(11)) <= 0.05);
    BOOST_TEST(move.share(start + minutes(2) + seconds(1)) == 0);
    move.on_contact(start + minutes(3));
    BOOST_TEST(move.share(start + minutes(3)) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_bad_version)

BOOST_AUTO_TEST_CASE(is_taken_back_at_any_vm_at_once_and_for_good)
{
    version_move entry = fresh_move();
    feed_failures(entry, 20);
    auto const rollback = entry.tick(start + seconds(5), false);
    BOOST_TEST_REQUIRE(rollback.has_value());
    BOOST_TEST((entry.report(start).state == move_state::rolled_back));
    BOOST_TEST(entry.share(start + seconds(5)) == 0);
    BOOST_TEST(!entry.tick(start + seconds(6), true).has_value());
    // No record undoes the rollback, in whatever order the records arrive.
    for (auto const state :
         {move_state::running, move_state::done, move_state::not_done})
    {
        entry.apply(record(state, 4));
        BOOST_TEST(entry.share(start + seconds(7)) == 0);
        version_move other = fresh_move();
        other.apply(record(state, 4));
        other.apply(*rollback);
        other.apply(record(state, 4));
        BOOST_TEST((other.report(start).state == move_state::rolled_back));
        BOOST_TEST(other.share(start + seconds(7)) == 0);
    }
}

BOOST_AUTO_TEST_CASE(is_found_by_evidence_that_no_vm_has_alone)
{
    version_move reader = fresh_move();
    for (int vm = 0; vm < 8; ++vm)
    {
        version_move entry = fresh_move();
        feed_failures(entry, 1);
        BOOST_TEST(!entry.tick(start + seconds(5), true).has_value());
        auto const evidence = entry.evidence(fmt::format("vm{}", vm), 1);
        reader.merge(evidence);
        reader.merge(evidence); // repeated: counts once
        bool const found = reader.tick(start + seconds(5), false).has_value();
        BOOST_TEST(!(found && vm == 0));
    }
    BOOST_TEST((reader.report(start).state == move_state::rolled_back));
}

// An older message that arrives late must not replace the newer evidence of the
// same VM.
BOOST_AUTO_TEST_CASE(is_found_though_messages_come_out_of_order)
{
    version_move entry = fresh_move();
    move_evidence const older = entry.evidence("vm1", 1);
    feed_failures(entry, 20);
    move_evidence const newer = entry.evidence("vm1", 1);
    version_move reader = fresh_move();
    reader.merge(newer);
    reader.merge(older);
    BOOST_TEST(reader.tick(start + seconds(5), false).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_good_version)

BOOST_AUTO_TEST_CASE(is_moved_by_the_mover_alone_and_in_time)
{
    version_move mover = fresh_move();
    version_move other = fresh_move();
    for (time_point now = start; now < start + hours(1); now += minutes(1))
    {
        feed_good_answers(mover, now);
        feed_good_answers(other, now);
        BOOST_TEST(!other.tick(now, false).has_value());
        auto const step = mover.tick(now, true);
        if (step)
        {
            mover.apply(*step);
            other.apply(*step);
            other.apply(*step); // repeated: no change
        }
    }
    BOOST_TEST((mover.report(start).state == move_state::done));
    BOOST_TEST((other.report(start).state == move_state::done));
    BOOST_TEST(other.share(start + hours(2)) == 1);
}

BOOST_AUTO_TEST_CASE(without_enough_requests_is_not_done_and_says_why)
{
    version_move move = fresh_move();
    move.on_answer(start, "ask", load_band::low, version_arm::old_version,
                   seconds(1));
    BOOST_TEST(!move.tick(start + minutes(59), true).has_value());
    auto const ended = move.tick(start + hours(1), true);
    BOOST_TEST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->reason == "0 of 20 requests of route ask under low load");
    move.apply(*ended);
    BOOST_TEST((move.report(start).state == move_state::not_done));
    BOOST_TEST(move.share(start + hours(1)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
