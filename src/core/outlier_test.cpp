#include "core/outlier.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace amarantharch
{

namespace
{

using std::chrono::seconds;

time_point const start = from_micros(5'000'000);

upstream_table fleet_of(int count)
{
    upstream_table table;
    for (int i = 0; i < count; ++i)
    {
        upstream_profile profile;
        profile.name = fmt::format("u{}", i);
        profile.service = std::string("desk");
        table.put(profile);
    }
    return table;
}

bool fail(outlier_detector& detector, time_point now, upstream_index upstream,
          upstream_table& table)
{
    bool ejected = false;
    for (int i = 0; i < 5; ++i)
    {
        ejected |= detector.on_result(now, upstream, false, table);
    }
    return ejected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(outliers)

BOOST_AUTO_TEST_CASE(are_ejected_after_failures_in_a_row_and_come_back)
{
    upstream_table table = fleet_of(10);
    outlier_detector detector({});
    for (int i = 0; i < 40; ++i)
    {
        BOOST_TEST(!detector.on_result(start, 0, i % 5 == 0, table));
    }
    BOOST_TEST(fail(detector, start, 0, table));
    BOOST_TEST(!table.row(0).takes_work(start + seconds(4)));
    BOOST_TEST(table.row(0).takes_work(start + seconds(5)));
    BOOST_TEST(fail(detector, start + seconds(6), 0, table));
    BOOST_TEST(!table.row(0).takes_work(start + seconds(15)));
    BOOST_TEST(table.row(0).takes_work(start + seconds(16)));
}

BOOST_AUTO_TEST_CASE(are_kept_at_the_floor)
{
    upstream_table table = fleet_of(10);
    outlier_detector detector({});
    int ejected = 0;
    for (upstream_index i = 0; i < 10; ++i)
    {
        ejected += fail(detector, start, i, table) ? 1 : 0;
    }
    BOOST_TEST(ejected == 3);
    // Upstreams that are leaving count as inactive too.
    upstream_table leaving = fleet_of(10);
    for (int i = 0; i < 3; ++i)
    {
        leaving.mark_leaving(fmt::format("u{}", i), 0);
    }
    BOOST_TEST(!fail(detector, start, 9, leaving));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
