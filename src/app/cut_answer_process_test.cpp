// Servers that stop in the middle of an answer's head before a VM as a process,
// and VMs that do before an operator's command.
#include "app/process_fixture_test.hpp"
#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>

using namespace amarantharch;
using namespace amarantharch::testing;
using amarantharch::test::peer_server;
using amarantharch::test::peer_socket;

namespace
{

std::string const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                         "X-Note: n\r\nContent-Length: 80\r\n\r\n";
std::string const body(80, 'b');

// One VM before two servers of bytes, which answer as the test says.
struct cutting_servers : process_fixture
{
    struct result
    {
        int status = 0;
        std::string body;
        bool whole = false;
    };

    static std::size_t requests_of(peer_socket const& connection)
    {
        std::size_t found = 0;
        std::string const start = "POST /";
        for (auto at = connection.received.find(start); at != std::string::npos;
             at = connection.received.find(start, at + 1))
        {
            ++found;
        }
        return found;
    }

    // The connection on which a request came that has no answer yet.
    peer_socket* unanswered()
    {
        for (peer_server* const server : {&first, &second})
        {
            for (auto const& connection : server->connections)
            {
                std::size_t const came = requests_of(*connection);
                if (came > answered[connection.get()] && !connection->closed)
                {
                    answered[connection.get()] = came;
                    return connection.get();
                }
            }
        }
        return nullptr;
    }

    // Sends a request whose first attempt gets `sent` bytes of an answer and
    // the end of its connection, and each later one a whole answer.
    result ask(std::string const& path, std::size_t sent, bool by_reset)
    {
        http_client client({[&](exchange_id, int status, header_list const&)
                            { got.status = status; },
                            [&](exchange_id, std::string const& bytes)
                            { got.body += bytes; },
                            [&](exchange_id)
                            {
                                got.whole = true;
                                done = true;
                            },
                            [&](exchange_id, verdict, std::string const&)
                            {
                                done = true;
                            }});
        got = {};
        done = false;
        bool cut = sent == whole_answer;
        std::string const key = fmt::format("k{}", ++asked);
        client.send(
            1, address,
            {"", "POST", path, {{"Idempotency-Key", key}}, "body " + key});
        BOOST_REQUIRE(run_until(
            [&]
            {
                if (peer_socket* const connection =
                        done ? nullptr : unanswered())
                {
                    ++attempts;
                    std::string const answer = head + body;
                    connection->send(cut ? answer : answer.substr(0, sent));
                    if (!std::exchange(cut, true))
                    {
                        by_reset ? connection->reset() : connection->close();
                    }
                }
                return done;
            }));
        return got;
    }

    static constexpr int lookups_between = 6;
    static constexpr std::size_t whole_answer = std::string::npos;

    peer_server first;
    peer_server second;
    program& log = start("amarantharch-standin", {"--serve", "log"});
    program& vm = start_vm(
        "entry-0", "asan",
        fmt::format(
            "[log]\naddress = {}\n"
            "[upstream desk-1]\naddress = {}\nservice = desk\n"
            "[upstream desk-2]\naddress = {}\nservice = desk\n"
            "[route desk]\nprefix = /\nservice = desk\nidempotent = no\n"
            "[route look]\nprefix = /look\nservice = desk\nidempotent = yes\n",
            log.address("port", "role", "log"), first.address(),
            second.address()));
    std::string address = vm.address();
    std::map<peer_socket const*, std::size_t> answered;
    result got;
    bool done = false;
    int asked = 0;
    int attempts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(servers_that_stop_in_their_answers_head)

BOOST_FIXTURE_TEST_CASE(leave_a_request_that_may_not_be_repeated_without_a_200,
                        cutting_servers)
{
    BOOST_REQUIRE(run_until(
        [&] { return ask("/claim", whole_answer, false).status == 200; }));
    std::map<int, int> answers;
    for (std::size_t sent = 0; sent < head.size(); ++sent)
    {
        bool const by_reset = sent % 2 == 1;
        BOOST_TEST_CONTEXT(sent << " bytes, reset: " << by_reset)
        {
            int const before = attempts;
            result const answer = ask("/claim", sent, by_reset);
            BOOST_TEST(answer.whole);
            BOOST_TEST(attempts <= before + 1);
            BOOST_TEST(answer.status >= 400);
            answers[answer.status] += attempts - before;
        }
        // Keep the connections, and the servers' good name.
        for (int i = 0; i < lookups_between; ++i)
        {
            (void)ask("/look", whole_answer, false);
        }
    }
    for (auto const& [status, cuts] : answers)
    {
        BOOST_TEST_MESSAGE("heads cut and answered " << status << ": " << cuts);
    }
    BOOST_TEST(answers[502] > 0);
}

BOOST_FIXTURE_TEST_CASE(have_a_lookup_answered_whole_by_the_other,
                        cutting_servers)
{
    int repeated = 0;
    for (std::size_t sent = 0; sent < head.size(); ++sent)
    {
        bool const by_reset = sent % 2 == 1;
        BOOST_TEST_CONTEXT(sent << " bytes, reset: " << by_reset)
        {
            int const before = attempts;
            result const answer = ask("/look", sent, by_reset);
            BOOST_TEST(answer.whole);
            BOOST_TEST((answer.status == 200 || answer.status == 502));
            if (answer.status == 200)
            {
                BOOST_TEST(answer.body == body);
                BOOST_TEST(attempts == before + 2);
                ++repeated;
            }
        }
        for (int i = 0; i < lookups_between; ++i)
        {
            (void)ask("/look", whole_answer, false);
        }
    }
    BOOST_TEST_MESSAGE("repeated and whole: " << repeated);
    BOOST_TEST(repeated > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_operators_command)

// Guards against a command that reports what a VM never finished saying.
BOOST_AUTO_TEST_CASE(fails_on_an_answer_cut_at_any_byte)
{
    (void)application();
    std::string const whole = head + body;
    for (std::size_t sent = 0; sent <= whole.size(); ++sent)
    {
        BOOST_TEST_CONTEXT(sent << " bytes")
        {
            peer_server vm;
            bool answered = false;
            QTimer answer;
            QObject::connect(&answer, &QTimer::timeout, &answer,
                             [&]
                             {
                                 if (vm.count("GET /status") > 0 &&
                                     !std::exchange(answered, true))
                                 {
                                     vm.connections[0]->send(
                                         whole.substr(0, sent));
                                     vm.connections[0]->close();
                                 }
                             });
            answer.start(std::chrono::milliseconds(1));
            auto const got = fetch_body(
                vm.address(), {"", "GET", "/status", {}, ""}, patience);
            BOOST_TEST(got.ok() == (sent == whole.size()));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
