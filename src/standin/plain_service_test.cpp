#include "standin/plain_service.hpp"
#include "standin/role_session_test.hpp"

#include "standin/json.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;
using namespace amarantharch::standin;

namespace
{

struct plain_session : role_session
{
    plain_session()
        : role_session(std::make_unique<plain_service>(
              plain_service_options{"desk", "2", {}}))
    {
    }

    exchange_id claim(std::string key)
    {
        return ask("POST", "/claims", "stall 7",
                   {{"idempotency-key", std::move(key)}});
    }

    std::int64_t runs_of(char const* key)
    {
        auto const runs = parse_object(answer(ask("GET", "/runs")).body);
        return integer_of(runs->value("by_key").toObject(), key, 0);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_plain_service)

BOOST_FIXTURE_TEST_CASE(counts_runs_by_key, plain_session)
{
    claim("k1");
    claim("k2");
    BOOST_TEST(answer(claim("k1")).body.find(R"("run":2)") !=
               std::string::npos);
    BOOST_TEST(runs_of("k1") == 2);
    BOOST_TEST(runs_of("k2") == 1);
}

BOOST_FIXTURE_TEST_CASE(counts_a_run_from_its_start, plain_session)
{
    auto const left = ask("POST", "/claims", "",
                          {{"Idempotency-Key", "k"}, {"X-Run-Ms", "50"}});
    BOOST_TEST(runs_of("k") == 1);
    leave(left);
    pass(std::chrono::milliseconds(50));
    BOOST_TEST(!answered(left));
    BOOST_TEST(runs_of("k") == 1);
}

BOOST_FIXTURE_TEST_CASE(streams_in_pieces, plain_session)
{
    auto const stream =
        ask("GET", "/s", "", {{"X-Stream-Pieces", "2"}, {"X-Run-Ms", "10"}});
    pass(std::chrono::milliseconds(10));
    BOOST_TEST(streamed(stream) == "piece 0\n");
    pass(std::chrono::milliseconds(20));
    BOOST_TEST(streamed(stream) == "piece 0\npiece 1\n");
    BOOST_TEST(is_ended(stream));
}

BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_FIXTURE_TEST_CASE(has_run_when_its_answer_is_lost, plain_session)
{
    set_fault(R"({"kind":"answer_lost","count":1})");
    BOOST_TEST(is_cut(claim("k")));
    BOOST_TEST(runs_of("k") == 1);
}

BOOST_FIXTURE_TEST_CASE(has_not_run_a_request_that_it_dropped, plain_session)
{
    set_fault(R"({"kind":"request_dropped","count":1})");
    BOOST_TEST(is_cut(claim("k")));
    BOOST_TEST(runs_of("k") == 0);
}

BOOST_FIXTURE_TEST_CASE(crashes_on_the_marker_only, plain_session)
{
    set_fault(R"({"kind":"crash","text":"stall 13"})");
    claim("k");
    BOOST_TEST(!crashed());
    ask("POST", "/claims", "claims stall 13 now");
    BOOST_TEST(crashed());
}

BOOST_FIXTURE_TEST_CASE(fails_as_a_bad_version_only_if_it_is_it, plain_session)
{
    set_fault(R"({"kind":"bad_version","text":"3"})");
    BOOST_TEST(answer(claim("k")).status == 200);
    set_fault(R"({"kind":"bad_version","text":"2"})");
    BOOST_TEST(answer(claim("k")).status == 500);
    set_fault(R"({"kind":"bad_version","text":"2","ms":40})");
    auto const slow = claim("k");
    BOOST_TEST(!answered(slow));
    pass(std::chrono::milliseconds(40));
    BOOST_TEST(answer(slow).status == 200);
}

BOOST_FIXTURE_TEST_CASE(cuts_a_stream_after_so_many_pieces, plain_session)
{
    set_fault(R"({"kind":"cut","count":1,"tokens":1})");
    auto const stream = ask("GET", "/s", "", {{"X-Stream-Pieces", "2"}});
    BOOST_TEST(streamed(stream) == "piece 0\n");
    BOOST_TEST(is_cut(stream));
}

BOOST_FIXTURE_TEST_CASE(refuses_an_unknown_kind_of_fault, plain_session)
{
    BOOST_TEST(answer(ask("POST", "/fault", R"({"kind":"rain"})")).status ==
               400);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
