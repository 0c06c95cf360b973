#include "app/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace amarantharch;

namespace
{

constexpr std::string_view minimal = "[vm]\nid = vm-1\nfailure_domain = asan\n";

std::vector<std::string> faults_of(std::string const& text)
{
    std::vector<std::string> lines;
    for (settings_fault const& fault : parse_settings("f.ini", text).faults)
    {
        lines.push_back(to_text(fault));
    }
    return lines;
}

std::string file_text(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
}

struct fault_case
{
    char const* text; // after the minimal file, so its first line is line 4
    char const* fault;
};

constexpr fault_case fault_cases[] = {
    {"listen_port = 65536",
     "f.ini:4: [vm] listen_port: expected an integer (port) from 0 to 65535; "
     "found \"65536\""},
    {"listen_port = http",
     "f.ini:4: [vm] listen_port: expected an integer (port) from 0 to 65535; "
     "found \"http\""},
    {"listen_port = -1",
     "f.ini:4: [vm] listen_port: expected an integer (port) from 0 to 65535; "
     "found \"-1\""},
    {"listen_prot = 80",
     "f.ini:4: [vm] listen_prot: expected a known key; this section has none "
     "of this name"},
    {"id = vm-2",
     "f.ini:4: [vm] id: expected each key once; this one is there already"},
    {"just words", "f.ini:4: [vm]: expected [SECTION], KEY = VALUE or a "
                   "comment; '=' character not found in line"},
    {"[log\naddress = 1.2.3.4:1", "f.ini:4: [vm]: expected [SECTION], KEY = "
                                  "VALUE or a comment; unmatched '['"},
    {"[logs]", "f.ini:4: [logs]: expected a known section; there is none of "
               "this name"},
    {"[vm]", "f.ini:4: [vm]: expected each section once; this one is there "
             "already"},
    {"[vm x]", "f.ini:4: [vm x]: expected [vm] without a name"},
    {"[upstream]", "f.ini:4: [upstream]: expected [upstream NAME]"},
    {"[upstream a]", "f.ini:4: [upstream a] address: expected this key; it is "
                     "missing"},
    {"[log]\naddress = localhost:1",
     "f.ini:5: [log] address: expected IP:PORT; found \"localhost:1\""},
    {"[log]\naddress = 127.0.0.1",
     "f.ini:5: [log] address: expected IP:PORT; found \"127.0.0.1\""},
    {"[log]\naddress = 127.0.0.1:0",
     "f.ini:5: [log] address: expected IP:PORT; found \"127.0.0.1:0\""},
    {"[upstream a]\naddress = 127.0.0.1:1\nkind = fast",
     "f.ini:6: [upstream a] kind: expected engine or plain; found \"fast\""},
    {"[upstream u]\naddress = 10.0.0.1:1\n[route a]\nidempotent = true",
     "f.ini:7: [route a] idempotent: expected yes or no; found \"true\""},
    {"[route a]\nservice = desk",
     "f.ini: [route a] service: expected the service of an [upstream]; found "
     "\"desk\""},
    {"[organisation a]\nkey_digest = x\nweight = 0",
     "f.ini:6: [organisation a] weight: expected a number from 0.001 to 1000; "
     "found \"0\""},
    {"[publisher a]\npublic_key = 12",
     "f.ini:5: [publisher a] public_key: expected 64 hexadecimal digits; "
     "found \"12\""},
    {"[tls]\nca = x",
     "f.ini: [tls]: expected all of ca, certificate, key, or none"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_settings)

BOOST_AUTO_TEST_CASE(are_read_whole)
{
    settings_result const read =
        parse_settings("f.ini", "; comment\n"
                                "[vm]\n"
                                "id = vm-1\r\n"
                                "failure_domain=asan\n"
                                "listen_port = 8080\n"
                                "log_level = debug\n"
                                "\n"
                                "[limits]\n"
                                "idle_timeout = 1500\n"
                                "[upstream desk-1]\n"
                                "address = 10.0.0.2:9000\n"
                                "[upstream engine-1]\n"
                                "address = 10.0.0.1:9000\n"
                                "kind = engine\n"
                                "service = drafts\n"
                                "[route drafts]\n"
                                "prefix = /v1\n"
                                "priority = 9\n"
                                "kind = engine\n"
                                "service = drafts\n"
                                "idempotent = yes\n"
                                "[organisation school]\n"
                                "weight = 2.5\n"
                                "key_digest = a, b; c\n");
    for (auto const& fault : read.faults)
    {
        BOOST_ERROR(to_text(fault));
    }
    settings const& value = read.value;
    BOOST_TEST(value.vm == "vm-1");
    BOOST_TEST(value.listen_port == 8080);
    BOOST_TEST((value.least_logged == log_level::debug));
    BOOST_TEST(value.limits.idle_timeout.count() == 1'500'000);
    BOOST_REQUIRE_EQUAL(value.tables.upstreams.size(), 2U);
    BOOST_TEST((value.tables.upstreams[1].kind == upstream_kind::engine));
    BOOST_TEST(value.tables.routes[0].idempotent);
    BOOST_TEST(value.tables.organisations[0].weight == 2.5);
    BOOST_TEST(value.tables.organisations[0].key_digest == "a, b; c");
}

BOOST_AUTO_TEST_SUITE(with_a_fault)

BOOST_AUTO_TEST_CASE(name_its_line_section_key_and_what_was_expected)
{
    for (fault_case const& row : fault_cases)
    {
        auto const faults = faults_of(std::string(minimal) + row.text + "\n");
        BOOST_REQUIRE_MESSAGE(faults.size() == 1U, row.text);
        BOOST_TEST(faults[0] == row.fault);
    }
}

BOOST_AUTO_TEST_CASE(show_every_fault_at_once)
{
    auto const faults = faults_of("id = early\n"
                                  "[vm]\n"
                                  "listen_port = x\n"
                                  "junk\n"
                                  "[cloud]\n"
                                  "anything = goes\n"
                                  "[limits]\n"
                                  "connections = 0\n");
    BOOST_TEST(faults.size() == 7U);
}

BOOST_AUTO_TEST_CASE(name_what_an_empty_file_lacks)
{
    std::vector<std::string> const expected{
        "f.ini: [vm] id: expected this key; it is missing",
        "f.ini: [vm] failure_domain: expected this key; it is missing"};
    BOOST_TEST(faults_of("") == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(name_a_file_that_cannot_be_read)
{
    auto const read = read_settings("/nonexistent/vm.ini");
    BOOST_TEST(read.status().message() ==
               "/nonexistent/vm.ini:: expected a file that can be read");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(as_documented)

BOOST_AUTO_TEST_CASE(are_those_of_the_page)
{
    BOOST_TEST(file_text(AMARANTHARCH_SOURCE_DIR "/docs/SETTINGS.md") ==
               settings_as_markdown());
}

BOOST_AUTO_TEST_CASE(can_be_read_back_with_their_defaults)
{
    std::string text = settings_as_ini();
    for (std::string::size_type at = 0;
         (at = text.find("\n;", at)) != std::string::npos; ++at)
    {
        bool const is_key = at + 2 < text.size() && text[at + 2] != ' ';
        text.erase(at + 1, is_key ? 1 : 0);
    }
    // What is required has no default.
    for (std::string const& fault : faults_of(text))
    {
        BOOST_TEST(fault.find("found \"\"") != std::string::npos, fault);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
