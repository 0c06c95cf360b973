#include "core/configuration.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace amarantharch;

namespace
{

std::string const whole_text = R"([organisation ward-office]
weight = 2
key_digest = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
label.tier = gold
[organisation canton]
[service drafts]
kind = engine
first_token_ms = 700
[service desk]
idempotent = no
repeat_window_ms = 60000
[route claims]
path = /claims
service = desk
[route drafts]
path = /v1
service = drafts
organisations = tier=gold
priority = 7
[upstream d1]
address = 10.0.0.1:80
service = drafts
version = v1
failure_domain = asan
[upstream d2]
address = 10.0.0.2:80
service = drafts
version = v2
failure_domain = patan
[upstream desk1]
address = [::1]:80
service = desk
failure_domain = asan
[move drafts-v2]
select = service=drafts and zone in (asan, patan)
from = v1
to = v2
deadline_us = 1800000000000000
[limits]
body_bytes = 1000
)";

std::vector<std::string> faults_of(std::string const& text)
{
    auto parsed = parse_configuration(text);
    auto compiled = compile(parsed.sections);
    parsed.faults.insert(parsed.faults.end(), compiled.faults.begin(),
                         compiled.faults.end());
    std::vector<std::string> out;
    for (auto const& fault : parsed.faults)
    {
        out.push_back(to_string(fault));
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_configuration_text)

BOOST_AUTO_TEST_CASE(becomes_typed_tables)
{
    auto const compiled = compile(parse_configuration(whole_text).sections);
    BOOST_REQUIRE(compiled.faults.empty());
    auto const& tables = compiled.tables;
    BOOST_CHECK_EQUAL(tables.organisations[1].weight, 2);
    BOOST_CHECK_EQUAL(tables.services[0].name, "desk");
    BOOST_CHECK(!tables.services[0].idempotent);
    BOOST_CHECK_EQUAL(to_millis(tables.services[0].repeat_window), 60000);
    BOOST_CHECK_EQUAL(tables.routes[1].priority, 7);
    BOOST_CHECK(tables.routes[1].organisations.matches({{"tier", "gold"}}));
    BOOST_CHECK((tables.moves[0].upstreams == std::vector<std::size_t>{0, 1}));
    BOOST_CHECK_EQUAL(tables.limits.body_bytes, 1000);
}

BOOST_AUTO_TEST_CASE(becomes_a_nodes_site)
{
    auto const compiled = compile(parse_configuration(whole_text).sections);
    auto const tables = routing_tables_of(compiled.tables);
    BOOST_CHECK_EQUAL(tables.routes[0].service, "desk");
    BOOST_CHECK(!tables.routes[0].idempotent);
    BOOST_CHECK(tables.upstreams[0].kind == upstream_kind::engine);
    BOOST_CHECK_EQUAL(tables.upstreams[0].failure_domain, "asan");
}

BOOST_AUTO_TEST_CASE(has_one_canonical_form)
{
    auto const sections = parse_configuration(whole_text).sections;
    auto const text = to_text(sections);
    BOOST_CHECK_EQUAL(to_text(parse_configuration(text).sections), text);
    BOOST_CHECK(compile(parse_configuration(text).sections).faults.empty());
}

BOOST_AUTO_TEST_CASE(changes_by_whole_sections)
{
    auto const base = parse_configuration(whole_text).sections;
    auto const change =
        parse_configuration("[remove upstream d2]\n[limits]\nbody_bytes = 5\n");
    BOOST_REQUIRE(change.faults.empty());
    auto const compiled = compile(merge(base, change.sections));
    BOOST_CHECK(compiled.faults.empty());
    BOOST_CHECK_EQUAL(compiled.tables.upstreams.size(), 2U);
    BOOST_CHECK_EQUAL(compiled.tables.limits.body_bytes, 5);
}

BOOST_AUTO_TEST_CASE(shows_whom_a_selector_selects)
{
    auto const compiled = compile(parse_configuration(whole_text).sections);
    selector_error error;
    auto const which = selector::parse("zone=asan or tier=gold", error);
    auto const selected = select(compiled.tables, *which);
    BOOST_CHECK(
        (selected.organisations == std::vector<std::string>{"ward-office"}));
    BOOST_CHECK(
        (selected.upstreams == std::vector<std::string>{"d1", "desk1"}));
    BOOST_CHECK(selected.services.empty());
}

BOOST_AUTO_TEST_SUITE(with_faults)

struct faulty_text
{
    std::string text;
    std::string expected;
};

BOOST_AUTO_TEST_CASE(names_line_column_section_key_and_what_was_expected)
{
    std::vector<faulty_text> const table{
        {"weight = 1",
         "line 1, column 1: [] weight: expected a [SECTION] before the first "
         "key"},
        {"[organisation a\nweight=1",
         "line 1, column 1: [] : expected \"]\" at the end of the line"},
        {"[zone a]",
         "line 1, column 1: [] : expected organisation, service, route, "
         "upstream, move or limits, found \"zone\""},
        {"[service]",
         "line 1, column 1: [] : expected a name of letters, digits and "
         "\"_-.:/\", found \"\""},
        {"[limits x]",
         "line 1, column 1: [] : expected [limits] without a name"},
        {"[service a]\n[service a]",
         "line 2, column 1: [] : expected [service a] once, found it also on "
         "line 1"},
        {"[organisation a]\n  weight",
         "line 2, column 3: [organisation a] : expected KEY = VALUE or "
         "[SECTION]"},
        {"[organisation a]\nweight = heavy",
         "line 2, column 10: [organisation a] weight: expected a number from "
         "0.001 to 1000, found \"heavy\""},
        {"[organisation a]\nweight = nan",
         "line 2, column 10: [organisation a] weight: expected a number from "
         "0.001 to 1000, found \"nan\""},
        {"[organisation a]\nweight = 1\nweight = 2",
         "line 3, column 1: [organisation a] weight: expected the key once in "
         "its section"},
        {"[organisation a]\ncolour = red",
         "line 2, column 10: [organisation a] colour: expected one of "
         "key_digest, weight"},
        {"[organisation a]\nkey_digest = abc",
         "line 2, column 14: [organisation a] key_digest: expected 64 "
         "lower-case hex digits of a SHA-256"},
        {"[service s]\nidempotent = maybe",
         "line 2, column 14: [service s] idempotent: expected yes or no, "
         "found \"maybe\""},
        {"[service s]\nkind = model",
         "line 2, column 8: [service s] kind: expected engine or plain, found "
         "\"model\""},
        {"[service s]\n[route r]\npath = claims\nservice = s",
         "line 3, column 8: [route r] path: expected a path that begins with "
         "\"/\", found \"claims\""},
        {"[service s]\n[route r]\npath = /\nservice = t",
         "line 4, column 11: [route r] service: expected a [service] of the "
         "configuration, found \"t\""},
        {"[service s]\n[route r]\npath = /\nservice = s\n"
         "organisations = a in b",
         "line 5, column 22: [route r] organisations: expected \"(\" after "
         "\"in\", found \"b\""},
        {"[service s]\n[upstream u]\naddress = host:80\nservice = s\n"
         "failure_domain = asan",
         "line 3, column 11: [upstream u] address: expected IP:PORT, found "
         "\"host:80\""},
        {"[service s]\n[upstream u]\naddress = 1.2.3.4.5:80\nservice = s\n"
         "failure_domain = asan",
         "line 3, column 11: [upstream u] address: expected IP:PORT, found "
         "\"1.2.3.4.5:80\""},
        {"[service s]\n[upstream u]\naddress = 1.2.3.4:80\nservice = s",
         "line 2, column 1: [upstream u] failure_domain: expected a value"},
        {"[move m]\nselect = *\nfrom = v1\nto = v1\ndeadline_us = 5",
         "line 4, column 6: [move m] to: expected a version other than "
         "`from`"},
        {"[remove service s]\nkind = plain",
         "line 2, column 1: [service s] kind: expected no keys in a section "
         "to remove"},
    };
    for (auto const& row : table)
    {
        auto const found = faults_of(row.text);
        BOOST_TEST_CONTEXT(row.text)
        {
            BOOST_REQUIRE_EQUAL(found.size(), 1U);
            BOOST_CHECK_EQUAL(found[0], row.expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(tells_every_fault_at_once)
{
    BOOST_CHECK_EQUAL(faults_of("[organisation a]\nweight = x\nb = 1\n"
                                "[service s]\nkind = y\n[what]\n")
                          .size(),
                      4U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
