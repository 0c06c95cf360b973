// A server that stops in the middle of an answer, at each of its bytes.
//
// Whatever has arrived, the answer is reported as ended only if the server sent
// all of it; a head is reported only if its empty line came.
#include "net/engine_client.hpp"
#include "net/http_client.hpp"
#include "net/http_request.hpp"
#include "net/log_transport.hpp"
#include "net/platform_client.hpp"
#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using test::peer_server;
using test::peer_socket;
using test::run_pending;
using test::run_until;

enum class ending : std::uint8_t
{
    close,
    reset,
};

constexpr std::array endings{ending::close, ending::reset};

void end_connection(peer_socket& connection, ending how)
{
    how == ending::close ? connection.close() : connection.reset();
}

struct outcome
{
    int status = 0;
    std::string body;
    bool ended = false;
    std::string failure;
};

// One client and one server of bytes; requests go one after another.
struct exchange_fixture
{
    exchange_fixture()
        : client({[this](exchange_id, int status, header_list const&)
                  { result.status = status; },
                  [this](exchange_id, std::string const& bytes)
                  { result.body += bytes; },
                  [this](exchange_id) { result.ended = true; },
                  [this](exchange_id, verdict, std::string const& reason)
                  {
                      result.failure = reason;
                  }})
    {
    }

    // Sends a request and waits until the server has it.
    void ask(std::string const& method)
    {
        result = {};
        std::size_t const before = server.count("/p HTTP/1.1");
        client.send(++last_exchange, server.address(),
                    {"", method, "/p", {}, ""});
        BOOST_REQUIRE(
            run_until([&] { return server.count("/p HTTP/1.1") > before; }));
    }

    outcome const& wait()
    {
        BOOST_REQUIRE(
            run_until([&] { return result.ended || !result.failure.empty(); }));
        return result;
    }

    peer_socket& connection() const
    {
        return *server.connections.back();
    }

    peer_server server;
    outcome result;
    exchange_id last_exchange = 0;
    http_client client;
};

struct answer_row
{
    char const* name;
    std::string before; // whole interim answers
    std::string head;   // with its empty line
    std::string body;
    char const* method = "GET";
    bool ended_by_close = false;
};

std::vector<answer_row> answer_rows()
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const stream = "Content-Type: text/event-stream\r\n";
    std::string const chunks = "Transfer-Encoding: chunked\r\n\r\n";
    std::string const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    std::string const go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const length = "Content-Length: 12\r\n\r\n";
    std::string const body = "twelve bytes";
    return {
        {"length", "", ok + length, body},
        {"length last but one", "", ok + "Content-Length: 12\r\nX: y\r\n\r\n",
         body},
        {"chunks", "", ok + chunks, "c\r\ntwelve bytes\r\n0\r\n\r\n"},
        {"chunks with extension and trailer", "", ok + chunks,
         "c;a=b\r\ntwelve bytes\r\n0\r\nX: y\r\n\r\n"},
        {"events", "", ok + stream + chunks,
         "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"},
        {"interim", early, ok + length, body},
        {"two interims", go_on + early, ok + chunks,
         "c\r\ntwelve bytes\r\n0\r\n\r\n"},
        {"no body", "", ok + "Content-Length: 0\r\n\r\n", ""},
        {"204", "", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", ""},
        {"304", "", "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n",
         ""},
        {"to HEAD", "", ok + length, "", "HEAD"},
        {"interim to HEAD", early, ok + chunks, "", "HEAD"},
        {"folded field", "", ok + "X: a\r\n b\r\n" + length, body},
        {"empty reason", "", "HTTP/1.1 200 \r\n" + length, body},
        {"1.0 with a length", "", "HTTP/1.0 200 OK\r\n" + length, body},
        {"a relaying VM's failure", "",
         "HTTP/1.1 502 Bad Gateway\r\nX-Relay-Failure: connection_lost\r\n"
         "X-Relay-Verdict: may_have_run\r\nX-Relay-Place: upstream\r\n"
         "Content-Length: 0\r\n\r\n",
         ""},
        {"ended by closing", "", ok + "X: y\r\n\r\n", body, "GET", true},
        {"1.0 ended by closing", "", "HTTP/1.0 200 OK\r\n\r\n", body, "GET",
         true},
    };
}

