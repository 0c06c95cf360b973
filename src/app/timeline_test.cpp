#include "app/timeline.hpp"

#include <boost/test/unit_test.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

using namespace amarantharch;

namespace
{

std::vector<timeline_entry> entries_of(timeline const& one)
{
    return {one.entries().begin(), one.entries().end()};
}

std::vector<std::string> kinds_of(std::vector<timeline_entry> const& entries)
{
    std::vector<std::string> kinds;
    kinds.reserve(entries.size());
    for (timeline_entry const& entry : entries)
    {
        kinds.push_back(entry.kind);
    }
    return kinds;
}

// Two VMs of which the second's clock is 5 s behind, and a message from the
// first to the second and back.
struct two_vms
{
    timeline first{"vm-1", 1 << 20};
    timeline second{"vm-2", 1 << 20};

    two_vms()
    {
        time_point const here = from_micros(10'000'000);
        time_point const there = from_micros(5'000'000);
        first.record(here, "sent", "r", "");
        second.observe(there, first.stamp(here));
        second.record(there, "received", "r", "from=vm-1");
        first.observe(here, second.stamp(there));
        first.record(here, "acknowledged", "r", "");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_time_line)

BOOST_FIXTURE_TEST_CASE(puts_causes_first_although_clocks_differ, two_vms)
{
    auto const merged =
        merge_timelines({entries_of(second), entries_of(first)});
    std::vector<std::string> const expected{"sent", "received", "acknowledged"};
    BOOST_TEST(kinds_of(merged) == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(survives_its_own_json, two_vms)
{
    auto const entries = entries_of(second);
    auto const read = timeline_from_json(timeline_as_json(entries));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == entries));
}

BOOST_AUTO_TEST_CASE(survives_text_that_needs_escapes)
{
    timeline one("vm \"1\"\n", 1 << 20);
    one.record(from_micros(1), "kind", "r\\1", "a=\"\t\"");
    auto const read = timeline_from_json(timeline_as_json(entries_of(one)));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == entries_of(one)));
}

BOOST_AUTO_TEST_CASE(refuses_what_is_not_one)
{
    BOOST_TEST(!timeline_from_json("").ok());
    BOOST_TEST(!timeline_from_json("{}").ok());
    BOOST_TEST(!timeline_from_json("[1]").ok());
    BOOST_TEST(timeline_from_json(R"({"entries":[]})").ok());
}

BOOST_AUTO_TEST_CASE(keeps_its_budget_by_dropping_the_oldest)
{
    timeline one("vm-1", 4 * (sizeof(timeline_entry) + 5));
    for (int i = 0; i < 10; ++i)
    {
        one.record(from_micros(i), std::to_string(i), "", "");
    }
    BOOST_TEST(one.entries().size() == 4U);
    BOOST_TEST(one.entries().front().kind == "6");
    BOOST_TEST(one.dropped() == 6U);
}

BOOST_FIXTURE_TEST_CASE(prints_one_line_an_entry, two_vms)
{
    BOOST_TEST(timeline_as_text(entries_of(second)) ==
               "10000000.003 vm-2 received request=r from=vm-1\n");
}

BOOST_FIXTURE_TEST_CASE(makes_a_trace_with_a_track_per_vm, two_vms)
{
    std::string const text = timeline_as_trace(
        merge_timelines({entries_of(first), entries_of(second)}));
    auto const trace = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    QJsonArray const events = trace.object().value("traceEvents").toArray();
    auto const count = [&](char const* phase)
    {
        return std::count_if(
            events.begin(), events.end(),
            [&](auto const& event)
            { return event.toObject().value("ph") == QLatin1String(phase); });
    };
    BOOST_TEST(count("M") == 2); // tracks
    BOOST_TEST(count("i") == 3); // entries
    BOOST_TEST(count("b") == 2); // spans of the request
    BOOST_TEST(count("e") == 2);
}

BOOST_AUTO_TEST_SUITE(whose_clock)

BOOST_AUTO_TEST_CASE(grows_although_time_goes_back)
{
    hybrid_clock clock;
    hybrid_time const before = clock.tick(from_micros(100));
    BOOST_TEST((before < clock.tick(from_micros(50))));
}

BOOST_AUTO_TEST_CASE(ignores_a_time_far_in_the_future)
{
    hybrid_clock clock;
    time_point const now = from_micros(100);
    hybrid_time const absurd{to_micros(now + 2 * max_clock_skew), 0};
    BOOST_TEST(!clock.observe(now, absurd));
    BOOST_TEST((clock.last() < absurd));
    BOOST_TEST(clock.observe(now, {to_micros(now + max_clock_skew), 7}));
    BOOST_TEST(
        (clock.last() == hybrid_time{to_micros(now + max_clock_skew), 8}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
