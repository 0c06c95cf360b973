#include "core/keyed_follower.hpp"

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

keyed_record put(std::uint64_t offset, std::string key, std::string value)
{
    return {offset, std::move(key), std::move(value), 0};
}

keyed_record dropped(std::uint64_t offset, std::string key)
{
    return {offset, std::move(key), std::nullopt, 0};
}

struct followed
{
    followed() : follower(keyed_follower_options{}) {}

    // Answers a listing with `records` in a single page.
    void list(std::vector<keyed_record> records, std::uint64_t end)
    {
        auto const read = follower.next(now);
        BOOST_REQUIRE((read && read->is_listing));
        follower.on_page(now, {std::move(records), end, false});
        apply();
    }

    void read(std::vector<keyed_record> records)
    {
        auto const asked = follower.next(now);
        BOOST_REQUIRE((asked && !asked->is_listing));
        follower.on_records(now, {std::move(records), 0, false});
        apply();
    }

    void fail()
    {
        BOOST_REQUIRE(follower.next(now).has_value());
        follower.on_failure(now);
    }

    void apply()
    {
        for (keyed_change const& change : follower.take_changes(now))
        {
            if (change.value)
            {
                state[change.key] = *change.value;
            }
            else
            {
                state.erase(change.key);
            }
        }
    }

    keyed_follower follower;
    time_point now = start;
    std::map<std::string, std::string> state;
};

using contents = std::map<std::string, std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(a_follower_of_a_keyed_stream)

BOOST_AUTO_TEST_CASE(lists_by_pages_and_reads_on_from_before_the_first)
{
    followed f;
    auto const first = f.follower.next(f.now);
    BOOST_REQUIRE(first->is_listing);
    BOOST_TEST(!f.follower.next(f.now).has_value());
    f.follower.on_page(f.now, {{put(3, "a", "1")}, 5, true});
    BOOST_TEST(!f.follower.is_synced());
    auto const second = f.follower.next(f.now);
    BOOST_TEST(second->after_key == "a");
    f.follower.on_page(f.now, {{put(6, "b", "2")}, 7, false});
    BOOST_TEST(f.follower.is_synced());
    BOOST_TEST(f.follower.next(f.now)->from == 5u);
    f.follower.on_records(f.now, {{dropped(5, "a"), put(6, "b", "2")}, 7});
    f.apply();
    BOOST_TEST((f.state == contents{{"b", "2"}}));
}

BOOST_AUTO_TEST_CASE(
    lists_anew_when_records_are_gone_and_reports_the_difference)
{
    followed f;
    f.list({put(0, "a", "1"), put(1, "b", "1")}, 2);
    BOOST_REQUIRE(f.follower.next(f.now).has_value());
    f.follower.on_trimmed(f.now);
    f.list({put(7, "b", "2"), put(8, "c", "1")}, 9);
    BOOST_TEST((f.state == contents{{"b", "2"}, {"c", "1"}}));
    BOOST_TEST(f.follower.next(f.now)->from == 9u);
}

BOOST_AUTO_TEST_CASE(tries_again_less_and_less_often_while_the_log_fails)
{
    followed f;
    duration last{};
    for (int i = 0; i < 6; ++i)
    {
        f.fail();
        BOOST_TEST(!f.follower.reachable());
        time_point const failed = f.now;
        while (!f.follower.next(f.now))
        {
            f.now += milliseconds(10);
        }
        BOOST_TEST((f.now - failed >= last));
        last = f.now - failed;
        f.follower.on_failure(f.now);
        f.now += seconds(1);
    }
    BOOST_TEST((last <= seconds(1)));
}

BOOST_AUTO_TEST_SUITE(when_a_key_disappears)

BOOST_AUTO_TEST_CASE(reports_it_at_once_while_the_log_is_well)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.read({dropped(1, "a")});
    BOOST_TEST(f.state.empty());
}

