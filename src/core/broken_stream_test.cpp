// Event streams whose answers have neither a length nor chunks, so that the end
// of the connection ends them.
#include "core/request_path.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

// A request path before two engines, with one route of event streams.
struct stream_service
{
    stream_service()
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = std::string("/");
        route.service = std::string("pool");
        route.kind = upstream_kind::engine;
        route.idempotent = false;
        route.event_stream = true;
        route.max_attempts = 1;
        tables->routes.push_back(route);
        path.set_routing_tables(now, tables);
        for (char const* const name : {"engine-1", "engine-2"})
        {
            upstream_listed entry;
            entry.upstream.name = name;
            entry.upstream.service = std::string("pool");
            entry.upstream.kind = upstream_kind::engine;
            entry.incarnation = 1;
            path.handle(now, entry);
        }
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = std::string("vm");
        result.records_requests = false;
        // One lost connection proves no crash, so that a check is needed.
        result.crashes.quorum = 2;
        return result;
    }

    void take(command const& what)
    {
        if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            started = attempt->attempt;
        }
        if (auto const* refused = std::get_if<answer_refusal>(&what))
        {
            refusal_status = refused->why.status;
        }
        if (auto const* check = std::get_if<check_upstream>(&what))
        {
            checked.push_back(check->upstream);
        }
        ended = ended || std::holds_alternative<answer_end>(what);
    }

    // Sends a stream that an engine begins to answer.
    void begin(std::optional<std::uint64_t> resume_after = std::nullopt)
    {
        call request;
        request.id = std::string("r");
        request.method = std::string("POST");
        request.target = std::string("/");
        request.metadata.resume_after = resume_after;
        path.handle(now, call_received{request});
        path.handle(now, upstream_head{started, 200, {}});
    }

    void piece(std::string const& bytes)
    {
        path.handle(now, upstream_piece{started, bytes});
    }

    void end()
    {
        path.handle(now, upstream_end{started});
    }

    time_point now = from_micros(1'000'000'000);
    attempt_id started = 0;
    std::optional<int> refusal_status;
    std::vector<std::string> checked;
    bool ended = false;
    request_path path;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_stream_that_ends_with_its_connection, stream_service)

BOOST_AUTO_TEST_CASE(is_whole_after_an_event)
{
    begin();
    piece("id: 1\ndata: x\n\n");
    end();
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(is_broken_off_inside_an_event)
{
    begin();
    piece("id: 1\ndata: x\n\nid: 2\nda");
    end();
    BOOST_TEST(!ended);
    BOOST_TEST(refusal_status.has_value());
    BOOST_TEST(!checked.empty());
}

BOOST_AUTO_TEST_CASE(is_broken_off_before_its_first_event)
{
    begin();
    end();
    BOOST_TEST(!ended);
    BOOST_TEST(refusal_status.has_value());
    BOOST_TEST(!checked.empty());
}

BOOST_AUTO_TEST_CASE(may_have_no_event_left_if_it_was_resumed)
{
    begin(17);
    end();
    BOOST_TEST(ended);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
