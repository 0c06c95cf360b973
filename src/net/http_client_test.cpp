#include "net/http_client.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <netinet/in.h>
#include <unistd.h>

#include <map>
#include <optional>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(http_client_test)

using test::peer_server;
using test::peer_socket;
using test::run_pending;
using test::run_until;

constexpr duration soon = std::chrono::milliseconds(30);

struct outcome
{
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<verdict> run; // set when failed
    std::string reason;

    bool done() const
    {
        return ended || run.has_value();
    }
};

struct fixture
{
    explicit fixture(http_client_limits limits = {})
        : client({[this](exchange_id e, int status, header_list const&)
                  { outcomes[e].status = status; },
                  [this](exchange_id e, std::string const& bytes)
                  { outcomes[e].body += bytes; },
                  [this](exchange_id e) { outcomes[e].ended = true; },
                  [this](exchange_id e, verdict run, std::string const& reason)
                  {
                      outcomes[e].run = run;
                      outcomes[e].reason = reason;
                  }},
                 limits)
    {
    }

    // Sends a POST and waits until `count` of them have arrived over all.
    void post(exchange_id e, std::size_t count,
              http_timeouts const& timeouts = {})
    {
        client.send(e, upstream.address(), {"", "POST", "/p", {}, "body"},
                    timeouts);
        BOOST_REQUIRE(
            run_until([&] { return upstream.count("\r\n\r\nbody") >= count; }));
    }

    peer_socket& connection(std::size_t index)
    {
        return *upstream.connections.at(index);
    }

    outcome const& wait(exchange_id e)
    {
        BOOST_REQUIRE(run_until([&] { return outcomes[e].done(); }));
        return outcomes[e];
    }

    peer_server upstream;
    std::map<exchange_id, outcome> outcomes;
    http_client client;
};

std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// -- Answers

enum class ending : std::uint8_t
{
    open,
    close,
    reset,
};

struct answer_case
{
    char const* name;
    std::string bytes;
    ending how;
    std::string body;              // what is reported
    char const* failure = nullptr; // reason, or none: the answer is whole
};

