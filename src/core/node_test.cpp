#include "core/node.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace amarantharch;

namespace
{

struct session
{
    node subject{node_options{"vm-1", "asan", {{"desk-1", "127.0.0.1:1"}}}};
    std::vector<command> commands;
    time_point now = from_micros(0);

    void tell(event const& what)
    {
        commands.clear();
        subject.handle(now, what,
                       [this](command const& c) { commands.push_back(c); });
    }

    call request(std::string id) const
    {
        return call{std::move(id), "GET", "/", {}, ""};
    }

    template <typename Command>
    Command const& only() const
    {
        BOOST_REQUIRE_EQUAL(commands.size(), 1U);
        return std::get<Command>(commands[0]);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_enters_a_vm)

BOOST_FIXTURE_TEST_CASE(is_sent_to_an_upstream_and_answered_whole, session)
{
    tell(call_received{request("r1")});
    auto const attempt = only<start_attempt>().attempt;
    tell(upstream_head{attempt, 200, {}});
    BOOST_TEST(only<answer_head>().status == 200);
    tell(upstream_piece{attempt, "abc"});
    BOOST_TEST(only<answer_piece>().bytes == "abc");
    tell(upstream_end{attempt});
    BOOST_TEST(only<answer_end>().request == "r1");
    BOOST_TEST(subject.requests_in_flight() == 0U);
}

BOOST_AUTO_TEST_SUITE(whose_caller_leaves)

BOOST_FIXTURE_TEST_CASE(is_cancelled_and_its_late_pieces_dropped, session)
{
    tell(call_received{request("r1")});
    auto const attempt = only<start_attempt>().attempt;
    tell(call_abandoned{"r1"});
    BOOST_TEST(only<cancel_attempt>().attempt == attempt);
    tell(upstream_piece{attempt, "late"});
    BOOST_TEST(commands.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_finds_no_upstream)

BOOST_AUTO_TEST_CASE(is_refused_at_once_as_not_run)
{
    node lonely{node_options{"vm-1", "asan", {}}};
    std::vector<command> commands;
    lonely.handle(from_micros(0), call_received{call{"r1", "GET", "/", {}, ""}},
                  [&](command const& c) { commands.push_back(c); });
    auto const& why = std::get<answer_refusal>(commands.at(0)).why;
    BOOST_TEST((why.run == verdict::not_run));
    BOOST_TEST((why.retry_after > duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
