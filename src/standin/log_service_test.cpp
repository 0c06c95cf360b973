#include "standin/log_service.hpp"
#include "standin/role_session_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;
using namespace amarantharch::standin;

namespace
{

struct log_session : role_session
{
    explicit log_session(log_service_options options = {})
        : role_session(std::make_unique<log_service>(options))
    {
    }

    int append(std::string const& payload)
    {
        return answer(ask("POST", "/v1/streams/requests/records", payload))
            .status;
    }

    exchange_id ask_read(std::string const& query)
    {
        return ask("GET", "/v1/streams/requests/records?" + query);
    }

    read_answer read(std::string const& query)
    {
        return unpack(answer(ask_read(query)));
    }

    static read_answer unpack(whole_reply const& reply)
    {
        return msgpack::unpack(reply.body.data(), reply.body.size())
            .get()
            .as<read_answer>();
    }
};

struct small_log_session : log_session
{
    small_log_session() : log_session({2, std::chrono::seconds(10), 8, 1 << 20})
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_log_service)

BOOST_FIXTURE_TEST_CASE(gives_offsets_from_1_without_a_gap, log_session)
{
    append("a");
    append("b");
    auto const all = read("from=1");
    BOOST_REQUIRE_EQUAL(all.records.size(), 2U);
    BOOST_TEST(all.records[0].offset == 1U);
    BOOST_TEST(all.records[1].offset == 2U);
    BOOST_TEST(all.records[1].payload == "b");
    BOOST_TEST(all.end == 3U);
}

BOOST_FIXTURE_TEST_CASE(holds_a_read_at_the_end_until_an_append, log_session)
{
    auto const waiting = ask_read("from=1&wait_ms=1000");
    BOOST_TEST(!answered(waiting));
    append("a");
    BOOST_TEST(unpack(answer(waiting)).records.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answers_a_held_read_when_its_time_is_up, log_session)
{
    auto const waiting = ask_read("from=1&wait_ms=1000");
    pass(std::chrono::milliseconds(999));
    BOOST_TEST(!answered(waiting));
    pass(std::chrono::milliseconds(1));
    BOOST_TEST(unpack(answer(waiting)).records.empty());
}

BOOST_FIXTURE_TEST_CASE(bounds_a_read_in_bytes, log_session)
{
    append("aaaa");
    append("bbbb");
    BOOST_TEST(read("from=1&max_bytes=4").records.size() == 1U);
    BOOST_TEST(read("from=1&max_bytes=1").records.size() == 1U);
    BOOST_TEST(read("from=1&max_bytes=8").records.size() == 2U);
}

BOOST_AUTO_TEST_SUITE(at_its_limits)

BOOST_FIXTURE_TEST_CASE(forgets_records_past_retention, small_log_session)
{
    append("old");
    pass(std::chrono::seconds(6));
    append("new");
    pass(std::chrono::seconds(5));
    auto const left = read("from=1");
    BOOST_TEST(left.first_retained == 2U);
    BOOST_REQUIRE_EQUAL(left.records.size(), 1U);
    BOOST_TEST(left.records[0].payload == "new");
}

BOOST_FIXTURE_TEST_CASE(refuses_appends_over_its_rate, small_log_session)
{
    BOOST_TEST(append("a") == 200);
    BOOST_TEST(append("b") == 200);
    BOOST_TEST(append("c") == 429);
    pass(std::chrono::milliseconds(500));
    BOOST_TEST(append("c") == 200);
    BOOST_TEST(read("from=1").records.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_payload_over_its_size, small_log_session)
{
    BOOST_TEST(append("123456789") == 413);
    BOOST_TEST(read("from=1").records.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_FIXTURE_TEST_CASE(keeps_an_append_whose_answer_is_lost, log_session)
{
    set_fault(R"({"kind":"answer_lost","count":1})");
    auto const lost = ask("POST", "/v1/streams/requests/records", "a");
    BOOST_TEST(is_cut(lost));
    BOOST_TEST(read("from=1").records.size() == 1U);
    BOOST_TEST(append("b") == 200);
}

BOOST_FIXTURE_TEST_CASE(drops_an_append_before_its_effect, log_session)
{
    set_fault(R"({"kind":"request_dropped","count":1})");
    BOOST_TEST(is_cut(ask("POST", "/v1/streams/requests/records", "a")));
    BOOST_TEST(read("from=1").records.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_all_in_an_outage_until_it_ends, log_session)
{
    auto const waiting = ask_read("from=1&wait_ms=9000");
    set_fault(R"({"kind":"outage","ms":1000})");
    BOOST_TEST(answer(waiting).status == 503);
    BOOST_TEST(append("a") == 503);
    BOOST_TEST(answer(ask_read("from=1")).status == 503);
    pass(std::chrono::seconds(1));
    BOOST_TEST(append("a") == 200);
}

BOOST_FIXTURE_TEST_CASE(answers_late_while_slow, log_session)
{
    set_fault(R"({"kind":"slow","count":1,"ms":300})");
    auto const late = ask("POST", "/v1/streams/requests/records", "a");
    BOOST_TEST(!answered(late));
    BOOST_TEST(read("from=1").records.size() == 1U);
    pass(std::chrono::milliseconds(300));
    BOOST_TEST(answer(late).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
