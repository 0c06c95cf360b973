#include "core/load_sharing.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

upstream_table table_of(std::uint32_t engines)
{
    upstream_table table;
    for (std::uint32_t i = 0; i < engines; ++i)
    {
        upstream_profile profile;
        profile.name = "engine" + std::to_string(i);
        profile.service = "pool";
        profile.kind = upstream_kind::engine;
        table.put(profile);
    }
    upstream_profile plain;
    plain.name = "desk";
    plain.service = "desk";
    plain.kind = upstream_kind::plain; // never polled
    table.put(plain);
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_loads_that_are_read_for_others)

BOOST_AUTO_TEST_CASE(are_those_of_each_engine_once_in_an_interval)
{
    load_sharing loads;
    auto const table = table_of(40);
    std::map<upstream_index, int> reads;
    std::size_t most_due = 0;
    for (time_point now = start; now < start + seconds(5);
         now += milliseconds(50))
    {
        auto const due = loads.take_due_engines(now, table);
        most_due = std::max(most_due, due.size());
        for (upstream_index const i : due)
        {
            ++reads[i];
        }
    }
    BOOST_TEST(reads.size() == 40u);
    for (auto const& [engine, count] : reads)
    {
        BOOST_TEST(count >= 4);
        BOOST_TEST(count <= 5);
    }
    BOOST_TEST(most_due <= load_sharing_options().max_reads_at_once);
}

BOOST_AUTO_TEST_CASE(are_not_those_of_engines_that_leave)
{
    load_sharing loads;
    auto table = table_of(1);
    table.mark_leaving("engine0", 0);
    for (int i = 0; i < 50; ++i)
    {
        BOOST_TEST(loads.take_due_engines(start + milliseconds(100) * i, table)
                       .empty());
    }
}

BOOST_AUTO_TEST_CASE(are_told_once_with_their_age)
{
    load_sharing loads;
    loads.add_report("engine0", {start - milliseconds(200), 3, 1, 0});
    auto const sent = loads.take_due_loads(start);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent.front().running == 3u);
    BOOST_TEST(sent.front().age_us == 200'000);
    BOOST_TEST(loads.take_due_loads(start + seconds(1)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
