#include "core/admission.hpp"
#include "core/fair_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <map>
#include <random>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(5'000'000);

queued_request waiting(std::string id, std::string organisation,
                       request_class priority, std::uint32_t tokens)
{
    return {std::move(id), std::move(organisation), priority, tokens, 100,
            start,         start + seconds(10)};
}

admission_request asked(std::string id, std::string organisation,
                        request_class priority = request_class::standard)
{
    return {std::move(id), std::move(organisation), priority, 100, 1'000, {}};
}

admission_options options_with_limit(std::uint32_t limit)
{
    admission_options options;
    options.limit.initial = limit;
    options.limit.floor = 1;
    options.max_interactive_reserve = 0;
    options.fair_headroom = 0;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_SUITE(the_fair_queue)

// Two organisations that always have requests queued are served equally per
// weight, up to the size of the largest request, for any request sizes.
BOOST_AUTO_TEST_CASE(serves_by_weight_whatever_the_sizes)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937_64 random(seed);
        fair_queue queue({});
        queue.set_weight("heavy", 1);
        queue.set_weight("light", 3);
        std::map<std::string, double> served;
        auto const refill = [&](std::string const& who)
        {
            auto const tokens = static_cast<std::uint32_t>(1 + random() % 500);
            queue.push(waiting("x", who, request_class::standard, tokens));
        };
        for (int i = 0; i < 5; ++i)
        {
            refill("heavy");
            refill("light");
        }
        for (int i = 0; i < 2'000; ++i)
        {
            auto const next = queue.pop(request_class::batch);
            served[next->organisation] += next->tokens;
            refill(next->organisation);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(std::abs(served["heavy"] - served["light"] / 3) <=
                       1'000);
        }
    }
}

BOOST_AUTO_TEST_CASE(never_idles_and_loses_nothing)
{
    std::mt19937_64 random(7);
    fair_queue queue({});
    std::size_t pushed = 0;
    std::size_t popped = 0;
    for (int i = 0; i < 5'000; ++i)
    {
        auto const level = static_cast<request_class>(random() % 3);
        std::string const who = fmt::format("o{}", random() % 4);
        queue.push(waiting(std::to_string(i), who, level, 10));
        ++pushed;
        if (random() % 3 != 0)
        {
            BOOST_TEST_REQUIRE(queue.pop(request_class::batch).has_value());
            ++popped;
        }
    }
    BOOST_TEST(queue.size() == pushed - popped);
    while (queue.pop(request_class::batch))
    {
        ++popped;
    }
    BOOST_TEST(popped == pushed);
    BOOST_TEST(queue.bytes() == 0u);
}

BOOST_AUTO_TEST_CASE(serves_questions_first_and_starves_no_draft)
{
    fair_queue queue({});
    for (int i = 0; i < 100; ++i)
    {
        queue.push(waiting("d", "o", request_class::batch, 100));
        queue.push(waiting("q", "o", request_class::interactive, 100));
    }
    int drafts = 0;
    for (int i = 0; i < 90; ++i)
    {
        auto const next = queue.pop(request_class::batch);
        drafts += next->priority == request_class::batch ? 1 : 0;
    }
    BOOST_TEST(drafts == 10); // 1 part to 8
    // Only interactive requests are popped when lower classes are not allowed.
    int questions = 0;
    while (queue.pop(request_class::interactive))
    {
        ++questions;
    }
    BOOST_TEST(questions == 20);
    BOOST_TEST(queue.size() == 90u);
}

BOOST_AUTO_TEST_CASE(serves_the_preferred_first)
{
    fair_queue queue({});
    queue.push(waiting("h", "heavy", request_class::interactive, 1));
    queue.push(waiting("l1", "light", request_class::batch, 900));
    queue.push(waiting("l2", "light", request_class::batch, 900));
    bool preferred = true;
    auto const filter = [&preferred](std::string const& organisation)
    {
        bool const light = organisation == "light";
        return fair_queue::allowance{request_class::batch, light && preferred};
    };
    BOOST_TEST(queue.pop(filter)->id == "l1");
    preferred = false;
    BOOST_TEST(queue.pop(filter)->id == "h");
    auto const nobody = [](std::string const&)
    {
        return fair_queue::allowance{};
    };
    BOOST_TEST(!queue.pop(nobody).has_value());
}

BOOST_AUTO_TEST_CASE(earns_no_credit_by_idling)
{
    fair_queue queue({});
    for (int i = 0; i < 100; ++i)
    {
        queue.push(waiting("b", "busy", request_class::standard, 1'000));
        queue.pop(request_class::batch);
    }
    for (int i = 0; i < 400; ++i)
    {
        queue.push(waiting("b", "busy", request_class::standard, 1'000));
        queue.push(waiting("i", "idle", request_class::standard, 1'000));
    }
    int busy = 0;
    for (int i = 0; i < 300; ++i)
    {
        busy += queue.pop(request_class::batch)->organisation == "busy";
    }
    BOOST_TEST(busy >= 149);
}

BOOST_AUTO_TEST_CASE(bounds_what_stale_news_of_other_vms_can_do)
{
    fair_queue_options options;
    options.max_lead = 5'000;
    fair_queue queue(options);
    for (int i = 0; i < 100; ++i)
    {
        queue.push(waiting("a", "a", request_class::standard, 1'000));
        queue.push(waiting("b", "b", request_class::standard, 1'000));
    }
    queue.add_served_elsewhere("a", 1'000'000'000);
    int before = 0;
    while (queue.pop(request_class::batch).value().organisation == "b")
    {
        ++before;
    }
    BOOST_TEST(before >= 4);
    BOOST_TEST(before <= 6);
}

BOOST_AUTO_TEST_CASE(makes_room_at_the_cost_of_the_largest)
{
    fair_queue_options options;
    options.max_requests = 10;
    fair_queue queue(options);
    for (int i = 0; i < 10; ++i)
    {
        queue.push(waiting(fmt::format("h{}", i), "heavy",
                           request_class::standard, 10));
    }
    auto const lost =
        queue.push(waiting("l", "light", request_class::standard, 10));
    BOOST_TEST_REQUIRE(lost.size() == 1u);
    BOOST_TEST(lost[0].id == "h9");
    auto const own =
        queue.push(waiting("h10", "heavy", request_class::standard, 10));
    BOOST_TEST_REQUIRE(own.size() == 1u);
    BOOST_TEST(own[0].id == "h10");
    queued_request huge = waiting("huge", "light", request_class::batch, 10);
    huge.bytes = options.max_bytes + 1;
    auto const too_big = queue.push(huge);
    BOOST_TEST_REQUIRE(too_big.size() == 1u);
    BOOST_TEST(too_big[0].id == "huge");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_concurrency_limit)

BOOST_AUTO_TEST_CASE(shrinks_once_per_congestion_and_grows_only_when_used)
{
    concurrency_limit limit({});
    std::uint32_t const first = limit.limit();
    for (int i = 0; i < 40; ++i)
    {
        limit.on_sample(start + milliseconds(i), start, true, first);
    }
    std::uint32_t const shrunk = limit.limit();
    BOOST_TEST(shrunk < first);
    BOOST_TEST(shrunk >= first * 8 / 10);
    time_point const later = start + seconds(1);
    for (int i = 0; i < 400; ++i)
    {
        limit.on_sample(later, later, false, shrunk / 2);
    }
    BOOST_TEST(limit.limit() == shrunk);
    for (int i = 0; i < 40; ++i)
    {
        limit.on_sample(later, later, false, shrunk);
    }
    BOOST_TEST(limit.limit() > shrunk);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission_of_requests)

BOOST_AUTO_TEST_CASE(runs_queues_and_releases)
{
    admission controller(options_with_limit(1));
    BOOST_TEST((controller.offer(start, asked("1", "a")).outcome ==
                admission_outcome::run_now));
    BOOST_TEST((controller.offer(start, asked("2", "a")).outcome ==
                admission_outcome::queued));
    BOOST_TEST(controller.release(start).run.empty());
    controller.on_end(start + milliseconds(100), "1", 100);
    controller.on_end(start + milliseconds(100), "1", 100); // repeated: ignored
    auto const released = controller.release(start + milliseconds(100));
    BOOST_TEST_REQUIRE(released.run.size() == 1u);
    BOOST_TEST(released.run[0] == "2");
    BOOST_TEST(!controller.abandon("2"));
    BOOST_TEST(controller.in_flight() == 1u);
}

BOOST_AUTO_TEST_CASE(refuses_at_once_what_would_wait_too_long)
{
    admission controller(options_with_limit(1));
    controller.offer(start, asked("0", "a"));
    controller.on_end(start + seconds(1), "0", 100); // 0.1 tokens a ms
    time_point const now = start + seconds(2);
    controller.offer(now, asked("1", "a"));
    controller.offer(now, asked("2", "a"));
    controller.offer(now, asked("3", "a"));
    auto const fourth = controller.offer(now, asked("4", "a"));
    BOOST_TEST((controller.offer(now, asked("5", "a")).outcome ==
                admission_outcome::refused));
    BOOST_TEST(controller.waiting() == 3u);
    admission_request hurried = asked("6", "b");
    hurried.deadline = now;
    auto const refused = controller.offer(now, hurried);
    BOOST_TEST_REQUIRE(refused.why.has_value());
    BOOST_TEST((refused.why->run == verdict::not_run));
    BOOST_TEST(refused.why->status == 429);
    BOOST_TEST((refused.why->retry_after > duration::zero()));
    BOOST_TEST((fourth.outcome == admission_outcome::queued));
}

BOOST_AUTO_TEST_CASE(answers_finally_what_waited_too_long)
{
    admission controller(options_with_limit(1));
    controller.offer(start, asked("1", "a"));
    controller.offer(start, asked("2", "a"));
    BOOST_TEST(controller.release(start + milliseconds(1'900)).refused.empty());
    auto const later = controller.release(start + milliseconds(2'000));
    BOOST_TEST_REQUIRE(later.refused.size() == 1u);
    BOOST_TEST(later.refused[0].id == "2");
    BOOST_TEST((later.refused[0].why.run == verdict::not_run));
    BOOST_TEST((later.refused[0].why.retry_after > duration::zero()));
}

// The interactive reserve follows the measured load of interactive requests:
// none without them, and at most max_interactive_reserve.
BOOST_AUTO_TEST_CASE(keeps_as_much_for_questions_as_they_need)
{
    auto const batches_beside = [](int questions_a_second)
    {
        admission_options options = options_with_limit(20);
        options.max_interactive_reserve = 0.25;
        admission controller(options);
        time_point now = start;
        for (int i = 0; i < 10 * questions_a_second; ++i)
        {
            request_id const id = fmt::format("q{}", i);
            now += milliseconds(1'000) / questions_a_second;
            controller.offer(now, asked(id, "a", request_class::interactive));
            controller.on_end(now + milliseconds(400), id, 100);
        }
        int running = 0;
        for (int i = 0; i < 30; ++i)
        {
            admission_request const draft =
                asked(fmt::format("d{}", i), "a", request_class::batch);
            running += controller.offer(now, draft).outcome ==
                               admission_outcome::run_now
                           ? 1
                           : 0;
        }
        return running;
    };
    BOOST_TEST(batches_beside(0) == 20);
    BOOST_TEST(batches_beside(2) < 20);
    BOOST_TEST(batches_beside(2) > 15);
    BOOST_TEST(batches_beside(100) == 15);
}

// An organisation that offers more than its share cannot use the headroom.
BOOST_AUTO_TEST_CASE(keeps_headroom_for_those_under_their_share)
{
    admission_options options = options_with_limit(20);
    options.fair_headroom = 0.2;
    admission controller(options);
    controller.offer(start, asked("l0", "light"));
    auto const run_now = [&](std::string const& id, std::string const& who)
    {
        return controller.offer(start, asked(id, who)).outcome ==
               admission_outcome::run_now;
    };
    int heavy = 0;
    for (int i = 0; i < 30; ++i)
    {
        heavy += run_now(fmt::format("h{}", i), "heavy") ? 1 : 0;
    }
    BOOST_TEST(heavy == 15); // and 1 of light: four fifths of 20
    int light = 0;
    for (int i = 1; i < 10; ++i)
    {
        light += run_now(fmt::format("l{}", i), "light") ? 1 : 0;
    }
    BOOST_TEST(light == 4);
    // An organisation that is alone may use the whole limit.
    admission other(options);
    int alone = 0;
    for (int i = 0; i < 30; ++i)
    {
        auto const result =
            other.offer(start, asked(fmt::format("h{}", i), "heavy"));
        alone += result.outcome == admission_outcome::run_now ? 1 : 0;
    }
    BOOST_TEST(alone == 20);
}

// Usage counts once, however reports are reordered, lost or repeated, and the
// counters of a restarted peer start again from 0.
BOOST_AUTO_TEST_CASE(merges_usage_of_peers_idempotently)
{
    auto const served_first = [](std::vector<usage_summary> const& heard)
    {
        admission controller(options_with_limit(1));
        controller.merge(start, {"peer", 1, 1, 0, {{"a", 0, 0}, {"b", 0, 0}}});
        controller.offer(start, asked("x", "x"));
        controller.offer(start, asked("a", "a"));
        controller.offer(start, asked("b", "b"));
        for (usage_summary const& summary : heard)
        {
            controller.merge(start, summary);
        }
        controller.on_end(start, "x", 100);
        return controller.release(start).run.at(0);
    };
    usage_summary const early{"peer", 1, 2, 0, {{"a", 500, 0}, {"b", 800, 0}}};
    usage_summary const late{"peer", 1, 3, 0, {{"a", 900, 0}, {"b", 800, 0}}};
    BOOST_TEST(served_first({early}) == "a");
    BOOST_TEST(served_first({early, late}) == "b");
    BOOST_TEST(served_first({late, early}) == "b");
    BOOST_TEST(served_first({early, early, early, late, late}) == "b");
    usage_summary const restarted{"peer", 2, 1, 0, {{"b", 400, 0}}};
    BOOST_TEST(served_first({late, restarted, early}) == "a");
}

// An organisation that is above its share at this VM, but not over all VMs, may
// use the headroom until the peers' reports are too old to count.
BOOST_AUTO_TEST_CASE(counts_what_peers_run_while_they_are_heard)
{
    admission_options options = options_with_limit(10);
    options.fair_headroom = 0.2;
    auto const runs_last = [&](time_point later)
    {
        admission controller(options);
        controller.offer(start, asked("h", "heavy"));
        controller.merge(
            start, {"peer", 1, 1, 10, {{"light", 0, 1}, {"heavy", 0, 9}}});
        for (int i = 0; i < 7; ++i)
        {
            controller.offer(start, asked(fmt::format("l{}", i), "light"));
        }
        controller.release(later);
        return controller.offer(later, asked("last", "light")).outcome ==
               admission_outcome::run_now;
    };
    BOOST_TEST(runs_last(start + seconds(1)));
    BOOST_TEST(!runs_last(start + seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
