#include "core/evacuation_table.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

domain_evacuation evacuated(std::uint64_t era, std::uint64_t offset,
                            std::string const& domain = "asan")
{
    return {domain, true, era, offset};
}

domain_evacuation restored(std::uint64_t era, std::uint64_t offset,
                           std::string const& domain = "asan")
{
    return {domain, false, era, offset};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_table_of_evacuated_domains)

BOOST_AUTO_TEST_SUITE(that_reads_the_store)

// Guards against a state that is told again and logged or acted on twice.
BOOST_AUTO_TEST_CASE(tells_each_change_once)
{
    evacuation_table table;
    BOOST_TEST(!table.apply(restored(0, 3)));
    BOOST_TEST(table.apply(evacuated(0, 5)));
    BOOST_TEST(!table.apply(evacuated(0, 5)));
    BOOST_TEST(table.is_evacuated("asan"));
    BOOST_TEST(table.apply(restored(0, 9)));
    BOOST_TEST(!table.is_evacuated("asan"));
}

// Guards against an older record that undoes a later one.
BOOST_AUTO_TEST_CASE(ignores_a_record_older_than_the_known_one)
{
    evacuation_table table;
    table.apply(evacuated(0, 5));
    table.apply(restored(0, 9));
    BOOST_TEST(!table.apply(evacuated(0, 5)));
    BOOST_TEST(!table.is_evacuated("asan"));
    table.apply(evacuated(0, 12));
    BOOST_TEST(!table.apply(restored(0, 9)));
    BOOST_TEST(table.is_evacuated("asan"));
}

// Guards against a domain that stays evacuated because its record was found
// missing after an outage, which is told with the record's own offset.
BOOST_AUTO_TEST_CASE(restores_a_domain_whose_record_is_missing)
{
    evacuation_table table;
    table.apply(evacuated(0, 6)); // the record at 5
    BOOST_TEST(table.apply(restored(0, 5)));
    BOOST_TEST(!table.merge(evacuated(0, 6)));
    BOOST_TEST(!table.is_evacuated("asan"));
}

// Guards against a removal that was read late and hides a later evacuation
// that a peer has told.
BOOST_AUTO_TEST_CASE(keeps_a_later_evacuation_that_a_peer_has_told)
{
    evacuation_table table;
    table.apply(evacuated(0, 6));
    table.merge(evacuated(0, 20));
    BOOST_TEST(!table.apply(restored(0, 9)));
    BOOST_TEST(table.is_evacuated("asan"));
}

// Guards against offsets of different eras being compared: the store has come
// back from an older copy and gives offsets out again.
BOOST_AUTO_TEST_CASE(takes_a_lower_offset_of_a_later_era)
{
    evacuation_table table;
    table.apply(evacuated(1, 500));
    BOOST_TEST(table.apply(restored(2, 0)));
    BOOST_TEST(!table.apply(evacuated(1, 900)));
    BOOST_TEST(table.apply(evacuated(2, 7)));
    BOOST_TEST(table.is_evacuated("asan"));
}

// Guards against one domain's record that changes another domain.
BOOST_AUTO_TEST_CASE(keeps_two_evacuations_apart)
{
    evacuation_table table;
    table.apply(evacuated(0, 5, "asan"));
    table.apply(evacuated(0, 6, "patan"));
    BOOST_TEST(table.evacuated_count() == 2u);
    table.apply(restored(0, 9, "asan"));
    BOOST_TEST(!table.is_evacuated("asan"));
    BOOST_TEST(table.is_evacuated("patan"));
    BOOST_TEST(table.evacuated_count() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_hears_peers)

// Guards against VMs that disagree because their messages came in other orders,
// twice or not at all.
BOOST_AUTO_TEST_CASE(agrees_with_others_whatever_the_order)
{
    std::vector<domain_evacuation> heard{evacuated(0, 5), restored(0, 9),
                                         evacuated(0, 9), evacuated(1, 3),
                                         restored(1, 3)};
    std::mt19937 random(1);
    for (int round = 0; round < 100; ++round)
    {
        std::ranges::shuffle(heard, random);
        evacuation_table table;
        for (domain_evacuation const& each : heard)
        {
            table.merge(each);
            table.merge(heard.front());
        }
        BOOST_TEST(!table.is_evacuated("asan"));
    }
}

// Guards against a peer without the store that repeats an evacuation whose
// records are all deleted by now.
BOOST_AUTO_TEST_CASE(ignores_what_it_has_read_past_itself)
{
    evacuation_table table;
    table.on_read_up_to({0, 30});
    BOOST_TEST(!table.merge(evacuated(0, 6)));
    BOOST_TEST(!table.is_evacuated("asan"));
    BOOST_TEST(table.merge(evacuated(0, 31)));
}

// Guards against an evacuation learned from a peer while the store was away
// that is never taken back: the store does not have it any more.
BOOST_AUTO_TEST_CASE(drops_what_the_store_does_not_have)
{
    evacuation_table table;
    table.merge(evacuated(0, 6, "asan"));
    table.merge(evacuated(0, 8, "patan"));
    table.merge(evacuated(0, 40, "thimi"));
    table.apply(evacuated(0, 8, "patan"));
    BOOST_TEST(table.on_read_up_to({0, 30}) == std::vector<std::string>{"asan"},
               boost::test_tools::per_element());
    BOOST_TEST(!table.is_evacuated("asan"));
    BOOST_TEST(table.is_evacuated("patan"));
    BOOST_TEST(table.is_evacuated("thimi"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