// Header fields of 100 kB without the empty line that ends them.
std::string endless_fields()
{
    std::string fields;
    while (fields.size() < 100'000)
    {
        fields += "X: " + std::string(1'000, 'x') + "\r\n";
    }
    return fields;
}

std::vector<answer_case> answer_cases()
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    std::string interims;
    for (int i = 0; i < 17; ++i)
    {
        interims += interim;
    }
    return {
        {"length", ok, ending::open, "ok"},
        {"chunks", chunked + "2\r\nok\r\n0\r\n\r\n", ending::open, "ok"},
        {"close", head + "\r\nok", ending::close, "ok"},
        {"204", "HTTP/1.1 204 No Content\r\n\r\n", ending::open, ""},
        {"interim", interim + ok, ending::open, "ok"},
        {"length, then closed at once", ok, ending::close, "ok"},
        {"length cut short", head + "Content-Length: 3\r\n\r\nok",
         ending::close, "ok", "answer_cut"},
        {"chunk cut short", chunked + "3\r\nok", ending::close, "ok",
         "answer_cut"},
        {"last chunk missing", chunked + "2\r\nok\r\n", ending::close, "ok",
         "answer_cut"},
        {"close by a reset", head + "\r\nok", ending::reset, "ok",
         "answer_cut"},
        {"head cut short", head, ending::close, "", "connection_lost"},
        {"no byte", "", ending::close, "", "connection_lost"},
        {"no byte, reset", "", ending::reset, "", "connection_lost"},
        {"interim only", interim, ending::close, "", "connection_lost"},
        {"not HTTP", "hello\r\n\r\n", ending::open, "", "malformed_answer"},
        {"endless interims", interims, ending::open, "", "malformed_answer"},
        {"protocol switch",
         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", ending::open,
         "", "malformed_answer"},
        {"endless head", head + "X: " + std::string(100'000, 'x'), ending::open,
         "", "malformed_answer"},
        {"length beyond all memory",
         head + "Content-Length: 800000000000000\r\n\r\nok", ending::close,
         "ok", "answer_cut"},
        {"length of all digits",
         head + "Content-Length: 18446744073709551615\r\n\r\nok", ending::close,
         "ok", "answer_cut"},
        {"length beyond all numbers",
         head + "Content-Length: 18446744073709551616\r\n\r\nok", ending::close,
         "", "malformed_answer"},
        {"chunk beyond all memory", chunked + "ffffffffffffffff\r\nok",
         ending::close, "ok", "answer_cut"},
        {"unknown transfer coding", head + "Transfer-Encoding: gzip\r\n\r\nok",
         ending::close, "", "malformed_answer"},
        {"transfer coding beside a length",
         head + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
         ending::open, "", "malformed_answer"},
        {"two transfer codings",
         head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         ending::open, "", "malformed_answer"},
        {"endless size of a chunk", chunked + std::string(100'000, '1'),
         ending::open, "", "malformed_answer"},
        {"endless extension of a chunk",
         chunked + "2;x=" + std::string(100'000, 'x'), ending::open, "",
         "malformed_answer"},
        {"endless trailer", chunked + "0\r\n" + endless_fields(), ending::open,
         "", "malformed_answer"},
    };
}

void end_connection(peer_socket& connection, ending how)
{
    if (how == ending::close)
    {
        connection.close();
    }
    else if (how == ending::reset)
    {
        connection.reset();
    }
}

// A listening socket whose queue is full, so that connecting hangs.
class full_listener
{
public:
    full_listener() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        BOOST_REQUIRE(::bind(listener_, generic, size) == 0);
        BOOST_REQUIRE(::listen(listener_, 0) == 0);
        BOOST_REQUIRE(::getsockname(listener_, generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        fill(generic, size);
    }

    ~full_listener()
    {
        for (int const each : fillers_)
        {
            ::close(each);
        }
        ::close(listener_);
    }

    full_listener(full_listener const&) = delete;
    full_listener& operator=(full_listener const&) = delete;

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", port_);
    }

private:
    void fill(sockaddr const* address, socklen_t size)
    {
        constexpr int enough = 8;
        for (int i = 0; i < enough; ++i)
        {
            fillers_.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            // Those beyond the queue stay in progress.
            static_cast<void>(::connect(fillers_.back(), address, size));
        }
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::vector<int> fillers_;
};

BOOST_AUTO_TEST_SUITE(a_request_is_sent_at_most_once)

BOOST_AUTO_TEST_CASE(when_a_fresh_connection_ends_without_an_answer)
{
    for (bool const by_reset : {false, true})
    {
        BOOST_TEST_CONTEXT(by_reset)
        {
            fixture f;
            f.post(1, 1);
            end_connection(f.connection(0),
                           by_reset ? ending::reset : ending::close);
            BOOST_TEST((f.wait(1).run == verdict::may_have_run));
            BOOST_TEST(f.outcomes[1].reason == "connection_lost");
            run_pending();
            BOOST_TEST(f.upstream.count("POST") == 1U);
            BOOST_TEST(f.upstream.connections.size() == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(when_a_reused_connection_ends_without_an_answer)
{
    for (bool const by_reset : {false, true})
    {
        BOOST_TEST_CONTEXT(by_reset)
        {
            fixture f;
            f.post(1, 1);
            f.connection(0).send(ok);
            BOOST_TEST(f.wait(1).ended);
            f.post(2, 2);
            BOOST_REQUIRE(f.upstream.connections.size() == 1U);
            end_connection(f.connection(0),
                           by_reset ? ending::reset : ending::close);
            BOOST_TEST((f.wait(2).run == verdict::may_have_run));
            run_pending();
            BOOST_TEST(f.upstream.count("POST") == 2U);
            BOOST_TEST(f.upstream.connections.size() == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(on_a_fresh_connection_when_the_idle_one_was_closed)
{
    for (bool const noticed : {false, true})
    {
        BOOST_TEST_CONTEXT(noticed)
        {
            fixture f;
            f.post(1, 1);
            f.connection(0).send(ok);
            BOOST_TEST(f.wait(1).ended);
            BOOST_TEST(f.client.idle_connections() == 1U);
            f.connection(0).close();
            if (noticed)
            {
                BOOST_TEST(run_until(
                    [&] { return f.client.idle_connections() == 0; }));
            }
            f.post(2, 2);
            BOOST_REQUIRE(f.upstream.connections.size() == 2U);
            f.connection(1).send(ok);
            BOOST_TEST(f.wait(2).ended);
            BOOST_TEST(f.upstream.count("POST") == 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(and_not_at_all_when_nothing_listens)
{
    fixture f;
    std::string address;
    {
        peer_server gone;
        address = gone.address();
    }
    f.client.send(1, address, {"", "POST", "/p", {}, "body"});
    BOOST_TEST(f.outcomes.empty()); // not from inside send
    BOOST_TEST((f.wait(1).run == verdict::not_run));
    BOOST_TEST(f.outcomes[1].reason == "connect_failed");
}

BOOST_AUTO_TEST_CASE(and_not_at_all_to_a_malformed_address)
{
    for (std::string const& address :
         std::vector<std::string>{"", "host", "1.2.3.4", "1.2.3.4:0",
                                  "1.2.3.4:x", "localhost:80", "1.2.3.4:70000"})
    {
        BOOST_TEST_CONTEXT(address)
        {
            fixture f;
            f.client.send(1, address, {"", "GET", "/", {}, ""});
            BOOST_TEST(f.outcomes.empty());
            BOOST_TEST((f.wait(1).run == verdict::not_run));
            BOOST_TEST(f.outcomes[1].reason == "bad_address");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(concurrency_is_the_users)

BOOST_AUTO_TEST_CASE(twenty_requests_run_at_once)
{
    fixture f;
    for (exchange_id e = 1; e <= 20; ++e)
    {
        f.client.send(e, f.upstream.address(), {"", "POST", "/p", {}, "body"});
    }
    BOOST_REQUIRE(run_until([&] { return f.upstream.count("body") == 20; }));
    for (auto const& each : f.upstream.connections)
    {
        each->send(ok);
    }
    for (exchange_id e = 1; e <= 20; ++e)
    {
        BOOST_TEST(f.wait(e).ended);
    }
}

BOOST_AUTO_TEST_CASE(idle_connections_are_bounded_and_expire)
{
    fixture f({.idle_connections_per_address = 2, .idle_lifetime = soon});
    for (exchange_id e = 1; e <= 5; ++e)
    {
        f.client.send(e, f.upstream.address(), {"", "POST", "/p", {}, "body"});
    }
    BOOST_REQUIRE(run_until([&] { return f.upstream.count("body") == 5; }));
    for (auto const& each : f.upstream.connections)
    {
        each->send(ok);
    }
    for (exchange_id e = 1; e <= 5; ++e)
    {
        BOOST_TEST(f.wait(e).ended);
        BOOST_TEST(f.client.idle_connections() <= 2U);
    }
    BOOST_TEST(run_until([&] { return f.client.idle_connections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(are_whole_or_failed)
{
    for (answer_case const& row : answer_cases())
    {
        BOOST_TEST_CONTEXT(row.name)
        {
            fixture f;
            f.post(1, 1);
            f.connection(0).send(row.bytes);
            if (row.how == ending::reset)
            {
                // A reset discards what the client has not read yet.
                run_until([&] { return f.outcomes[1].body == row.body; });
            }
            end_connection(f.connection(0), row.how);
            outcome const& result = f.wait(1);
            BOOST_TEST(result.body == row.body);
            BOOST_TEST(result.ended == (row.failure == nullptr));
            if (row.failure != nullptr)
            {
                BOOST_TEST(result.reason == row.failure);
                BOOST_TEST((result.run == verdict::may_have_run));
            }
            BOOST_TEST(f.client.in_progress() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(are_the_same_for_any_split_of_their_bytes)
{
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const chunked =
        interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    // A head with a length that arrived before its body was malformed.
    std::string const of_known_length =
        interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
    for (std::string const& bytes : {chunked, of_known_length})
    {
        fixture f;
        for (std::size_t split = 0; split <= bytes.size(); ++split)
        {
            f.post(split, split + 1);
            f.connection(0).send(bytes.substr(0, split));
            run_pending();
            f.connection(0).send(bytes.substr(split));
            BOOST_TEST(f.wait(split).ended);
            BOOST_TEST(f.outcomes[split].status == 200);
            BOOST_TEST(f.outcomes[split].body == "abcde");
        }
        BOOST_TEST(f.upstream.connections.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(to_head_have_no_body)
{
    fixture f;
    f.client.send(1, f.upstream.address(), {"", "HEAD", "/", {}, ""});
    BOOST_REQUIRE(run_until([&] { return f.upstream.count("HEAD") == 1; }));
    f.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    BOOST_TEST(f.wait(1).ended);
}

BOOST_AUTO_TEST_CASE(a_connection_with_bytes_too_many_is_not_reused)
{
    fixture f;
    f.post(1, 1);
    f.connection(0).send(ok + ok);
    BOOST_TEST(f.wait(1).body == "ok");
    BOOST_TEST(f.client.idle_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(of_a_cancelled_request_are_not_reported)
{
    fixture f;
    f.post(1, 1);
    f.client.cancel(1);
    BOOST_TEST(run_until([&] { return f.connection(0).closed; }));
    f.client.send(2, f.upstream.address(), {"", "GET", "/", {}, ""});
    f.client.cancel(2);
    run_pending();
    BOOST_TEST(f.outcomes.empty());
    BOOST_TEST(f.client.in_progress() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(timeouts)

BOOST_AUTO_TEST_CASE(of_the_connect_say_not_run)
{
    fixture f;
    full_listener const listener;
    f.client.send(1, listener.address(), {"", "POST", "/p", {}, "body"},
                  {.connect = soon});
    BOOST_TEST((f.wait(1).run == verdict::not_run));
    BOOST_TEST(f.outcomes[1].reason == "connect_timeout");
}

BOOST_AUTO_TEST_CASE(of_the_head_say_may_have_run)
{
    fixture f;
    f.post(1, 1, {.head = soon});
    BOOST_TEST((f.wait(1).run == verdict::may_have_run));
    BOOST_TEST(f.outcomes[1].reason == "head_timeout");
}

BOOST_AUTO_TEST_CASE(of_a_piece_say_may_have_run)
{
    fixture f;
    f.post(1, 1, {.piece = soon});
    f.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    BOOST_TEST((f.wait(1).run == verdict::may_have_run));
    BOOST_TEST(f.outcomes[1].reason == "piece_timeout");
    BOOST_TEST(f.outcomes[1].body == "ab");
}

// Guards against an answer that is awaited without end because a byte of it
// comes now and then.
BOOST_AUTO_TEST_CASE(of_a_whole_answer_are_not_put_off_by_its_bytes)
{
    fixture f;
    f.post(1, 1, {.piece = 4 * soon, .whole = 12 * soon});
    f.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
    QTimer drip;
    QObject::connect(&drip, &QTimer::timeout, &drip,
                     [&] { f.connection(0).send("x"); });
    drip.start(std::chrono::duration_cast<std::chrono::milliseconds>(soon));
    BOOST_TEST((f.wait(1).run == verdict::may_have_run));
    BOOST_TEST(f.outcomes[1].reason == "answer_timeout");
    BOOST_TEST(!f.outcomes[1].body.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(back_pressure)

BOOST_AUTO_TEST_CASE(holds_the_answer_until_it_is_resumed)
{
    fixture f;
    f.post(1, 1);
    f.client.pause(1);
    f.connection(0).send(ok);
    f.connection(0).close();
    run_pending();
    BOOST_TEST(!f.outcomes[1].done());
    BOOST_TEST(f.outcomes[1].body.empty());
    f.client.resume(1);
    BOOST_TEST(!f.outcomes[1].done()); // not from inside resume
    BOOST_TEST(f.wait(1).ended);
    BOOST_TEST(f.outcomes[1].body == "ok");
}

BOOST_AUTO_TEST_CASE(reaches_the_upstream_with_bounded_memory)
{
    constexpr std::size_t size = std::size_t{64} << 20;
    fixture f({.read_buffer_bytes = std::size_t{64} << 10});
    f.post(1, 1);
    f.client.pause(1);
    f.connection(0).send(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
        "\r\n\r\n" + std::string(size, 'x'));
    run_pending();
    // The kernel's buffers and the client's hold a few MiB, not the rest.
    BOOST_TEST(f.connection(0).socket().bytesToWrite() >
               static_cast<qint64>(size / 2));
    f.client.resume(1);
    BOOST_TEST(f.wait(1).ended);
    BOOST_TEST(f.outcomes[1].body.size() == size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
