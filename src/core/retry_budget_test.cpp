#include "core/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(5'000'000);

retry_question question()
{
    retry_question what;
    what.service = std::string("drafting");
    what.id = std::string("r");
    what.idempotent = true;
    what.deadline = start + seconds(10);
    return what;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

// The fleet's retry cap is divided between VMs, so each VM's cap falls when the
// fleet grows. A balance above the new cap must be reduced to it.
BOOST_AUTO_TEST_CASE(are_bounded_anew_when_the_fleet_grows)
{
    retry_budget_options options;
    options.cap = 20;
    options.initial = 20;
    retry_budget budget(options);
    BOOST_TEST((budget.ask(start, question()).answer == retry_answer::allowed));
    budget.set_cap(2);
    BOOST_TEST(budget.balance("drafting") == 2);
    int allowed = 0;
    for (int i = 0; i < 10; ++i)
    {
        allowed += budget.ask(start, question()).answer == retry_answer::allowed
                       ? 1
                       : 0;
    }
    BOOST_TEST(allowed == 2);
}

BOOST_AUTO_TEST_CASE(are_allowed_only_where_the_verdict_permits)
{
    struct row
    {
        verdict run;
        bool idempotent;
        bool answer_begun;
        bool resumable;
        retry_cause cause;
        bool allowed;
    };
    using enum verdict;
    using enum retry_cause;
    row const rows[] = {
        {not_run, false, false, false, failed, true},
        {not_run, true, false, false, failed, true},
        {may_have_run, false, false, false, failed, false},
        {may_have_run, true, false, false, failed, true},
        {ran, false, false, false, failed, false},
        {ran, true, true, false, failed, false},
        {ran, true, true, true, failed, true},
        {may_have_run, false, false, true, upstream_leaving, false},
        {ran, true, true, true, upstream_leaving, true},
        {not_run, false, false, false, upstream_leaving, true},
        {not_run, false, false, false, hedge, false},
        {may_have_run, true, false, false, hedge, true},
    };
    for (row const& r : rows)
    {
        retry_budget budget({});
        retry_question what = question();
        what.run = r.run;
        what.idempotent = r.idempotent;
        what.answer_begun = r.answer_begun;
        what.resumable = r.resumable;
        what.cause = r.cause;
        bool const allowed =
            budget.ask(start, what).answer == retry_answer::allowed;
        BOOST_TEST_CONTEXT(name(r.run) << ' ' << r.idempotent)
        {
            BOOST_TEST(allowed == r.allowed);
        }
    }
}

BOOST_AUTO_TEST_CASE(stay_under_the_amplification_bound_at_any_failure_share)
{
    for (int failing_percent = 0; failing_percent <= 100; failing_percent += 5)
    {
        retry_budget budget({});
        int attempts = 0;
        int const requests = 1'000;
        for (int i = 0; i < requests; ++i)
        {
            retry_question what = question();
            bool failed = true;
            for (what.attempts = 1; failed; ++what.attempts)
            {
                ++attempts;
                failed = (attempts * 37) % 100 < failing_percent;
                if (failed &&
                    budget.ask(start, what).answer != retry_answer::allowed)
                {
                    break;
                }
            }
            if (!failed)
            {
                budget.on_success("drafting");
            }
        }
        BOOST_TEST_CONTEXT(failing_percent << "% fail")
        {
            BOOST_TEST(attempts < requests * 1.2);
        }
    }
}

BOOST_AUTO_TEST_CASE(wait_until_moves_are_paid_back)
{
    retry_budget_options options;
    options.ratio = 0.1;
    retry_budget budget(options);
    retry_question move = question();
    move.cause = retry_cause::upstream_leaving;
    for (move.attempts = 1; move.attempts <= 10; ++move.attempts)
    {
        BOOST_TEST((budget.ask(start, move).answer == retry_answer::allowed));
    }
    for (int i = 0; i < 85; ++i)
    {
        BOOST_TEST((budget.ask(start, question()).answer ==
                    retry_answer::budget_exhausted));
        budget.on_success("drafting");
    }
    for (int i = 0; i < 10; ++i)
    {
        budget.on_success("drafting");
    }
    BOOST_TEST((budget.ask(start, question()).answer == retry_answer::allowed));
}

BOOST_AUTO_TEST_CASE(do_not_pay_for_attempts_that_made_no_connection)
{
    retry_budget budget({});
    double const before = budget.balance("drafting");
    retry_question what = question();
    what.run = verdict::not_run;
    what.cause = retry_cause::not_connected;
    for (what.attempts = 1; what.attempts < 8; ++what.attempts)
    {
        BOOST_TEST((budget.ask(start, what).answer == retry_answer::allowed));
    }
    BOOST_TEST((budget.ask(start, what).answer == retry_answer::too_many));
    BOOST_TEST(budget.balance("drafting") == before);
}

BOOST_AUTO_TEST_CASE(end_with_the_deadline_and_the_count)
{
    retry_budget budget({});
    retry_question what = question();
    what.deadline = start + milliseconds(49);
    BOOST_TEST((budget.ask(start, what).answer == retry_answer::past_deadline));
    what.deadline = start + milliseconds(60);
    auto const tight = budget.ask(start, what);
    BOOST_TEST((tight.answer == retry_answer::allowed));
    BOOST_TEST((tight.delay <= milliseconds(10)));
    what = question();
    what.attempts = 3;
    BOOST_TEST((budget.ask(start, what).answer == retry_answer::too_many));
    BOOST_TEST(
        (attempt_deadline(start, start + seconds(1), seconds(2)) == start));
    BOOST_TEST((attempt_deadline(start, start + seconds(3), seconds(2)) ==
                start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(hedge_only_beyond_the_usual_time)
{
    retry_budget budget({});
    BOOST_TEST(!budget.hedge_delay("drafting").has_value());
    for (int i = 0; i < 20'000; ++i)
    {
        budget.on_first_byte("drafting", milliseconds(1 + i * 7 % 100));
    }
    auto const delay = budget.hedge_delay("drafting");
    BOOST_TEST_REQUIRE(delay.has_value());
    BOOST_TEST((*delay > milliseconds(80)));
    BOOST_TEST((*delay < milliseconds(120)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
