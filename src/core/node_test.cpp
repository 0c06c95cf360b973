// Several nodes that exchange peer messages: what one node learns about
// upstreams and requests must take effect at all of them.
#include "core/node.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>

using namespace amarantharch;

namespace
{

constexpr std::size_t fleet_size = 3;
constexpr duration two_seconds = std::chrono::seconds(2);

// Nodes that are connected with a delay of one tick. Collects the attempts and
// refusals that they emit.
class fleet
{
public:
    fleet()
    {
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            nodes_.push_back(make_node(i));
        }
        members_listed listed;
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            listed.members.push_back(
                {vm(i), std::string("10.0.0.") + std::to_string(i) + ":1",
                 std::string("domain-") + std::to_string(i)});
        }
        for (auto& node : nodes_)
        {
            node->handle(now_, listed);
        }
        run(std::chrono::seconds(5));
    }

    static std::string vm(std::size_t i)
    {
        return std::string("vm-") + std::to_string(i);
    }

    void handle_event(std::size_t i, event const& what)
    {
        nodes_[i]->handle(now_, what);
    }

    void run(duration time)
    {
        for (time_point const end = now_ + time; now_ < end;)
        {
            now_ += tick_interval;
            std::deque<peer_message> const due = std::exchange(messages_, {});
            for (peer_message const& message : due)
            {
                deliver(message);
            }
            for (auto& node : nodes_)
            {
                node->handle(now_, ticked{});
            }
        }
    }

    // Sends a request to node `i` and returns the attempt it starts, if any.
    std::optional<start_attempt> send_request(std::size_t i, std::string body)
    {
        attempts_.clear();
        refusals_.clear();
        call request;
        request.id = std::string("r") + std::to_string(next_request_++);
        request.method = "POST";
        request.target = "/lookups";
        request.body = std::move(body);
        handle_event(i, call_received{request});
        return attempts_.empty() ? std::nullopt
                                 : std::optional(attempts_.back());
    }

    std::vector<start_attempt> const& attempts() const
    {
        return attempts_;
    }
    std::vector<answer_refusal> const& refusals() const
    {
        return refusals_;
    }

private:
    std::unique_ptr<node> make_node(std::size_t i)
    {
        node_options options;
        options.requests.vm = vm(i);
        options.requests.seed = i + 1;
        options.control.vm = vm(i);
        options.control.address =
            std::string("10.0.0.") + std::to_string(i) + ":1";
        options.control.failure_domain =
            std::string("domain-") + std::to_string(i);
        options.control.seed = i + 1;
        options.control.uses_log = false;
        route_spec route;
        route.prefix = std::string("/lookups");
        route.service = std::string("desk");
        options.settings_tables.routes.push_back(route);
        for (char const* name : {"desk-1", "desk-2", "desk-3"})
        {
            upstream_spec upstream;
            upstream.name = name;
            upstream.service = std::string("desk");
            options.settings_tables.upstreams.push_back(upstream);
        }
        return std::make_unique<node>(std::move(options),
                                      [this, i](command const& what)
                                      { handle_command(i, what); });
    }

    void handle_command(std::size_t i, command const& what)
    {
        if (auto const* sent = std::get_if<send_to_peer>(&what))
        {
            messages_.push_back(sent->message);
            messages_.back().vm = vm(i) + ">" + sent->message.vm;
        }
        else if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            attempts_.push_back(*attempt);
        }
        else if (auto const* refusal = std::get_if<answer_refusal>(&what))
        {
            refusals_.push_back(*refusal);
        }
    }

    // A queued message's `vm` is "sender>target".
    void deliver(peer_message message)
    {
        std::size_t const separator = message.vm.find('>');
        std::string const target = message.vm.substr(separator + 1);
        message.vm = message.vm.substr(0, separator);
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            if (vm(i) == target)
            {
                handle_event(i, peer_message_received{message});
            }
        }
    }

    time_point now_ = from_micros(1'000'000);
    std::vector<std::unique_ptr<node>> nodes_;
    std::deque<peer_message> messages_;
    std::vector<start_attempt> attempts_;
    std::vector<answer_refusal> refusals_;
    int next_request_ = 1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(vms_that_hear_each_other, fleet)

BOOST_AUTO_TEST_CASE(give_no_work_to_an_upstream_that_one_knows_is_leaving)
{
    handle_event(0, upstream_leaving_seen{"desk-1"});
    run(two_seconds);
    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        for (int request = 0; request < 20; ++request)
        {
            auto const attempt = send_request(i, std::to_string(request));
            BOOST_REQUIRE(attempt.has_value());
            BOOST_TEST(attempt->upstream != "desk-1");
        }
    }
}

BOOST_AUTO_TEST_CASE(refuse_a_request_that_crashed_upstreams_at_one)
{
    auto attempt = send_request(0, "poison");
    BOOST_REQUIRE(attempt.has_value());
    handle_event(0, upstream_failed{attempt->attempt, verdict::may_have_run,
                                    "connection_lost"});
    run(std::chrono::seconds(1));
    BOOST_REQUIRE_EQUAL(attempts().size(), 2U);
    handle_event(0, upstream_failed{attempts().back().attempt,
                                    verdict::may_have_run, "connection_lost"});
    run(two_seconds);
    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        BOOST_TEST(!send_request(i, "poison").has_value());
        BOOST_REQUIRE_EQUAL(refusals().size(), 1U);
        BOOST_TEST(refusals().back().why.reason == "quarantined");
        BOOST_TEST((refusals().back().why.run == verdict::not_run));
        BOOST_TEST(send_request(i, "harmless").has_value());
    }
}

BOOST_AUTO_TEST_CASE(take_no_harm_from_a_message_that_is_none)
{
    handle_event(1, peer_message_received{{vm(0), peer_message_kind::request,
                                           std::string("\xdf\xff")}});
    handle_event(1, peer_message_received{{vm(0), peer_message_kind::snapshot,
                                           std::string("\xdd\xff")}});
    BOOST_TEST(send_request(1, "harmless").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
