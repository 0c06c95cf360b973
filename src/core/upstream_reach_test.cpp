#include "core/upstream_reach.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <functional>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(5'000'000);

upstream_table upstreams(int count)
{
    upstream_table table;
    for (int i = 0; i < count; ++i)
    {
        upstream_profile profile;
        profile.name = fmt::format("u{}", i);
        profile.service = i % 4 == 0 ? "desk" : "drafts";
        table.put(profile);
    }
    return table;
}

// Makes the connections of a round; those that `accepts` holds for succeed.
// Returns their number.
std::size_t play_round(upstream_reach& reach, time_point now,
                       upstream_table const& table,
                       std::function<bool(upstream_index)> const& accepts)
{
    auto const due = reach.take_due_checks(now, table);
    for (upstream_index const each : due)
    {
        reach.on_checked(now + milliseconds(2), each, accepts(each));
    }
    return due.size();
}

bool none(upstream_index)
{
    return false;
}

bool all(upstream_index)
{
    return true;
}

upstream_reach partitioned_from(upstream_table const& table)
{
    upstream_reach reach({});
    reach.doubt(start);
    play_round(reach, start, table, none);
    BOOST_TEST_REQUIRE(reach.partitioned());
    return reach;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_reach_of_upstreams)

BOOST_AUTO_TEST_SUITE(is_doubted)

BOOST_AUTO_TEST_CASE(once_connections_to_two_upstreams_have_failed)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach({});
    reach.on_connection_failed(start, 1);
    reach.on_connection_failed(start + milliseconds(10), 1);
    BOOST_TEST(!reach.in_doubt());
    BOOST_TEST(reach.take_due_checks(start, table).empty());
    reach.on_connection_failed(start + milliseconds(20), 2);
    BOOST_TEST(reach.in_doubt());
    auto const checked = reach.take_due_checks(start, table);
    BOOST_TEST(checked.size() == 4u);
    for (upstream_index const each : checked)
    {
        BOOST_TEST((each != 1 && each != 2));
    }
}

BOOST_AUTO_TEST_CASE(not_for_failures_far_apart)
{
    upstream_reach reach({});
    reach.on_connection_failed(start, 1);
    reach.on_connection_failed(start + seconds(3), 2);
    BOOST_TEST(!reach.in_doubt());
}

BOOST_AUTO_TEST_CASE(by_failed_checks_that_it_has_not_asked_for)
{
    upstream_reach reach({});
    reach.on_checked(start, 1, false);
    reach.on_checked(start, 2, false);
    BOOST_TEST(reach.in_doubt());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_settled_by_a_round)

BOOST_AUTO_TEST_CASE(in_which_others_accept_and_the_failed_are_at_fault)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach({});
    reach.on_connection_failed(start, 1);
    reach.on_connection_failed(start, 2);
    play_round(reach, start, table, all);
    BOOST_TEST(!reach.in_doubt());
    BOOST_TEST(!reach.partitioned());
    BOOST_TEST(reach.reaches(1));
}

BOOST_AUTO_TEST_CASE(in_which_half_of_them_accept)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach({});
    reach.doubt(start);
    std::size_t turn = 0;
    play_round(reach, start, table,
               [&](upstream_index) { return turn++ % 2 == 0; });
    BOOST_TEST(!reach.partitioned());
}

BOOST_AUTO_TEST_CASE(in_which_most_fail)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach({});
    reach.doubt(start);
    upstream_index accepting = 0;
    std::size_t turn = 0;
    play_round(reach, start, table,
               [&](upstream_index each)
               {
                   accepting = turn == 0 ? each : accepting;
                   return turn++ == 0;
               });
    BOOST_TEST(reach.partitioned());
    BOOST_TEST((reach.partitioned_since() == start));
    BOOST_TEST(!reach.reaches((accepting + 1) % 20));
}

BOOST_AUTO_TEST_CASE(whose_connections_get_no_answer)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach({});
    reach.doubt(start);
    BOOST_TEST(reach.take_due_checks(start, table).size() == 4u);
    reach.take_due_checks(start + milliseconds(500), table);
    BOOST_TEST(!reach.partitioned());
    reach.take_due_checks(start + milliseconds(600), table);
    BOOST_TEST(reach.partitioned());
}

// One upstream cannot tell its own fault from a partition.
BOOST_AUTO_TEST_CASE(but_not_if_there_is_one_upstream)
{
    upstream_table const table = upstreams(1);
    upstream_reach reach({});
    reach.doubt(start);
    play_round(reach, start, table, none);
    BOOST_TEST(!reach.partitioned());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_partitioned)

BOOST_AUTO_TEST_CASE(comes_back_for_each_upstream_that_accepts)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach = partitioned_from(table);
    BOOST_TEST(!reach.reaches(7));
    reach.on_checked(start, 7, true);
    BOOST_TEST(reach.reaches(7));
    BOOST_TEST(reach.partitioned());
    reach.on_connection_failed(start, 7);
    BOOST_TEST(!reach.reaches(7));
}

BOOST_AUTO_TEST_CASE(comes_back_whole_with_a_round_in_which_all_accept)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach = partitioned_from(table);
    BOOST_TEST(play_round(reach, start + milliseconds(100), table, all) == 0u);
    BOOST_TEST(play_round(reach, start + milliseconds(500), table, none) == 4u);
    BOOST_TEST(reach.partitioned());
    BOOST_TEST(play_round(reach, start + seconds(1), table, all) == 4u);
    BOOST_TEST(!reach.partitioned());
    BOOST_TEST(reach.reaches(7));
}

BOOST_AUTO_TEST_CASE(is_confirmed_by_what_others_reach_and_this_vm_does_not)
{
    upstream_table const table = upstreams(20);
    upstream_reach reach = partitioned_from(table);
    reach.on_checked(start, 7, true);
    reach.on_reached_by_others(7);
    BOOST_TEST(!reach.confirmed());
    reach.on_connection_failed(start, 8);
    reach.on_reached_by_others(8);
    BOOST_TEST(reach.confirmed());
    play_round(reach, start + seconds(1), table, all);
    BOOST_TEST(!reach.confirmed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
