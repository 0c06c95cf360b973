// Contract tests of the clients of the platform and of the engines: what each
// call sends, and what it makes of each answer, as tables.
#include "net/engine_client.hpp"
#include "net/log_transport.hpp"
#include "net/platform_client.hpp"

#include "net/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <optional>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(platform_test)

using test::peer_server;
using test::run_until;

constexpr duration timeout = std::chrono::seconds(10);
constexpr duration soon = std::chrono::milliseconds(30);

std::string answer(std::string const& status, std::string const& body)
{
    return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status,
                       body.size(), body);
}

// Waits for a whole request, gives it `reply`, or closes if that is empty.
std::string serve(peer_server& server, std::string const& reply)
{
    BOOST_REQUIRE(run_until(
        [&]
        {
            return !server.connections.empty() &&
                   server.connections.back()->got("\r\n\r\n");
        }));
    test::peer_socket& connection = *server.connections.back();
    if (reply.empty())
    {
        connection.close();
    }
    connection.send(reply);
    return connection.received;
}

template <typename Result>
struct waiting
{
    auto callback()
    {
        return [this](Result r)
        {
            result = std::move(r);
        };
    }

    Result const& wait()
    {
        BOOST_REQUIRE(run_until([&] { return result.has_value(); }));
        return *result;
    }

    std::optional<Result> result;
};

BOOST_AUTO_TEST_SUITE(log_appends)

struct append_case
{
    char const* name;
    std::string reply; // empty: the connection is closed
    append_outcome outcome;
    log_offset offset = 0;
    duration retry_after = duration::zero();
};

std::vector<append_case> append_cases()
{
    using std::chrono::seconds;
    return {
        {"stored", answer("200 OK", R"({"offset":7,"more":1})"),
         append_outcome::stored, 7},
        {"over the rate",
         "HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
         append_outcome::refused, 0, seconds(3)},
        {"outage", answer("503 Unavailable", ""), append_outcome::refused, 0,
         seconds(1)},
        {"answer lost", "", append_outcome::unknown},
        {"answer cut",
         "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"offset\":7",
         append_outcome::unknown},
        {"answer malformed", answer("200 OK", "offset 7"),
         append_outcome::unknown},
        {"offset missing", answer("200 OK", "{}"), append_outcome::unknown},
        {"fault", answer("500 Fault", ""), append_outcome::unknown},
    };
}

