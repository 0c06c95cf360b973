// A VM that runs attempts for another one, before one upstream.
#include "core/node.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const other_vm = "10.0.0.2";
constexpr std::uint64_t incarnation = 7;

upstream_listed entry(std::string const& name, std::uint64_t of)
{
    upstream_listed listed;
    listed.upstream.name = name;
    listed.upstream.address = name + ":80";
    listed.upstream.service = "desk";
    listed.incarnation = of;
    return listed;
}

struct relaying_vm
{
    explicit relaying_vm(std::size_t request_bytes = std::size_t{1} << 20)
        : subject(options(request_bytes), [this](command const& c) { take(c); })
    {
        subject.handle(now, members_listed{{{"vm-2", other_vm + ":1", "x"}}});
        for (char const* const name : {"u1", "u2", "u3"})
        {
            subject.handle(now, entry(name, incarnation));
        }
    }

    static node_options options(std::size_t request_bytes)
    {
        node_options result;
        result.requests.max_request_bytes = request_bytes;
        result.control.vm = "vm-1";
        result.control.address = "10.0.0.1:1";
        result.control.incarnation = 1;
        result.control.uses_log = false;
        result.relays_attempts = true;
        return result;
    }

    void take(command const& what)
    {
        commands.push_back(what);
    }

    // The last command of a kind.
    template <typename Command>
    Command const* last() const
    {
        for (auto each = commands.rbegin(); each != commands.rend(); ++each)
        {
            if (auto const* const found = std::get_if<Command>(&*each))
            {
                return found;
            }
        }
        return nullptr;
    }

    void request(relay_target target, std::string const& from = other_vm)
    {
        call attempt;
        attempt.id = "r1";
        attempt.method = "POST";
        attempt.target = "/claims";
        attempt.headers = {{"X", "unchanged"}};
        attempt.body = "body";
        subject.handle(now, relay_requested{next_relay++, from,
                                            std::move(target), attempt});
    }

    // The reason why the last request was declined; empty if it was not.
    std::string declined()
    {
        auto const* const failed = last<relay_answer_failed>();
        bool const is_last =
            failed != nullptr && failed->relay + 1 == next_relay;
        BOOST_TEST((!is_last || failed->why.run == verdict::not_run));
        return is_last ? failed->why.reason : std::string();
    }

