#include "app/admin_server.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace amarantharch;

namespace
{

struct admin_fixture
{
    readiness state{true, ""};
    std::optional<duration> drained;
    admin_callbacks callbacks{
        [this] { return state; }, [] { return "{\"vm\":\"vm-1\"}"; },
        [] { return "{\"entries\":[]}"; }, [] { return "metric 1\n"; },
        [this](duration timeout)
        {
            drained = timeout;
        }};

    admin_answer ask(std::string method, std::string target) const
    {
        return answer_admin(
            callbacks, call{"", std::move(method), std::move(target), {}, ""});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_admin_endpoints)

BOOST_FIXTURE_TEST_CASE(show_what_the_process_gives, admin_fixture)
{
    BOOST_TEST(ask("GET", "/health").status == 200);
    BOOST_TEST(ask("GET", "/status").body == "{\"vm\":\"vm-1\"}");
    BOOST_TEST(ask("GET", "/timeline").body == "{\"entries\":[]}");
    BOOST_TEST(ask("GET", "/metrics").body == "metric 1\n");
    BOOST_TEST(ask("GET", "/metrics").content_type ==
               "text/plain; version=0.0.4");
}

BOOST_FIXTURE_TEST_CASE(say_why_the_vm_is_not_ready, admin_fixture)
{
    BOOST_TEST(ask("GET", "/ready").status == 200);
    state = {false, "draining"};
    BOOST_TEST(ask("GET", "/ready").status == 503);
    BOOST_TEST(ask("GET", "/ready").body ==
               "{\"ready\":false,\"reason\":\"draining\"}\n");
}

BOOST_AUTO_TEST_SUITE(that_drain)

BOOST_FIXTURE_TEST_CASE(pass_the_timeout_on, admin_fixture)
{
    BOOST_TEST(ask("POST", "/drain?timeout_ms=1500").status == 202);
    BOOST_TEST(drained->count() == 1'500'000);
    BOOST_TEST(ask("POST", "/drain").status == 202);
    BOOST_TEST(drained->count() == 0);
}

BOOST_FIXTURE_TEST_CASE(refuse_what_is_not_a_timeout, admin_fixture)
{
    for (char const* query : {"timeout_ms=", "timeout_ms=1s", "timeout_ms=-1",
                              "timeout=1", "timeout_ms=99999999999999999999"})
    {
        BOOST_TEST(ask("POST", std::string("/drain?") + query).status == 400,
                   query);
    }
    BOOST_TEST(!drained.has_value());
}

BOOST_FIXTURE_TEST_CASE(do_nothing_on_GET, admin_fixture)
{
    BOOST_TEST(ask("GET", "/drain").status == 405);
    BOOST_TEST(!drained.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(refuse_other_paths, admin_fixture)
{
    BOOST_TEST(ask("GET", "/").status == 404);
    BOOST_TEST(answer_admin({}, call{"", "GET", "/status", {}, ""}).status ==
               501);
}

BOOST_AUTO_TEST_SUITE_END()