// What is allowed of an answer of which `sent` bytes came, followed by the
// end of its connection.
void check_cut(answer_row const& row, std::size_t sent, ending how,
               outcome const& result)
{
    std::size_t const head_end = row.before.size() + row.head.size();
    std::size_t const size = head_end + row.body.size();
    bool const head_whole = sent >= head_end;
    // RFC 9112, 8: the orderly close is the end of a body without framing.
    bool const whole =
        row.ended_by_close ? head_whole && how == ending::close : sent == size;
    if (!head_whole)
    {
        BOOST_TEST(result.status == 0);
        BOOST_TEST(result.failure == "connection_lost");
    }
    if (!whole)
    {
        BOOST_TEST(!result.ended);
        BOOST_TEST(!result.failure.empty());
    }
    else if (how == ending::close)
    {
        BOOST_TEST(result.ended);
    }
    if (row.ended_by_close && head_whole && how == ending::close)
    {
        BOOST_TEST(result.body == row.body.substr(0, sent - head_end));
    }
}

// Sends the first `sent` bytes of the answer and ends the connection. Bytes
// that a reset overtakes are lost, so they are given time to be read before.
void cut(exchange_fixture& f, answer_row const& row, std::size_t sent,
         ending how, bool at_once)
{
    std::string const answer = row.before + row.head + row.body;
    f.connection().send(answer.substr(0, sent));
    if (!at_once)
    {
        run_pending();
    }
    end_connection(f.connection(), how);
    BOOST_TEST_CONTEXT(row.name << ", " << sent << " bytes, "
                                << (how == ending::close ? "closed" : "reset")
                                << (at_once ? " at once" : " later"))
    {
        check_cut(row, sent, how, f.wait());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer_cut_at_any_byte)

BOOST_AUTO_TEST_SUITE(is_never_reported_as_whole)

BOOST_AUTO_TEST_CASE(on_a_fresh_connection)
{
    for (answer_row const& row : answer_rows())
    {
        std::size_t const size =
            row.before.size() + row.head.size() + row.body.size();
        for (std::size_t sent = 0; sent <= size; ++sent)
        {
            for (ending const how : endings)
            {
                for (bool const at_once : {true, false})
                {
                    exchange_fixture f;
                    f.ask(row.method);
                    cut(f, row, sent, how, at_once);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(on_a_connection_that_gave_whole_answers)
{
    std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (answer_row const& row : answer_rows())
    {
        std::size_t const size =
            row.before.size() + row.head.size() + row.body.size();
        for (std::size_t sent = 0; sent <= size; ++sent)
        {
            for (ending const how : endings)
            {
                exchange_fixture f;
                for (int earlier = 0; earlier < 2; ++earlier)
                {
                    f.ask("GET");
                    f.connection().send(ok);
                    BOOST_TEST(f.wait().ended);
                }
                f.ask(row.method);
                BOOST_REQUIRE(f.server.connections.size() == 1U);
                cut(f, row, sent, how, true);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

// A head in a form that the reader refuses isn't taken for another, however
// much of it comes.
BOOST_AUTO_TEST_CASE(has_no_head_where_its_form_is_not_known)
{
    std::string const framed_twice = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";
    for (std::string const& head : std::vector<std::string>{
             "HTTP/1.1 200 OK\nContent-Length: 12\n\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 12\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 1 2\r\n\r\n", framed_twice})
    {
        for (std::size_t sent = 0; sent <= head.size(); ++sent)
        {
            BOOST_TEST_CONTEXT(head.substr(0, sent))
            {
                exchange_fixture f;
                f.ask("GET");
                f.connection().send(head.substr(0, sent));
                f.connection().close();
                outcome const& result = f.wait();
                BOOST_TEST(!result.ended);
                BOOST_TEST(result.status == 0);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_reader_of_cut_answers)

// One call of a client, which lives as long as what is returned; `taken` is
// called with whether it took the answer for a success.
struct reader_row
{
    char const* name;
    std::string body; // of a whole answer, which is a success
    std::function<std::shared_ptr<void>(std::string const& address,
                                        std::function<void(bool)> taken)>
        call;
};

constexpr duration patience = std::chrono::seconds(5);

template <typename Client>
auto made(std::string const& address)
{
    return std::make_shared<Client>(address, patience);
}

std::vector<reader_row> reader_rows()
{
    std::string const of_log("\x93\x01\x02\x91\x93\x01\x05\xa1x", 9);
    return {
        {"load of an engine", R"({"time_us":1,"running":2})",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = std::make_shared<engine_client>(patience);
             client->load(address,
                          [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"cache events", R"({"next":4,"events":[]})",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = std::make_shared<engine_client>(patience);
             client->events(address, 0,
                            [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"block of a cache", "bytes of a block",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = std::make_shared<engine_client>(patience);
             client->export_block(
                 address, "b", [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"cancelled stream", "{}",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = std::make_shared<engine_client>(patience);
             client->cancel_stream(
                 address, "s", [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"read of the log", of_log,
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = made<log_transport>(address);
             client->read({}, [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"append to the log", R"({"offset":7})",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = made<log_transport>(address);
             client->append(log_stream{}, "r",
                            [taken](append_result const& got)
                            { taken(got.outcome == append_outcome::stored); });
             return client;
         }},
        {"list of VMs", R"({"vms":[]})",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = made<platform_client>(address);
             client->list_vms([taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"notice", R"({"reclaim_at_us":9})",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = made<platform_client>(address);
             client->notice("v", [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
        {"stop of a machine", "{}",
         [](std::string const& address, auto taken) -> std::shared_ptr<void>
         {
             auto const client = made<platform_client>(address);
             client->stop_machine(
                 "v", 1, [taken](auto const& got) { taken(got.ok()); });
             return client;
         }},
    };
}

std::vector<std::string> framed(std::string const& body)
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    return {
        fmt::format("{}Content-Length: {}\r\n\r\n{}", ok, body.size(), body),
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n"
                    "{:x}\r\n{}\r\n0\r\n\r\n",
                    ok, body.size(), body)};
}

BOOST_AUTO_TEST_CASE(takes_only_whole_ones_for_a_success)
{
    for (reader_row const& row : reader_rows())
    {
        for (std::string const& answer : framed(row.body))
        {
            for (std::size_t sent = 0; sent <= answer.size(); ++sent)
            {
                BOOST_TEST_CONTEXT(row.name << ": " << answer.substr(0, sent))
                {
                    peer_server server;
                    std::optional<bool> success;
                    auto const client = row.call(
                        server.address(), [&](bool taken) { success = taken; });
                    BOOST_REQUIRE(run_until(
                        [&] { return server.count("\r\n\r\n") > 0; }));
                    server.connections.at(0)->send(answer.substr(0, sent));
                    server.connections.at(0)->close();
                    BOOST_REQUIRE(
                        run_until([&] { return success.has_value(); }));
                    BOOST_TEST(*success == (sent == answer.size()));
                }
            }
        }
    }
}

// Guards against a reader that uses what arrived of an answer that failed.
BOOST_AUTO_TEST_CASE(is_given_nothing_of_an_answer_that_failed)
{
    for (std::string const& answer : framed(R"({"Running":0,"Waiting":0})"))
    {
        peer_server server;
        http_requester requester;
        std::optional<http_answer> got;
        requester.send(server.address(), {"", "GET", "/p", {}, ""},
                       {patience, patience, patience},
                       [&](http_answer each) { got = std::move(each); });
        BOOST_REQUIRE(run_until([&] { return server.count("/p") > 0; }));
        server.connections.at(0)->send(answer.substr(0, answer.size() - 1));
        server.connections.at(0)->close();
        BOOST_REQUIRE(run_until([&] { return got.has_value(); }));
        BOOST_TEST(got->status == 0);
        BOOST_TEST(got->reason == "answer_cut");
        BOOST_TEST(got->body.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
