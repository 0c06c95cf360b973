#include "core/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

namespace amarantharch
{

namespace
{

upstream_listed entry(std::uint64_t incarnation, bool leaving = false)
{
    upstream_listed listed;
    listed.upstream.name = "i-1";
    listed.upstream.address = "10.0.0.1:80";
    listed.incarnation = incarnation;
    listed.leaving = leaving;
    return listed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_upstream_directory)

BOOST_AUTO_TEST_CASE(tells_news_from_heartbeats)
{
    upstream_directory directory;
    BOOST_TEST(directory.put(entry(1), 1));
    BOOST_TEST(!directory.put(entry(1), 2));
    BOOST_TEST(directory.put(entry(1, true), 3));
    BOOST_TEST(directory.put(entry(2), 1));
}

BOOST_AUTO_TEST_SUITE(of_cold_upstreams)

upstream_listed cold_entry(duration cold_for)
{
    upstream_listed listed = entry(1);
    listed.cold_for = cold_for;
    return listed;
}

// Guards against an upstream whose turning cold is taken for a heartbeat, and
// against news with each heartbeat of a cold one.
BOOST_AUTO_TEST_CASE(tells_that_they_turn_cold_or_warm_and_no_more)
{
    using std::chrono::seconds;
    upstream_directory directory;
    directory.put(entry(1), 1);
    BOOST_TEST(directory.put(cold_entry(seconds(8)), 2));
    BOOST_TEST(!directory.put(cold_entry(seconds(7)), 3));
    BOOST_TEST(!directory.put(cold_entry(seconds(1)), 4));
    BOOST_TEST(directory.put(cold_entry(seconds(8)), 5)); // cold anew
    BOOST_TEST(directory.put(cold_entry(seconds(0)), 6));
    BOOST_TEST(!directory.put(cold_entry(seconds(0)), 7));
}

// Guards against a VM that has missed that an upstream turned cold and does not
// read it, and against reads for each change of the remaining time.
BOOST_AUTO_TEST_CASE(has_another_digest_if_they_are_cold_and_no_other_by_time)
{
    using std::chrono::seconds;
    upstream_directory warm;
    upstream_directory cold;
    upstream_directory later;
    warm.put(entry(1), 1);
    cold.put(cold_entry(seconds(8)), 1);
    later.put(cold_entry(seconds(3)), 4);
    BOOST_TEST(warm.digest() != cold.digest());
    BOOST_TEST(cold.digest() == later.digest());
    cold.put(entry(1), 9);
    BOOST_TEST(warm.digest() == cold.digest());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(drops_entries_that_come_late)
{
    upstream_directory directory;
    directory.put(entry(2, true), 5);
    BOOST_TEST(!directory.put(entry(2), 4));
    BOOST_TEST(!directory.put(entry(1), 9));
}

BOOST_AUTO_TEST_CASE(forgets_what_is_removed)
{
    upstream_directory directory;
    directory.put(entry(2), 5);
    BOOST_TEST(directory.remove("i-1"));
    BOOST_TEST(!directory.remove("i-1"));
    BOOST_TEST(directory.put(entry(2), 6));
}

BOOST_AUTO_TEST_CASE(has_the_digest_of_what_it_says)
{
    upstream_directory one;
    upstream_directory other;
    upstream_listed second = entry(1);
    second.upstream.name = "i-2";
    one.put(entry(1), 1);
    one.put(second, 1);
    other.put(second, 9);
    BOOST_TEST(one.digest() != other.digest());
    other.put(entry(1), 4);
    BOOST_TEST(one.digest() == other.digest());
    one.put(entry(1, true), 5);
    BOOST_TEST(one.digest() != other.digest());
    other.put(entry(1, true), 6);
    BOOST_TEST(one.digest() == other.digest());
    one.remove("i-2");
    BOOST_TEST(one.digest() != other.digest());
    one.remove("i-1");
    BOOST_TEST(one.digest() == upstream_directory().digest());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
