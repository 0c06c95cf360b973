// The memory of the bodies of requests in progress.
#include "core/request_path.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

struct bounded_service
{
    bounded_service()
        : path(
              options(), [this](command const& what) { take(what); },
              [](std::string const&) {})
    {
        auto tables = std::make_shared<routing_tables>();
        route_spec route;
        route.prefix = std::string("/");
        route.service = std::string("desk");
        tables->routes.push_back(route);
        path.set_routing_tables(now, tables);
        upstream_listed entry;
        entry.upstream.name = std::string("desk-1");
        entry.upstream.service = std::string("desk");
        path.handle(now, entry);
    }

    static request_path_options options()
    {
        request_path_options result;
        result.vm = std::string("vm");
        result.records_requests = false;
        result.max_request_bytes = 100;
        return result;
    }

    void take(command const& what)
    {
        if (auto const* attempt = std::get_if<start_attempt>(&what))
        {
            started.push_back(attempt->attempt);
        }
        if (auto const* refused = std::get_if<answer_refusal>(&what))
        {
            refusals.push_back(refused->why.reason);
        }
    }

    void ask(std::string const& id, std::size_t body)
    {
        call request;
        request.id = id;
        request.method = std::string("POST");
        request.target = std::string("/");
        request.body.assign(body, 'x');
        path.handle(now, call_received{request});
    }

    time_point now = from_micros(1'000'000'000);
    std::vector<attempt_id> started;
    std::vector<std::string> refusals;
    request_path path;
};

} // namespace

// Guards against bodies within their limits that take a process over its
// memory: one is held for a repeat while its copy waits to be written.
BOOST_FIXTURE_TEST_CASE(a_body_counts_for_itself_and_for_its_copy_on_the_way,
                        bounded_service)
{
    ask("first", 30);
    BOOST_REQUIRE(started.size() == 1U);
    ask("second", 30);
    BOOST_TEST(started.size() == 1U);
    BOOST_REQUIRE(refusals.size() == 1U);
    BOOST_TEST(refusals[0] == "vm_full");
    path.handle(now, upstream_head{started[0], 200, {}});
    path.handle(now, upstream_end{started[0]});
    ask("third", 30);
    BOOST_TEST(started.size() == 2U);
}

} // namespace amarantharch
