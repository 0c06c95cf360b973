#include "core/gossip.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace amarantharch;

namespace
{

time_point const start = from_micros(1'000'000'000);

soft_row row(soft_kind kind, std::string origin, std::int64_t version,
             std::int64_t value)
{
    return {{kind, "subject", std::move(origin)},
            to_micros(start) + version,
            value};
}

using versions_and_values = std::vector<std::pair<std::int64_t, std::int64_t>>;

versions_and_values content_of(soft_state const& state, soft_kind kind)
{
    versions_and_values all;
    state.visit(kind, "subject",
                [&](soft_row const& r)
                { all.emplace_back(r.version, r.value); });
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(soft_state_rows)

BOOST_AUTO_TEST_CASE(merge_to_the_same_in_every_order_and_repetition)
{
    for (auto const& rule : soft_kinds)
    {
        auto const origin = rule.scope == soft_scope::origin ? "vm-2" : "";
        std::vector<soft_row> rows;
        for (std::int64_t version : {1, 2})
        {
            for (std::int64_t value : {5, 6})
            {
                rows.push_back(row(rule.value, origin, version, value));
            }
        }
        std::vector<std::size_t> order{0, 1, 2, 3, 0, 3};
        std::ranges::sort(order);
        std::optional<versions_and_values> expected;
        do
        {
            soft_state state({"vm-1"});
            for (auto const i : order)
            {
                state.merge(start, rows[i]);
            }
            auto const found = content_of(state, rule.value);
            BOOST_REQUIRE_EQUAL(found.size(), 1U);
            if (!expected)
            {
                expected = found;
            }
            BOOST_CHECK(found == *expected);
        } while (std::ranges::next_permutation(order).found);
    }
}

BOOST_AUTO_TEST_CASE(of_a_maximum_never_go_back)
{
    soft_state state({"vm-1"});
    BOOST_CHECK(state.set(start, soft_kind::quarantine, "f", 3));
    BOOST_CHECK(!state.set(start, soft_kind::quarantine, "f", 2));
    BOOST_CHECK(!state.merge(
        start, {{soft_kind::quarantine, "f", ""}, to_micros(start) + 9, 1}));
    BOOST_CHECK_EQUAL(*state.value(soft_kind::quarantine, "f"), 3);
}

BOOST_AUTO_TEST_CASE(are_summed_over_their_origins)
{
    soft_state state({"vm-1"});
    state.set(start, soft_kind::organisation_usage, "subject", 10);
    state.merge(start, row(soft_kind::organisation_usage, "vm-2", 0, 5));
    BOOST_CHECK_EQUAL(state.sum(soft_kind::organisation_usage, "subject"), 15);
    state.forget_origin("vm-2");
    BOOST_CHECK_EQUAL(state.sum(soft_kind::organisation_usage, "subject"), 10);
}

BOOST_AUTO_TEST_CASE(are_forgotten_after_their_lifetime)
{
    soft_state state({"vm-1"});
    for (int i = 0; i < 500; ++i)
    {
        state.set(start, soft_kind::upstream_load, std::to_string(i), i);
    }
    auto const later = start + std::chrono::minutes(2);
    for (int i = 0; i < 20; ++i)
    {
        state.expire(later);
    }
    BOOST_CHECK_EQUAL(state.size(), 0U);
    BOOST_CHECK(state.take_pending(10000, 5, false).empty());
    BOOST_CHECK(
        !state.merge(later, row(soft_kind::upstream_load, "vm-2", 0, 1)));
}

BOOST_AUTO_TEST_CASE(are_refused_beyond_the_limit_or_if_senseless)
{
    soft_state state({"vm-1", 2});
    auto const kind = soft_kind::upstream_load;
    BOOST_CHECK(state.set(start, kind, "a", 1));
    BOOST_CHECK(state.set(start, kind, "b", 1));
    BOOST_CHECK(!state.set(start, kind, "c", 1));
    BOOST_CHECK(state.set(start, kind, "b", 2));
    BOOST_CHECK_EQUAL(state.refused_rows(), 1U);
    BOOST_CHECK(!state.merge(start, row(soft_kind(200), "vm-2", 0, 1)));
    BOOST_CHECK(!state.merge(start, row(kind, "", 0, 1)));
    BOOST_CHECK(!state.merge(start, row(kind, "vm-2", 1'000'000'000, 1)));
}

BOOST_AUTO_TEST_SUITE(when_sent)

BOOST_AUTO_TEST_CASE(go_urgent_first_within_the_bytes_and_a_number_of_times)
{
    soft_state state({"vm-1"});
    state.set(start, soft_kind::upstream_load, "calm", 1);
    state.set(start, soft_kind::quarantine, "urgent", 1);
    BOOST_CHECK(state.has_urgent());
    auto const first = state.take_pending(50, 2, false);
    BOOST_REQUIRE_EQUAL(first.size(), 1U);
    BOOST_CHECK(first[0].key.kind == soft_kind::quarantine);
    BOOST_CHECK_EQUAL(state.take_pending(1000, 2, true).size(), 1U);
    BOOST_CHECK(!state.has_urgent());
    BOOST_CHECK_EQUAL(state.take_pending(1000, 2, false).size(), 1U);
    BOOST_CHECK_EQUAL(state.take_pending(1000, 2, false).size(), 1U);
    BOOST_CHECK(state.take_pending(1000, 2, false).empty());
}

BOOST_AUTO_TEST_CASE(are_all_covered_by_the_repair_walk)
{
    soft_state state({"vm-1"});
    for (int i = 0; i < 50; ++i)
    {
        state.set(start, soft_kind::upstream_load, std::to_string(i), i);
    }
    std::set<std::string> seen;
    for (int i = 0; i < 12; ++i)
    {
        for (auto const& r : state.take_anti_entropy(200))
        {
            BOOST_CHECK_LE(encoded_size(r), 200U);
            seen.insert(r.key.subject);
        }
    }
    BOOST_CHECK_EQUAL(seen.size(), 50U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