BOOST_AUTO_TEST_CASE(waits_after_an_outage_until_its_writer_had_time_to_return)
{
    followed f;
    f.list({put(0, "a", "1"), put(1, "b", "1")}, 2);
    f.fail();
    f.now += seconds(5);
    f.read({dropped(2, "a"), dropped(3, "b")});
    BOOST_TEST(f.state.size() == 2u);
    f.now += seconds(1);
    f.read({put(4, "a", "2")});
    f.now += milliseconds(1'300);
    f.apply();
    BOOST_TEST((f.state == contents{{"a", "2"}}));
}

BOOST_AUTO_TEST_CASE(keeps_it_while_the_log_fails_again)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.fail();
    f.now += seconds(1);
    f.read({dropped(1, "a")});
    f.fail();
    f.now += seconds(5);
    f.apply();
    BOOST_TEST(f.state.size() == 1u);
    f.read({});
    BOOST_TEST(f.state.empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(while_peers_read_the_stream)

BOOST_AUTO_TEST_CASE(reads_only_now_and_then)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    int reads = 0;
    for (time_point const end = f.now + seconds(60); f.now < end;
         f.now += milliseconds(400))
    {
        f.follower.on_peer_report(f.now, milliseconds(100), 7, false);
        if (f.follower.next(f.now))
        {
            ++reads;
            f.follower.on_records(f.now, {{}, 1, false});
        }
    }
    BOOST_TEST(reads <= 3);
}

BOOST_AUTO_TEST_CASE(reads_at_once_if_it_is_behind)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.follower.on_peer_report(f.now, milliseconds(0), 7, false);
    BOOST_TEST(!f.follower.next(f.now).has_value());
    f.follower.on_peer_report(f.now, milliseconds(0), 7, true);
    f.read({put(1, "b", "2")});
    BOOST_TEST(f.state["b"] == "2");
}

BOOST_AUTO_TEST_CASE(reads_again_once_they_fall_silent_or_stop_reading)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.follower.on_peer_report(f.now, milliseconds(0), 7, false);
    f.now += milliseconds(1'400);
    BOOST_TEST(!f.follower.next(f.now).has_value());
    f.follower.on_peer_report(f.now, milliseconds(1'600), 7, false);
    f.now += milliseconds(200);
    BOOST_TEST(f.follower.next(f.now).has_value());
}

BOOST_AUTO_TEST_CASE(heeds_the_newest_report_only)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    for (int i = 0; i < 3; ++i)
    {
        f.now += milliseconds(200);
        f.follower.on_peer_report(f.now, milliseconds(0), 7, true);
        // A partitioned peer lacks the same records, so its older report
        // says that this VM is not behind.
        f.follower.on_peer_report(f.now, milliseconds(700 + 200 * i), 7, false);
    }
    BOOST_TEST(f.follower.next(f.now).has_value());
}

BOOST_AUTO_TEST_CASE(waits_for_the_records_while_the_reports_change)
{
    keyed_follower_options options;
    options.peer_record_grace = milliseconds(300);
    keyed_follower follower(options);
    BOOST_REQUIRE(follower.next(start).has_value());
    follower.on_page(start, {{}, 1, false});
    time_point now = start;
    for (std::uint64_t end = 1; end < 5; ++end)
    {
        now += milliseconds(200);
        follower.on_peer_report(now, milliseconds(0), end, true);
        BOOST_TEST(!follower.next(now).has_value());
    }
    now += milliseconds(300);
    follower.on_peer_report(now, milliseconds(0), 4, true);
    BOOST_TEST(follower.next(now).has_value());
}

// A forwarded record was lost, and other keys change with every report.
BOOST_AUTO_TEST_CASE(reads_although_the_reports_keep_changing)
{
    keyed_follower_options options;
    options.peer_record_grace = milliseconds(300);
    options.max_behind = milliseconds(700);
    keyed_follower follower(options);
    BOOST_REQUIRE(follower.next(start).has_value());
    follower.on_page(start, {{}, 1, false});
    bool reads = false;
    for (int passed = 0; passed <= 800; passed += 200)
    {
        time_point const now = start + milliseconds(passed);
        auto const state = static_cast<std::uint64_t>(passed);
        follower.on_peer_report(now, milliseconds(0), state, true);
        reads = follower.next(now).has_value();
    }
    BOOST_TEST(reads);
}

BOOST_AUTO_TEST_CASE(is_not_behind_once_all_records_were_passed_on)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.follower.on_peer_record(put(1, "b", "2"));
    f.follower.on_peer_record(put(2, "c", "3"));
    BOOST_TEST(f.follower.position() == 3u);
    f.follower.on_peer_record(put(5, "d", "4"));
    BOOST_TEST(f.follower.position() == 3u);
}

BOOST_AUTO_TEST_CASE(takes_records_that_they_pass_on_in_the_order_of_offsets)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.follower.on_peer_record(put(3, "b", "2"));
    f.follower.on_peer_record(dropped(5, "b"));
    f.follower.on_peer_record(put(4, "b", "late"));
    f.apply();
    BOOST_TEST(!f.state.contains("b"));
    f.follower.on_peer_record(put(6, "a", "3"));
    f.read({put(2, "a", "2"), put(6, "a", "3")});
    BOOST_TEST(f.state["a"] == "3");
}

// Otherwise two VMs that read for each other would forward the same record to
// each other forever.
BOOST_AUTO_TEST_CASE(takes_a_record_that_it_has_already_for_no_news)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.read({put(1, "b", "2")});
    f.follower.on_peer_record(put(1, "b", "2"));
    f.follower.on_peer_record(put(2, "c", "3"));
    BOOST_TEST(f.follower.take_changes(f.now).size() == 1u);
    f.follower.on_peer_record(put(2, "c", "3"));
    BOOST_TEST(f.follower.take_changes(f.now).empty());
}

