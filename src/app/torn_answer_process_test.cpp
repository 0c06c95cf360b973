// Callers of HTTP/1.0 whose answer ends with their connection, and a VM that
// ends before it.
#include "app/process_fixture_test.hpp"
#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <optional>
#include <string>

using namespace amarantharch;
using namespace amarantharch::testing;
using amarantharch::test::plain_caller;
using amarantharch::test::seen;

namespace
{

// A plain service, and one VM that passes a caller's stream of 100 pieces on.
struct streaming_vm : process_fixture
{
    streaming_vm()
    {
        std::string const address = vm.address();
        std::string const port = address.substr(address.rfind(':') + 1);
        caller.emplace(static_cast<std::uint16_t>(std::stoi(port)),
                       "POST /reports HTTP/1.0\r\nX-Stream-Pieces: 100\r\n"
                       "X-Run-Ms: 30\r\nContent-Length: 0\r\n\r\n");
    }

    bool has_come(std::string const& text)
    {
        return run_until(
            [&]
            {
                how = caller->look();
                return caller->received.find(text) != std::string::npos;
            });
    }

    seen end()
    {
        (void)run_until(
            [&]
            {
                how = caller->look();
                return how != seen::open;
            });
        return how;
    }

    program& upstream = start("amarantharch-standin", {"--serve", "plain"});
    program& vm =
        start_vm("entry-0", "asan",
                 fmt::format("[upstream desk-1]\naddress = {}\nservice = desk\n"
                             "[route desk]\nprefix = /\nservice = desk\n",
                             upstream.address("port", "role", "plain")));
    seen how = seen::open;
    std::optional<plain_caller> caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_caller_whose_answer_ends_with_the_connection)

BOOST_FIXTURE_TEST_CASE(sees_it_torn_when_its_vm_is_killed, streaming_vm)
{
    BOOST_REQUIRE(has_come("piece 0\n"));
    vm.kill();
    BOOST_TEST((end() == seen::reset));
    BOOST_TEST(caller->received.find("piece 99\n") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(sees_it_whole_when_its_vm_stops_as_planned,
                        streaming_vm)
{
    BOOST_REQUIRE(has_come("piece 0\n"));
    vm.terminate();
    BOOST_TEST((end() == seen::closed));
    BOOST_TEST(caller->received.find("piece 99\n") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(sees_it_torn_when_the_server_is_killed, streaming_vm)
{
    BOOST_REQUIRE(has_come("piece 0\n"));
    upstream.kill();
    BOOST_TEST((end() == seen::reset));
}

BOOST_AUTO_TEST_SUITE_END()
