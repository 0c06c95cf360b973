#include "core/site.hpp"

#include "core/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

BOOST_AUTO_TEST_SUITE(the_tables_of_a_site)

BOOST_AUTO_TEST_CASE(match_the_longest_prefix)
{
    routing_tables tables;
    tables.routes.resize(2);
    tables.routes[0].prefix = std::string("/");
    tables.routes[1].prefix = std::string("/claims");
    BOOST_TEST(match_route(tables, "/claims/7") == &tables.routes[1]);
    BOOST_TEST(match_route(tables, "/other") == &tables.routes[0]);
    tables.routes.erase(tables.routes.begin());
    BOOST_TEST(match_route(tables, "/other") == nullptr);
}

BOOST_AUTO_TEST_CASE(know_organisations_by_the_digest_of_their_key)
{
    routing_tables tables;
    BOOST_TEST((identify_organisation(tables, "") == std::string()));
    organisation_spec ward;
    ward.name = std::string("ward");
    ward.key_digest = std::string("aa");
    tables.organisations = {ward, organisation_spec{}};
    BOOST_TEST((identify_organisation(tables, "aa") == std::string("ward")));
    BOOST_TEST(!identify_organisation(tables, "ab").has_value());
    BOOST_TEST(!identify_organisation(tables, "").has_value());
}

BOOST_AUTO_TEST_CASE(admit_to_a_route_whom_its_selector_selects)
{
    auto const compiled = compile(
        parse_configuration("[organisation ward]\nlabel.tier = gold\n"
                            "[organisation canton]\n"
                            "[service desk]\n"
                            "[route gold]\npath = /gold\nservice = desk\n"
                            "organisations = tier=gold\n"
                            "[route all]\npath = /all\nservice = desk\n")
            .sections);
    BOOST_REQUIRE(compiled.faults.empty());
    routing_tables const tables = routing_tables_of(compiled.tables);
    route_spec const& gold = *match_route(tables, "/gold");
    BOOST_TEST(admits(gold, "ward"));
    BOOST_TEST(!admits(gold, "canton"));
    route_spec const& all = *match_route(tables, "/all");
    BOOST_TEST(admits(all, "ward"));
    BOOST_TEST(admits(all, "canton"));
}

BOOST_AUTO_TEST_SUITE_END()
