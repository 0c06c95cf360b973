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