BOOST_AUTO_TEST_CASE(keeps_a_record_that_is_newer_than_the_list)
{
    followed f;
    f.list({put(0, "a", "1")}, 1);
    f.follower.on_trimmed(f.now);
    auto const read = f.follower.next(f.now);
    BOOST_REQUIRE((read && read->is_listing));
    f.follower.on_peer_record(put(9, "b", "2"));
    f.follower.on_page(f.now, {{put(0, "a", "1")}, 8, false});
    f.apply();
    BOOST_TEST(f.state["b"] == "2");
}

BOOST_AUTO_TEST_SUITE_END()

// The log lost its last records; their offsets are given out again.
BOOST_AUTO_TEST_SUITE(when_the_log_comes_back_from_an_older_copy)

keyed_batch in_era(std::uint64_t era, std::vector<keyed_record> records,
                   std::uint64_t end)
{
    return {std::move(records), end, false, era};
}

// A follower that has read up to offset 10 in era 1: a = new, b = 1.
struct before_the_loss : followed
{
    before_the_loss()
    {
        BOOST_REQUIRE(follower.next(now).has_value());
        follower.on_page(now,
                         in_era(1, {put(3, "a", "old"), put(4, "b", "1")}, 5));
        now += seconds(1);
        BOOST_REQUIRE(follower.next(now).has_value());
        follower.on_records(now, in_era(1, {put(9, "a", "new")}, 10));
        apply();
        now += seconds(1);
    }

    // An answer of the new era to a read, then the listing.
    void come_back(std::vector<keyed_record> records, std::uint64_t end)
    {
        BOOST_REQUIRE(follower.next(now).has_value());
        follower.on_records(now, in_era(2, {}, end));
        auto const read = follower.next(now);
        BOOST_REQUIRE((read && read->is_listing));
        follower.on_page(now, in_era(2, std::move(records), end));
        apply();
    }
};

BOOST_AUTO_TEST_CASE(takes_records_with_lower_offsets_than_before)
{
    before_the_loss f;
    f.come_back({put(3, "a", "old"), put(4, "b", "1")}, 5);
    BOOST_TEST(f.follower.position() == 5u);
    f.now += seconds(1);
    BOOST_REQUIRE(f.follower.next(f.now).has_value());
    f.follower.on_records(f.now, in_era(2, {put(5, "a", "again")}, 6));
    f.apply();
    BOOST_TEST(f.state["a"] == "again");
}

BOOST_AUTO_TEST_CASE(reads_on_though_the_answer_was_that_records_are_gone)
{
    before_the_loss f;
    BOOST_REQUIRE(f.follower.next(f.now).has_value());
    f.follower.on_trimmed(f.now);
    auto const read = f.follower.next(f.now);
    BOOST_REQUIRE((read && read->is_listing));
    f.follower.on_page(f.now, in_era(2, {put(4, "a", "older")}, 5));
    f.apply();
    BOOST_TEST(f.state["a"] == "older");
}

BOOST_AUTO_TEST_CASE(removes_a_key_only_if_it_is_not_written_again)
{
    before_the_loss f;
    f.come_back({put(3, "a", "old")}, 4);
    BOOST_TEST(f.state.contains("b"));
    f.now += milliseconds(2'300);
    f.apply();
    BOOST_TEST(!f.state.contains("b"));
}

BOOST_AUTO_TEST_CASE(heeds_no_late_answer_and_no_peer_of_the_time_before)
{
    before_the_loss f;
    f.come_back({put(3, "a", "old"), put(4, "b", "1")}, 5);
    f.follower.on_peer_record({9, "a", "new", 1});
    f.follower.on_peer_report(f.now, milliseconds(0), 10, true, 1);
    f.now += seconds(1);
    BOOST_REQUIRE(f.follower.next(f.now).has_value());
    f.follower.on_records(f.now, in_era(1, {put(9, "a", "new")}, 10));
    f.apply();
    BOOST_TEST(f.state["a"] == "old");
    BOOST_TEST(f.follower.position() == 5u);
}

BOOST_AUTO_TEST_CASE(lists_at_once_when_a_peer_has_seen_the_new_era)
{
    before_the_loss f;
    f.follower.on_peer_report(f.now, milliseconds(0), 10, false, 1);
    BOOST_TEST(!f.follower.next(f.now).has_value());
    f.follower.on_peer_record({5, "a", "again", 2});
    auto const read = f.follower.next(f.now);
    BOOST_TEST((read && read->is_listing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
