#include "core/usage_windows.hpp"

#include <boost/test/unit_test.hpp>

namespace amarantharch
{

namespace
{

using std::chrono::seconds;

duration const length = seconds(5);
time_point const start = from_micros(1'000'000'000); // of window 200

} // namespace

BOOST_AUTO_TEST_SUITE(usage_by_windows)

BOOST_AUTO_TEST_CASE(counts_each_request_in_the_window_it_began_in)
{
    usage_windows usage(length);
    BOOST_TEST(usage.window_at(start) == 200);
    BOOST_TEST((usage.end_of(200) == start + length));
    usage.on_request_started(start, "a");
    usage.on_request_started(start + seconds(4), "a");
    usage.on_request_started(start + seconds(5), "a");
    BOOST_TEST(usage.total(200)["a"] == 2u);
    BOOST_TEST(usage.total(201)["a"] == 1u);
}

BOOST_AUTO_TEST_CASE(sums_what_peers_say_whatever_is_lost_or_repeated)
{
    usage_windows here(length);
    usage_windows there(length);
    here.on_request_started(start, "a");
    there.on_request_started(start, "a");
    auto const early = there.report(start, "there", 1);
    there.on_request_started(start + seconds(1), "a");
    auto const late = there.report(start + seconds(1), "there", 1);
    for (auto const* report : {&late, &early, &late})
    {
        for (window_counts const& row : *report)
        {
            here.merge(start + seconds(1), row);
        }
    }
    BOOST_TEST(here.total(200)["a"] == 3u);
}

BOOST_AUTO_TEST_CASE(counts_a_vm_that_started_again_beside_its_predecessor)
{
    usage_windows here(length);
    here.merge(start, {"there", 1, 200, {{"a", 4}}});
    here.merge(start, {"there", 2, 200, {{"a", 3}}});
    BOOST_TEST(here.total(200)["a"] == 7u);
}

// Guards against counts of one process that are recorded as another's.
BOOST_AUTO_TEST_CASE(names_the_process_of_each_count)
{
    usage_windows usage(length);
    usage.on_request_started(start, "a");
    usage.merge(start, {"there", 1, 200, {{"a", 4}}});
    usage.merge(start, {"there", 2, 200, {{"a", 3}}});
    auto const rows = usage.by_process(200, "here", 9);
    BOOST_REQUIRE(rows.size() == 3u);
    BOOST_TEST(rows[0].vm == "here");
    BOOST_TEST(rows[0].incarnation == 9u);
    BOOST_TEST(rows[0].counts.at("a") == 1u);
    BOOST_TEST(rows[1].incarnation == 1u);
    BOOST_TEST(rows[1].counts.at("a") == 4u);
    BOOST_TEST(rows[2].counts.at("a") == 3u);
    BOOST_TEST(usage.by_process(201, "here", 9).empty());
}

BOOST_AUTO_TEST_CASE(forgets_old_windows)
{
    usage_windows usage(length);
    usage.on_request_started(start, "a");
    usage.on_request_started(start + length * 7, "a");
    BOOST_TEST(usage.total(200).empty());
    usage.merge(start + length * 7, {"there", 1, 200, {{"a", 1}}});
    BOOST_TEST(usage.total(200).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
