#include "core/load_sharing.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>
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

// The fields of an upstream_load before the work time and the memory.
struct older_load
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::int64_t age_us = 0;
    MSGPACK_DEFINE(upstream, running, waiting, age_us)
};

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

// Guards against a newest work time that hides the slow moments between two
// messages, and against a load that clears what it does not state.
BOOST_AUTO_TEST_CASE(are_merged_with_the_mean_of_the_stated_work_times)
{
    load_sharing loads;
    upstream_report first{start - milliseconds(300), 3, 1, 0};
    first.work = {start - milliseconds(300), 250, 250, 1};
    first.memory = {start - milliseconds(300), 400, 1'000};
    upstream_report second{start - milliseconds(100), 4, 0, 0};
    second.work = {start - milliseconds(100), 100, 100, 2};
    upstream_report const without{start - milliseconds(50), 5, 0, 0};
    loads.add_report("engine0", first);
    loads.add_report("engine0", second);
    loads.add_report("engine0", without);
    auto const sent = loads.take_due_loads(start);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent.front().running == 5u);
    BOOST_TEST(sent.front().age_us == 50'000);
    BOOST_TEST(sent.front().work_percent == 100u);
    BOOST_TEST(sent.front().mean_work_percent == 150u);
    BOOST_TEST(sent.front().work_values == 3u);
    BOOST_TEST(sent.front().work_age_us == 100'000);
    BOOST_TEST(sent.front().memory_used == 400u);
    BOOST_TEST(sent.front().memory_age_us == 300'000);
}

BOOST_AUTO_TEST_CASE(are_the_same_in_any_order)
{
    upstream_report older{start, 3, 1, 0};
    older.work = {start, 250, 250, 1};
    older.memory = {start, 400, 1'000};
    upstream_report newer{start + seconds(1), 4, 0, 0};
    newer.work = {start + seconds(1), 100, 100, 1};
    newer.memory = {start + seconds(1), 600, 1'000};
    upstream_report merged = older;
    merge_report(merged, newer);
    upstream_report reversed = newer;
    merge_report(reversed, older);
    auto const now = start + seconds(2);
    BOOST_TEST(load_of(now, "engine0", merged).running == 4u);
    BOOST_TEST(load_of(now, "engine0", reversed).running == 4u);
    BOOST_TEST(reversed.work->newest_percent == 100u);
    BOOST_TEST(reversed.work->mean_percent == 175u);
    BOOST_TEST(merged.work->mean_percent == 175u);
    BOOST_TEST(reversed.memory->used == 600u);
    BOOST_TEST(merged.memory->used == 600u);
}

// Guards against engines whose memory is never read because answers to callers'
// requests tell their load.
BOOST_AUTO_TEST_CASE(are_read_for_the_memory_of_engines_in_use)
{
    for (bool const reports_memory : {false, true})
    {
        load_sharing loads;
        auto const table = table_of(1);
        int reads = 0;
        for (time_point now = start; now < start + seconds(20);
             now += milliseconds(50))
        {
            loads.add_report("engine0", {now, 3, 1, 0});
            if (loads.take_due_engines(now, table).empty())
            {
                continue;
            }
            ++reads;
            upstream_report read{now, 3, 1, 0};
            if (reports_memory)
            {
                read.memory = {now, 400, 1'000};
            }
            loads.add_report("engine0", read);
        }
        BOOST_TEST(reads == (reports_memory ? 10 : 1));
    }
}

// Guards against a fleet in which old and new builds do not understand each
// other's loads while it is upgraded.
BOOST_AUTO_TEST_CASE(are_understood_by_builds_without_the_work_time)
{
    upstream_report report{start - milliseconds(50), 5, 2, 0};
    report.work = {start - milliseconds(100), 160, 150, 3};
    report.memory = {start - milliseconds(200), 400, 1'000};
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, load_of(start, "engine0", report));
    auto const read_by_older = msgpack::unpack(bytes.data(), bytes.size());
    auto const old_view = read_by_older.get().as<older_load>();
    BOOST_TEST(old_view.upstream == "engine0");
    BOOST_TEST(old_view.running == 5u);
    BOOST_TEST(old_view.age_us == 50'000);
    auto const read_by_newer = msgpack::unpack(bytes.data(), bytes.size());
    auto const same = report_of(start, read_by_newer.get().as<upstream_load>());
    BOOST_REQUIRE(same.work.has_value());
    BOOST_TEST(same.work->newest_percent == 160u);
    BOOST_TEST(same.work->mean_percent == 150u);
    BOOST_TEST((same.work->measured_at == report.work->measured_at));
    BOOST_TEST((same.memory->measured_at == report.memory->measured_at));

    msgpack::sbuffer old_bytes;
    msgpack::pack(old_bytes, old_view);
    auto const of_older = msgpack::unpack(old_bytes.data(), old_bytes.size());
    auto const load = of_older.get().as<upstream_load>();
    BOOST_TEST(load.waiting == 2u);
    BOOST_TEST(!report_of(start, load).work.has_value());
    BOOST_TEST(!report_of(start, load).memory.has_value());
}

BOOST_AUTO_TEST_CASE(have_no_work_time_out_of_bounds)
{
    upstream_load load;
    load.work_percent = 100;
    load.mean_work_percent = 0;
    load.work_values = 4'294'967'295u;
    BOOST_TEST(!report_of(start, load).work.has_value());
    load.mean_work_percent = 100;
    load.work_age_us = std::numeric_limits<std::int64_t>::min();
    BOOST_TEST((report_of(start, load).work->measured_at == start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