BOOST_AUTO_TEST_CASE(have_the_outcome_that_the_answer_shows)
{
    for (append_case const& row : append_cases())
    {
        BOOST_TEST_CONTEXT(row.name)
        {
            peer_server server;
            log_transport log(server.address(), soon * 4);
            waiting<append_result> call;
            log.append(log_stream::requests, "payload", call.callback());
            std::string const sent = serve(server, row.reply);
            BOOST_TEST(sent.starts_with(
                "POST /v1/streams/requests/records HTTP/1.1\r\n"));
            BOOST_TEST(sent.ends_with("\r\n\r\npayload"));
            append_result const& result = call.wait();
            BOOST_TEST((result.outcome == row.outcome));
            BOOST_TEST(result.offset == row.offset);
            BOOST_TEST((result.retry_after == row.retry_after));
            BOOST_TEST(server.count("POST") == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(are_not_sent_when_nothing_listens)
{
    log_transport log("127.0.0.1:1", timeout);
    waiting<append_result> call;
    log.append(log_stream::control, "payload", call.callback());
    BOOST_TEST((call.wait().outcome == append_outcome::not_sent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(log_reads)

BOOST_AUTO_TEST_CASE(give_offsets_and_payloads)
{
    peer_server server;
    log_transport log(server.address(), timeout);
    waiting<absl::StatusOr<log_read_result>> call;
    log.read({log_stream::control, 5, 1000, std::chrono::milliseconds(250)},
             call.callback());
    // [3, 9, [[5, 1000, "a"], [8, 2000, "b", "later"]], "later"]
    std::string const body = "\x94\x03\x09\x92\x93\x05\xcd\x03\xe8\xa1"
                             "a\x94\x08\xcd\x07\xd0\xa1"
                             "b\xa5later\xa5later";
    std::string const sent = serve(server, answer("200 OK", body));
    BOOST_TEST(sent.starts_with("GET /v1/streams/control/records?from=5&"
                                "max_bytes=1000&wait_ms=250 HTTP/1.1\r\n"));
    auto const& result = call.wait();
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(result->first_retained == 3U);
    BOOST_TEST(result->end == 9U);
    BOOST_REQUIRE(result->records.size() == 2U);
    BOOST_TEST(result->records[0].offset == 5U);
    BOOST_TEST((result->records[0].time == from_micros(1000)));
    BOOST_TEST(result->records[1].offset == 8U);
    BOOST_TEST(result->records[1].payload == "b");
}

BOOST_AUTO_TEST_CASE(fail_on_what_cannot_be_a_read)
{
    std::vector<std::string> const bodies{
        "",
        "text",
        "\x90",                                               // no bounds
        "\x93\x09\x03\x90",                                   // bounds crossed
        "\x93\x01\x09\x92\x93\x05\x01\xa1x\x93\x05\x01\xa1x", // repeated
        "\x93\x01\x09\x91\x93\x09\x01\xa1x",                  // beyond the end
        "\x93\x03\x09\x91\x93\x02\x01\xa1x",                  // not retained
        "\x93\x01\x09\xdd\xff\xff\xff\xff", // four billion records
    };
    for (std::string const& body : bodies)
    {
        BOOST_TEST((decode_log_read(body).status().code() ==
                    absl::StatusCode::kDataLoss));
    }
}

BOOST_AUTO_TEST_CASE(fail_as_unavailable_in_an_outage)
{
    for (std::string const& reply :
         {std::string(), answer("503 Unavailable", "")})
    {
        peer_server server;
        log_transport log(server.address(), timeout);
        waiting<absl::StatusOr<log_read_result>> call;
        log.read({}, call.callback());
        serve(server, reply);
        BOOST_TEST(absl::IsUnavailable(call.wait().status()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_calls)

struct fixture
{
    peer_server server;
    platform_client platform{server.address(), timeout};
};

BOOST_AUTO_TEST_CASE(list_the_vms_of_known_kinds)
{
    fixture f;
    waiting<absl::StatusOr<std::vector<listed_vm>>> call;
    f.platform.list_vms(call.callback());
    std::string const sent = serve(f.server, answer("200 OK", R"({"vms":[
        {"vm":"u1","kind":"upstream","address":"127.0.0.1:9","class":"gpu",
         "failure_domain":"asan","state":"live","reclaimable":true,
         "price":0.5},
        {"vm":"e1","kind":"entry","state":"leaving"},
        {"vm":"n1","kind":"new kind"}, {"kind":"entry"}, 7]})"));
    BOOST_TEST(sent.starts_with("GET /v1/vms HTTP/1.1\r\n"));
    auto const& vms = call.wait();
    BOOST_REQUIRE(vms.ok());
    BOOST_REQUIRE(vms->size() == 2U);
    listed_vm const& first = vms->at(0);
    BOOST_TEST(first.vm == "u1");
    BOOST_TEST((first.kind == vm_kind::upstream));
    BOOST_TEST(first.address == "127.0.0.1:9");
    BOOST_TEST(first.machine_class == "gpu");
    BOOST_TEST(first.failure_domain == "asan");
    BOOST_TEST((first.state == vm_state::live));
    BOOST_TEST(first.reclaimable);
    BOOST_TEST(first.price == 0.5);
    BOOST_TEST((vms->at(1).state == vm_state::leaving));
}

BOOST_AUTO_TEST_CASE(tell_of_a_notice_or_of_none)
{
    for (std::int64_t const at :
         {std::int64_t{0}, std::int64_t{1700000000000001}})
    {
        fixture f;
        waiting<absl::StatusOr<std::optional<time_point>>> call;
        f.platform.notice("vm 1", call.callback());
        std::string const body =
            at == 0 ? "{}" : fmt::format("{{\"reclaim_at_us\":{}}}", at);
        std::string const sent = serve(f.server, answer("200 OK", body));
        BOOST_TEST(sent.starts_with("GET /v1/notices?vm=vm%201 "));
        auto const& notice = call.wait();
        BOOST_REQUIRE(notice.ok());
        BOOST_TEST(notice->has_value() == (at != 0));
        BOOST_TEST(to_micros(notice->value_or(from_micros(0))) == at);
    }
}

struct start_case
{
    char const* name;
    std::string reply;
    absl::StatusCode code;
};

BOOST_AUTO_TEST_CASE(start_a_machine_or_say_why_not)
{
    std::vector<start_case> const cases{
        {"started", answer("200 OK", R"({"vm":"u9","state":"starting"})"),
         absl::StatusCode::kOk},
        {"refused", answer("409 Conflict", R"({"reason":"no_capacity"})"),
         absl::StatusCode::kResourceExhausted},
        {"answer lost", "", absl::StatusCode::kUnknown},
        {"nameless", answer("200 OK", "{}"), absl::StatusCode::kDataLoss},
        {"outage", answer("503 X", ""), absl::StatusCode::kUnavailable},
        {"fault", answer("500 X", ""), absl::StatusCode::kInternal},
    };
    for (start_case const& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name)
        {
            fixture f;
            waiting<absl::StatusOr<std::string>> call;
            f.platform.start_machine({"o1", 42, "gpu", "asan", true},
                                     call.callback());
            std::string const sent = serve(f.server, row.reply);
            BOOST_TEST(sent.ends_with(
                R"({"class":"gpu","failure_domain":"asan","fence":42,)"
                R"("order":"o1","reclaimable":true})"));
            BOOST_TEST((call.wait().status().code() == row.code));
            BOOST_TEST(f.server.count("POST /v1/machines ") == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(list_and_stop_machines)
{
    fixture f;
    waiting<absl::StatusOr<std::vector<machine_entry>>> call;
    f.platform.list_machines(call.callback());
    serve(f.server, answer("200 OK", R"({"machines":[{"vm":"u9","order":"o1",
        "state":"starting"}]})"));
    BOOST_REQUIRE(call.wait().ok());
    BOOST_TEST(call.wait()->at(0).order == "o1");

    fixture g;
    waiting<absl::Status> stop;
    g.platform.stop_machine("u9", 43, stop.callback());
    std::string const sent = serve(g.server, answer("200 OK", ""));
    BOOST_TEST(sent.starts_with("DELETE /v1/machines/u9?fence=43 "));
    BOOST_TEST(stop.wait().ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(engine_calls)

struct fixture
{
    peer_server server;
    engine_client engine{timeout};
    std::string address = server.address();
};

BOOST_AUTO_TEST_CASE(report_load)
{
    fixture f;
    waiting<absl::StatusOr<engine_load>> call;
    f.engine.load(f.address, call.callback());
    serve(f.server, answer("200 OK", R"({"time_us":5,"running":2,"waiting":-1,
        "tokens_per_second":80.5,"cache_blocks_used":3,"cache_blocks":9,
        "versions":["a","b"],"role":"prefill"})"));
    auto const& load = call.wait();
    BOOST_REQUIRE(load.ok());
    BOOST_TEST((load->time == from_micros(5)));
    BOOST_TEST(load->running == 2U);
    BOOST_TEST(load->waiting == 0U);
    BOOST_TEST(load->tokens_per_second == 80.5);
    BOOST_TEST(load->cache_blocks == 9U);
    BOOST_TEST(load->versions.size() == 2U);
    BOOST_TEST(load->role == "prefill");
}

BOOST_AUTO_TEST_CASE(report_cache_events)
{
    fixture f;
    waiting<absl::StatusOr<engine_cache_events>> call;
    f.engine.events(f.address, 4, call.callback());
    std::string const sent = serve(f.server, answer("200 OK", R"({"events":[
        {"sequence":4,"kind":"stored","block":"x"},
        {"sequence":6,"kind":"evicted","block":"y"},
        {"sequence":7,"kind":"later"}],"next":8})"));
    BOOST_TEST(sent.starts_with("GET /engine/cache_events?from=4 "));
    auto const& events = call.wait();
    BOOST_REQUIRE(events.ok());
    BOOST_TEST(events->next == 8U);
    BOOST_REQUIRE(events->events.size() == 2U);
    BOOST_TEST((events->events[1].kind == engine_cache_event_kind::evicted));
    BOOST_TEST(events->events[1].block == "y");
}

BOOST_AUTO_TEST_CASE(take_an_order_or_refuse_an_old_fence)
{
    std::pair<std::string, absl::StatusCode> const cases[] = {
        {answer("200 OK", R"({"applied":true})"), absl::StatusCode::kOk},
        {answer("409 Conflict", R"({"fence":9})"),
         absl::StatusCode::kFailedPrecondition},
        {"", absl::StatusCode::kUnknown}};
    for (auto const& [reply, code] : cases)
    {
        fixture f;
        waiting<absl::Status> call;
        f.engine.order(f.address,
                       {8, engine_order_kind::load, "v2", "", "decode"},
                       call.callback());
        std::string const sent = serve(f.server, reply);
        BOOST_TEST(sent.starts_with("POST /engine/orders "));
        BOOST_TEST(sent.ends_with(
            R"({"fence":8,"kind":"load","role":"decode","version":"v2"})"));
        BOOST_TEST((call.wait().code() == code));
    }
}

BOOST_AUTO_TEST_CASE(cancel_streams_and_move_blocks)
{
    fixture f;
    waiting<absl::Status> cancel;
    f.engine.cancel_stream(f.address, "a/b", cancel.callback());
    std::string sent = serve(f.server, answer("200 OK", ""));
    BOOST_TEST(sent.starts_with("DELETE /engine/streams/a%2Fb "));
    BOOST_TEST(cancel.wait().ok());

    fixture g;
    waiting<absl::StatusOr<std::string>> exported;
    g.engine.export_block(g.address, "k1", exported.callback());
    sent = serve(g.server, answer("404 Not Found", ""));
    BOOST_TEST(sent.starts_with("GET /engine/kv/k1 "));
    BOOST_TEST(absl::IsNotFound(exported.wait().status()));

    fixture h;
    waiting<absl::Status> imported;
    h.engine.import_block(h.address, "k1", "bytes", imported.callback());
    sent = serve(h.server, answer("200 OK", ""));
    BOOST_TEST(sent.starts_with("PUT /engine/kv/k1 "));
    BOOST_TEST(sent.ends_with("\r\n\r\nbytes"));
    BOOST_TEST(imported.wait().ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
