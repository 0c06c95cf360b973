#include "standin/platform_service.hpp"
#include "standin/role_session_test.hpp"

#include "standin/json.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;
using namespace amarantharch::standin;

namespace
{

constexpr duration lag = std::chrono::milliseconds(500);
constexpr duration start_time = std::chrono::seconds(2);

struct platform_session : role_session
{
    platform_session()
        : role_session(std::make_unique<platform_service>(
              platform_service_options{lag, start_time, 0.3, 1.0}))
    {
    }

    whole_reply start(std::string const& order)
    {
        return answer(ask_start(order));
    }

    exchange_id ask_start(std::string const& order)
    {
        return ask("POST", "/v1/machines",
                   R"({"fence":1,"class":"small","failure_domain":"asan",)"
                   R"("reclaimable":true,"order":")" +
                       order + "\"}");
    }

    QJsonArray rows(char const* target, char const* key)
    {
        return parse_object(answer(ask("GET", target)).body)
            ->value(QLatin1String(key))
            .toArray();
    }

    QJsonArray vms()
    {
        return rows("/v1/vms", "vms");
    }

    QJsonArray machines()
    {
        return rows("/v1/machines", "machines");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_platform)

BOOST_FIXTURE_TEST_CASE(lists_a_started_vm_after_its_lag, platform_session)
{
    BOOST_TEST(start("o1").status == 200);
    pass(start_time);
    BOOST_TEST(text_of(machines()[0].toObject(), "state") == "live");
    BOOST_TEST(vms().isEmpty());
    pass(lag);
    BOOST_REQUIRE_EQUAL(vms().size(), 1);
    BOOST_TEST(text_of(vms()[0].toObject(), "failure_domain") == "asan");
}

BOOST_FIXTURE_TEST_CASE(starts_one_machine_for_an_order_sent_twice,
                        platform_session)
{
    BOOST_TEST(start("o1").body == start("o1").body);
    BOOST_TEST(machines().size() == 1);
    start("o2");
    BOOST_TEST(machines().size() == 2);
}

BOOST_FIXTURE_TEST_CASE(stops_a_machine, platform_session)
{
    start("o1");
    BOOST_TEST(answer(ask("DELETE", "/v1/machines/vm-1?fence=1")).status ==
               200);
    BOOST_TEST(machines().isEmpty());
}

BOOST_AUTO_TEST_SUITE(that_reclaims)

BOOST_FIXTURE_TEST_CASE(a_failure_domain_gives_notice_first, platform_session)
{
    ask("PUT", "/v1/vms",
        R"({"vm":"a","failure_domain":"asan","reclaimable":true})");
    ask("PUT", "/v1/vms",
        R"({"vm":"b","failure_domain":"asan","reclaimable":false})");
    ask("PUT", "/v1/vms",
        R"({"vm":"c","failure_domain":"patan","reclaimable":true})");
    ask("POST", "/reclaim", R"({"failure_domain":"asan","ms":1000})");
    BOOST_TEST(answer(ask("GET", "/v1/notices?vm=a")).body ==
               "{\"reclaim_at_us\":1001000000}");
    BOOST_TEST(answer(ask("GET", "/v1/notices?vm=b")).body == "{}");
    BOOST_TEST(answer(ask("GET", "/v1/notices?vm=c")).body == "{}");
    pass(std::chrono::seconds(1));
    pass(lag);
    BOOST_TEST(vms().size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_FIXTURE_TEST_CASE(refuses_starts, platform_session)
{
    set_fault(R"({"kind":"refuse_start","count":1})");
    auto const refused = start("o1");
    BOOST_TEST(refused.status == 409);
    BOOST_TEST(refused.body == R"({"reason":"no_capacity"})");
    BOOST_TEST(start("o1").status == 200);
}

BOOST_FIXTURE_TEST_CASE(has_started_a_machine_whose_answer_is_lost,
                        platform_session)
{
    set_fault(R"({"kind":"answer_lost","count":1})");
    BOOST_TEST(is_cut(ask_start("o1")));
    BOOST_TEST(machines().size() == 1);
    BOOST_TEST(start("o1").status == 200);
    BOOST_TEST(machines().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