    time_point now = from_micros(1'000'000'000);
    std::vector<command> commands;
    relay_id next_relay = 1;
    node subject;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_vm_that_runs_attempts_for_others)

BOOST_AUTO_TEST_CASE(declines_bodies_over_half_of_the_memory_of_its_own)
{
    relaying_vm vm(20);
    vm.request({"u1", incarnation});
    vm.request({"u2", incarnation});
    BOOST_TEST(vm.declined().empty());
    vm.request({"u3", incarnation}); // of four bytes each
    BOOST_TEST(vm.declined() == "relay_full");
    vm.subject.handle(vm.now, relay_abandoned{1});
    vm.request({"u3", incarnation});
    BOOST_TEST(vm.declined().empty());
}

BOOST_AUTO_TEST_CASE(sends_the_request_on_unchanged_and_passes_the_answer_back)
{
    relaying_vm vm;
    vm.request({"u1", incarnation});
    auto const* const sent = vm.last<start_attempt>();
    BOOST_TEST_REQUIRE(sent != nullptr);
    BOOST_TEST(sent->address == "u1:80");
    BOOST_TEST(sent->relay.empty());
    BOOST_TEST(sent->request.target == "/claims");
    BOOST_TEST(sent->request.body == "body");
    BOOST_TEST(sent->request.headers.size() == 1u);
    attempt_id const attempt = sent->attempt;
    vm.subject.handle(vm.now, upstream_head{attempt, 201, {{"Y", "z"}}});
    vm.subject.handle(vm.now, upstream_piece{attempt, "bytes"});
    vm.subject.handle(vm.now, upstream_end{attempt});
    BOOST_TEST(vm.last<relay_answer_head>()->status == 201);
    BOOST_TEST(vm.last<relay_answer_piece>()->bytes == "bytes");
    BOOST_TEST(vm.last<relay_answer_end>()->relay == 1u);
    BOOST_TEST(vm.subject.relayed().idle());
}

BOOST_AUTO_TEST_CASE(
    tells_how_an_attempt_failed_and_whether_its_answer_had_begun)
{
    relaying_vm vm;
    vm.request({"u1", incarnation});
    vm.subject.handle(vm.now, upstream_failed{vm.last<start_attempt>()->attempt,
                                              verdict::may_have_run,
                                              "connection_lost"});
    auto const* failed = vm.last<relay_answer_failed>();
    BOOST_TEST((failed->why.place == failure_place::upstream));
    BOOST_TEST((failed->why.run == verdict::may_have_run));
    BOOST_TEST(failed->why.reason == "connection_lost");
    BOOST_TEST(!failed->answer_begun);
    vm.request({"u1", incarnation});
    attempt_id const attempt = vm.last<start_attempt>()->attempt;
    vm.subject.handle(vm.now, upstream_head{attempt, 200, {}});
    vm.subject.handle(
        vm.now, upstream_failed{attempt, verdict::may_have_run, "answer_cut"});
    BOOST_TEST(vm.last<relay_answer_failed>()->answer_begun);
}

BOOST_AUTO_TEST_CASE(cancels_an_attempt_that_the_other_vm_has_given_up)
{
    relaying_vm vm;
    vm.request({"u1", incarnation});
    attempt_id const attempt = vm.last<start_attempt>()->attempt;
    vm.subject.handle(vm.now, relay_abandoned{1});
    BOOST_TEST(vm.last<cancel_attempt>()->attempt == attempt);
    BOOST_TEST(vm.subject.relayed().idle());
    vm.subject.handle(vm.now, upstream_end{attempt}); // crosses the cancel
    BOOST_TEST(vm.last<relay_answer_end>() == nullptr);
}

BOOST_AUTO_TEST_SUITE(declines_as_not_run)

BOOST_AUTO_TEST_CASE(what_does_not_come_from_a_member)
{
    relaying_vm vm;
    vm.request({"u1", incarnation}, "10.0.0.22");
    BOOST_TEST(vm.declined() == "unknown_vm");
    vm.request({"u1", incarnation}, "10.0.0.");
    BOOST_TEST(vm.declined() == "unknown_vm");
    BOOST_TEST(vm.last<start_attempt>() == nullptr);
}

BOOST_AUTO_TEST_CASE(what_is_for_an_upstream_that_is_gone_or_leaves)
{
    relaying_vm vm;
    vm.request({"unknown", incarnation});
    BOOST_TEST(vm.declined() == "upstream_unavailable");
    vm.request({"u1", incarnation - 1});
    BOOST_TEST(vm.declined() == "upstream_unavailable");
    vm.subject.handle(vm.now, upstream_leaving_seen{"u1"});
    vm.request({"u1", incarnation});
    BOOST_TEST(vm.declined() == "upstream_unavailable");
    vm.subject.handle(vm.now, upstream_noticed{"u2", {false, seconds(2), {}}});
    vm.request({"u2", incarnation});
    BOOST_TEST(vm.declined() == "upstream_unavailable");
    BOOST_TEST(vm.last<start_attempt>() == nullptr);
}

BOOST_AUTO_TEST_CASE(what_comes_while_it_stops)
{
    relaying_vm vm;
    vm.request({"u1", incarnation});
    vm.subject.handle(vm.now, stop_requested{vm.now + seconds(8)});
    vm.request({"u1", incarnation});
    BOOST_TEST(vm.declined() == "relay_stopping");
    BOOST_TEST(!vm.subject.relayed().idle()); // the first one goes on
}

// An attempt never makes a second hop.
BOOST_AUTO_TEST_CASE(what_it_cannot_send_itself)
{
    relaying_vm vm;
    vm.subject.handle(vm.now, upstream_checked{"u1", true, false});
    vm.subject.handle(vm.now, upstream_checked{"u2", true, false});
    vm.now += tick_interval;
    vm.subject.handle(vm.now, ticked{});
    for (char const* const name : {"u1", "u2", "u3"})
    {
        vm.subject.handle(vm.now, upstream_checked{name, true, false});
    }
    BOOST_TEST_REQUIRE(vm.subject.requests().reach().partitioned());
    vm.request({"u1", incarnation});
    BOOST_TEST(vm.declined() == "relay_partitioned");
    BOOST_TEST(vm.last<start_attempt>() == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
