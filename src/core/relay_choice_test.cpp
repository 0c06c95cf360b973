#include "core/relay_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(5'000'000);

membership_options own()
{
    membership_options options;
    options.vm = "own";
    options.address = "10.0.0.1:1";
    return options;
}

membership four_vms()
{
    membership members(own());
    members.apply_vm_list(start, {{"a", "10.0.0.2:1", "near"},
                                  {"b", "10.0.0.3:1", "far"},
                                  {"c", "10.0.0.4:1", "far"}});
    return members;
}

relay_choice near_first()
{
    return relay_choice({.failure_domain = "near"});
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_choice_of_a_relay)

BOOST_AUTO_TEST_CASE(is_a_vm_of_the_same_domain_among_equals)
{
    membership const members = four_vms();
    relay_choice relays = near_first();
    BOOST_TEST(relays.choose(start, members).value() == "a");
    BOOST_TEST(relays.choose(start, members).value() == "a");
}

BOOST_AUTO_TEST_CASE(spreads_what_is_in_progress)
{
    membership const members = four_vms();
    relay_choice relays = near_first();
    std::map<std::string, int> counts;
    for (int i = 0; i < 30; ++i)
    {
        std::string const vm = *relays.choose(start, members);
        relays.on_sent(vm);
        ++counts[vm];
    }
    BOOST_TEST(counts["a"] == 10);
    BOOST_TEST(counts["b"] == 10);
    BOOST_TEST(counts["c"] == 10);
    relays.on_end("b");
    BOOST_TEST(relays.choose(start, members).value() == "b");
}

BOOST_AUTO_TEST_CASE(leaves_out_one_that_declined_for_a_time)
{
    membership const members = four_vms();
    relay_choice relays = near_first();
    relays.on_unfit(start, "a");
    BOOST_TEST(relays.choose(start, members).value() != "a");
    BOOST_TEST((relays.next_fit(start) == start + seconds(1)));
    BOOST_TEST(relays.choose(start + seconds(1), members).value() == "a");
}

BOOST_AUTO_TEST_CASE(leaves_out_one_that_says_it_is_partitioned_until_it_is_not)
{
    membership const members = four_vms();
    relay_choice relays = near_first();
    relays.on_told(start, "a", true);
    BOOST_TEST(relays.choose(start, members).value() != "a");
    relays.on_told(start + milliseconds(300), "a", false);
    BOOST_TEST(relays.choose(start + milliseconds(300), members).value() ==
               "a");
}

BOOST_AUTO_TEST_CASE(is_none_if_no_vm_is_fit_or_known)
{
    membership const members = four_vms();
    relay_choice relays = near_first();
    for (char const* const vm : {"a", "b", "c"})
    {
        relays.on_unfit(start, vm);
    }
    BOOST_TEST(!relays.choose(start, members));
    membership const alone(own());
    BOOST_TEST(!near_first().choose(start, alone));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
