#include "core/prefix_cache.hpp"
#include "core/routing.hpp"
#include "core/upstream_table.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

upstream_profile engine(std::string name, std::string version = "1")
{
    upstream_profile profile;
    profile.name = std::move(name);
    profile.service = std::string("drafting");
    profile.version = std::move(version);
    return profile;
}

upstream_table fleet_of(int count)
{
    upstream_table table;
    for (int i = 0; i < count; ++i)
    {
        table.put(engine(fmt::format("engine-{}", i)));
    }
    return table;
}

request_features draft(std::string const& prompt)
{
    request_features what;
    what.service = std::string("drafting");
    what.prefix = hash_prefix(prompt);
    what.prompt_tokens =
        static_cast<std::uint32_t>(prompt.size() / bytes_per_token);
    return what;
}

std::string prompt_of(char letter, std::size_t blocks)
{
    return std::string(blocks * tokens_per_block * bytes_per_token, letter);
}

router router_with(routing_strategy strategy)
{
    routing_options options;
    options.strategy = strategy;
    return router(options);
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_SUITE(an_upstream_that_leaves)

BOOST_AUTO_TEST_CASE(gets_no_new_work_under_any_strategy)
{
    for (auto const& strategy : routing_strategy_names)
    {
        BOOST_TEST_CONTEXT(strategy.name)
        {
            upstream_table table = fleet_of(3);
            router chooser = router_with(strategy.value);
            table.mark_leaving("engine-0", 0);
            table.mark_quarantined("engine-1", 0);
            for (int i = 0; i < 50; ++i)
            {
                auto const picked =
                    chooser.choose(start, draft(prompt_of('a', 3)), table, {});
                BOOST_TEST_REQUIRE(picked.has_value());
                BOOST_TEST(table.row(picked->upstream).profile.name ==
                           "engine-2");
            }
            table.row(2).ejected_until = start + seconds(1);
            BOOST_TEST(
                !chooser.choose(start, draft("short"), table, {}).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(stays_so_within_its_incarnation)
{
    upstream_table table = fleet_of(1);
    BOOST_TEST(table.mark_leaving("engine-0", 0));
    BOOST_TEST(!table.mark_leaving("engine-0", 0)); // repeated
    table.put(engine("engine-0"), 0);               // from an old list
    BOOST_TEST(!table.row(0).takes_work(start));
    table.put(engine("engine-0"), 2);
    BOOST_TEST(table.row(0).takes_work(start));
    BOOST_TEST(!table.mark_leaving("engine-0", 1)); // of its predecessor
    BOOST_TEST(table.row(0).takes_work(start));
}

BOOST_AUTO_TEST_CASE(keeps_its_index_while_work_is_in_flight)
{
    upstream_table table = fleet_of(1);
    table.row(0).in_flight = 1;
    BOOST_TEST(table.remove("engine-0", 0));
    BOOST_TEST(table.put(engine("engine-1")) == 1u);
    table.row(0).in_flight = 0;
    BOOST_TEST(table.put(engine("engine-2")) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_CASE(goes_only_to_its_version_and_not_to_exclusions)
{
    upstream_table table = fleet_of(2);
    upstream_index const newer = table.put(engine("engine-new", "2"));
    router chooser = router_with(routing_strategy::predicted);
    request_features what = draft("short");
    what.version = std::string("2");
    BOOST_TEST(chooser.choose(start, what, table, {})->upstream == newer);
    BOOST_TEST(!chooser.choose(start, what, table, {newer}).has_value());
    what.version = std::string("3");
    BOOST_TEST(!chooser.choose(start, what, table, {}).has_value());
}

BOOST_AUTO_TEST_CASE(follows_its_prefix_until_the_upstream_is_loaded)
{
    upstream_table table = fleet_of(4);
    router chooser = router_with(routing_strategy::predicted);
    request_features const what = draft(prompt_of('m', 40));
    auto const first = chooser.choose(start, what, table, {});
    chooser.on_sent(start, 1, what, *first, table);
    chooser.on_first_token(1, 0);
    chooser.on_end(start, 1, table);
    auto const second = chooser.choose(start, what, table, {});
    BOOST_TEST(second->upstream == first->upstream);
    BOOST_TEST(second->predicted_cached_tokens == what.prompt_tokens);
    upstream_report busy{start, 16, 20, 100'000};
    chooser.on_report(first->upstream, busy, table);
    auto const third = chooser.choose(start, what, table, {});
    BOOST_TEST(third->upstream != first->upstream);
}

BOOST_AUTO_TEST_CASE(finds_the_same_home_from_every_vm)
{
    upstream_table const table = fleet_of(100);
    request_features const what = draft(prompt_of('q', 20));
    routing_options options;
    router one(options);
    options.seed = 99;
    router other(options);
    BOOST_TEST(one.choose(start, what, table, {})->upstream ==
               other.choose(start, what, table, {})->upstream);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_of_one_subject)

BOOST_AUTO_TEST_CASE(gather_at_the_same_engine_from_every_vm)
{
    upstream_table const table = fleet_of(18);
    int alike = 0;
    for (std::uint64_t subject = 2; subject < 102; ++subject)
    {
        std::vector<prompt_part> const parts{
            {1, 512}, {subject, 4'800}, {1'000 + subject, 1'200}};
        request_features what;
        what.service = std::string("drafting");
        what.prefix = hash_prompt_parts(parts);
        what.affinity_key = shared_prefix_hash(parts, what.prefix);
        what.prompt_tokens = 6'512;
        std::vector<upstream_index> chosen;
        for (std::uint64_t const seed : {1u, 2u, 3u})
        {
            routing_options options;
            options.seed = seed;
            router one(options);
            chosen.push_back(
                one.choose(from_micros(1'000'000), what, table, {})->upstream);
        }
        alike += chosen[0] == chosen[1] && chosen[1] == chosen[2] ? 1 : 0;
    }
    BOOST_TEST(alike == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstreams_that_state_their_work_time)

// Three engines at 60, 100 and 160 percent, stated for a minute.
struct uneven_fleet
{
    explicit uneven_fleet(std::uint64_t seed = 1)
        : table(fleet_of(3)), chooser(options_for(seed))
    {
        for (int i = 0; i < 200; ++i)
        {
            state(start + milliseconds(300) * i);
        }
    }

    static routing_options options_for(std::uint64_t seed)
    {
        routing_options options;
        options.seed = seed;
        return options;
    }

    void state(time_point at)
    {
        std::uint32_t const percents[] = {60, 100, 160};
        for (upstream_index i = 0; i < 3; ++i)
        {
            upstream_report report{at, 2, 0, 0};
            report.work = {at, percents[i], percents[i], 1};
            chooser.on_report(i, report, table);
        }
        now = at;
    }

    // How many of 100 requests of so many tokens would go to each engine.
    std::array<int, 3> choices(std::uint32_t tokens, milliseconds target)
    {
        request_features what = draft("");
        what.prompt_tokens = tokens;
        what.latency_target = target;
        std::array<int, 3> count{};
        for (int i = 0; i < 100; ++i)
        {
            ++count.at(chooser.choose(now, what, table, {})->upstream);
        }
        return count;
    }

    upstream_table table;
    router chooser;
    time_point now;
};

// Guards against large prompts that miss their target at slow engines, and
// small ones that take the time of the fast ones without need.
BOOST_AUTO_TEST_CASE(run_large_prompts_if_fast_and_small_ones_else)
{
    uneven_fleet fleet;
    // 10 tokens a ms: 1,300 ms as usual, 780 at the fast engine.
    BOOST_TEST(fleet.choices(13'000, milliseconds(1'000))[0] >= 90);
    auto const small = fleet.choices(500, milliseconds(1'000));
    BOOST_TEST(small[0] <= 60);
    BOOST_TEST(small[1] + small[2] >= 40);
}

BOOST_AUTO_TEST_CASE(are_avoided_in_a_slow_moment_and_not_after_it)
{
    uneven_fleet fleet;
    upstream_report report{fleet.now + milliseconds(50), 2, 0, 0};
    report.work = {report.measured_at, 150, 150, 1};
    fleet.chooser.on_report(0, report, fleet.table);
    fleet.now = report.measured_at;
    BOOST_TEST(fleet.choices(9'000, milliseconds(1'000))[0] <= 10);
    fleet.now += milliseconds(1'500);
    BOOST_TEST(fleet.choices(9'000, milliseconds(1'000))[0] >= 50);
}

BOOST_AUTO_TEST_CASE(are_forgotten_with_their_incarnation)
{
    uneven_fleet fleet;
    BOOST_TEST(fleet.chooser.speed().lasting(fleet.now, 2) > 1.4);
    BOOST_TEST(fleet.chooser.speeds(fleet.now, fleet.table).highest > 1.4);
    fleet.chooser.on_upstream_reset(2);
    BOOST_TEST(fleet.chooser.speed().lasting(fleet.now, 2) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_engine_without_free_memory)

upstream_report report_with_memory(time_point at, std::uint64_t used)
{
    upstream_report report{at, 1, 0, 0};
    report.memory = {at, used, 10'000};
    return report;
}

// Guards against prompts that an engine has to preempt others for.
BOOST_AUTO_TEST_CASE(is_passed_over_while_another_has_room)
{
    upstream_table table = fleet_of(2);
    router chooser = router_with(routing_strategy::predicted);
    request_features what = draft("");
    what.prompt_tokens = 3'000;
    what.expected_output = 500;
    chooser.on_report(0, report_with_memory(start, 7'000), table);
    chooser.on_report(1, report_with_memory(start, 1'000), table);
    BOOST_TEST(chooser.choose(start, what, table, {})->upstream == 1u);
    // What was sent since the report takes memory too.
    chooser.on_sent(start + milliseconds(1), 1, what, {1, 0, 0}, table);
    chooser.on_sent(start + milliseconds(2), 2, what, {1, 0, 0}, table);
    chooser.on_report(0, report_with_memory(start + milliseconds(3), 5'000),
                      table);
    BOOST_TEST(
        chooser.choose(start + milliseconds(4), what, table, {})->upstream ==
        0u);
    // A load without memory figures changes nothing.
    chooser.on_report(0, {start + milliseconds(5), 1, 0, 0}, table);
    BOOST_TEST(
        chooser.choose(start + milliseconds(6), what, table, {})->upstream ==
        0u);
}

// Guards against requests that are refused because of a figure.
BOOST_AUTO_TEST_CASE(takes_requests_if_no_other_has_room_or_its_report_is_old)
{
    upstream_table table = fleet_of(2);
    router chooser = router_with(routing_strategy::predicted);
    request_features what = draft("");
    what.prompt_tokens = 3'000;
    chooser.on_report(0, report_with_memory(start, 9'000), table);
    BOOST_TEST(chooser.choose(start, what, table, {})->upstream == 1u);
    BOOST_TEST(chooser.choose(start, what, table, {1})->upstream == 0u);
    chooser.on_report(1, report_with_memory(start, 9'000), table);
    BOOST_TEST(chooser.choose(start, what, table, {}).has_value());
    chooser.on_report(0, {start + seconds(59), 0, 0, 0}, table);
    chooser.on_report(1, {start + seconds(59), 16, 9, 0}, table);
    BOOST_TEST(chooser.choose(start + seconds(60), what, table, {})->upstream ==
               0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_lagging_report)

BOOST_AUTO_TEST_CASE(is_corrected_for_what_was_sent_and_done_since)
{
    upstream_table table = fleet_of(1);
    router chooser = router_with(routing_strategy::predicted);
    request_features what = draft("");
    what.prompt_tokens = 1'000;
    auto const send = [&](time_point at, attempt_id attempt)
    {
        chooser.on_sent(at, attempt, what, choice{}, table);
    };
    send(start, 1);
    send(start + milliseconds(60), 2);
    chooser.on_report(0, {start + milliseconds(50), 1, 1, 3'000}, table);
    // 3000 reported and 1000 sent since, less 10 a ms processed in 50 ms.
    BOOST_TEST(chooser.queued_tokens(start + milliseconds(100), 0,
                                     table.row(0)) == 3'500);
    // An older report that arrives later changes nothing.
    chooser.on_report(0, {start, 0, 0, 0}, table);
    BOOST_TEST(chooser.queued_tokens(start + milliseconds(100), 0,
                                     table.row(0)) == 3'500);
    // Never below the tokens of this VM that await a first token.
    BOOST_TEST(chooser.queued_tokens(start + seconds(10), 0, table.row(0)) ==
               2'000);
    chooser.on_end(start, 1, table);
    chooser.on_end(start, 1, table); // a repeated end is ignored
    chooser.on_end(start, 2, table);
    BOOST_TEST(chooser.queued_tokens(start + seconds(10), 0, table.row(0)) ==
               0);
    BOOST_TEST(table.row(0).in_flight == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_model_of_caches)

BOOST_AUTO_TEST_CASE(shares_prefixes_and_nothing_after_a_difference)
{
    std::string const common = prompt_of('x', 5);
    auto const a = hash_prefix(common + prompt_of('a', 2));
    auto const b = hash_prefix(common + prompt_of('b', 2) + "tail");
    prefix_cache cache;
    cache.on_sent(3, a);
    BOOST_TEST(cache.predicted_blocks(3, a) == 7u);
    BOOST_TEST(cache.predicted_blocks(3, b) == 5u);
    BOOST_TEST(cache.predicted_blocks(2, a) == 0u);
}

BOOST_AUTO_TEST_CASE(knows_prompts_by_their_parts)
{
    std::vector<prompt_part> const a{{1, 100}, {2, 640}, {3, 200}};
    std::vector<prompt_part> const b{{1, 100}, {2, 640}, {4, 64}};
    std::vector<prompt_part> const c{{1, 100}, {5, 640}, {3, 200}};
    prefix_cache cache;
    cache.on_sent(0, hash_prompt_parts(a));
    BOOST_TEST(cache.predicted_blocks(0, hash_prompt_parts(a)) ==
               16u); // 2 + 10 + 4
    BOOST_TEST(cache.predicted_blocks(0, hash_prompt_parts(b)) == 12u);
    BOOST_TEST(cache.predicted_blocks(0, hash_prompt_parts(c)) == 2u);
    BOOST_TEST(shared_prefix_hash(a, hash_prompt_parts(a)) ==
               shared_prefix_hash(b, hash_prompt_parts(b)));
    BOOST_TEST(shared_prefix_hash(a, hash_prompt_parts(a)) !=
               shared_prefix_hash(c, hash_prompt_parts(c)));
    BOOST_TEST(shared_prefix_hash({{1, 100}}, hash_prompt_parts({{1, 100}})) ==
               0u);
    BOOST_TEST(shared_prefix_hash({}, {}) == 0u);
}

BOOST_AUTO_TEST_CASE(stays_in_its_budgets_and_evicts_ends_of_old_prefixes)
{
    prefix_cache cache(12);
    cache.set_capacity(0, 8);
    auto const a = hash_prefix(prompt_of('a', 5));
    auto const b = hash_prefix(prompt_of('b', 5));
    cache.on_sent(0, a);
    cache.on_sent(0, b);
    BOOST_TEST(cache.blocks() == 8u);
    BOOST_TEST(cache.predicted_blocks(0, b) == 5u);
    BOOST_TEST(cache.predicted_blocks(0, a) == 3u);
    cache.on_sent(1, a);
    cache.on_sent(1, b);
    BOOST_TEST(cache.blocks() == 12u);
    BOOST_TEST(cache.predicted_blocks(1, b) == 5u);
    cache.forget(1);
    BOOST_TEST(cache.predicted_blocks(1, b) == 0u);
}

BOOST_AUTO_TEST_CASE(takes_late_events_and_doubts_itself_after_a_gap)
{
    prefix_cache cache;
    auto const a = hash_prefix(prompt_of('a', 4));
    cache.on_events(0, {1, a, {}});
    BOOST_TEST(cache.predicted_blocks(0, a) == 4u);
    cache.on_events(0, {2, {}, {a[3]}});
    BOOST_TEST(cache.predicted_blocks(0, a) == 3u);
    BOOST_TEST(cache.confidence(0) == 1);
    cache.on_events(0, {5, {}, {}});
    BOOST_TEST(cache.confidence(0) < 1);
    double const doubted = cache.confidence(0);
    cache.on_reported(0, 4, 4);
    BOOST_TEST(cache.confidence(0) > doubted);
    cache.on_reported(0, 4, 0);
    cache.on_reported(0, 4, 0);
    BOOST_TEST(cache.confidence(0) < doubted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
