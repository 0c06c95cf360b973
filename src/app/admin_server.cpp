#include "app/admin_server.hpp"

#include "app/log.hpp"

#include <fmt/format.h>

#include <charconv>

namespace amarantharch
{

namespace
{

constexpr http_server_limits admin_limits{
    .body_bytes = std::uint64_t{1} << 20,
    .body_memory_bytes = std::uint64_t{8} << 20,
    .connections = 64,
};
constexpr std::string_view drain_timeout_key = "timeout_ms=";
constexpr std::string_view json_type = "application/json";

struct request_parts
{
    std::string_view query;
    std::string const& body;
};

admin_answer json(int status, std::string body)
{
    return {status, std::string(json_type), std::move(body)};
}

admin_answer error(int status, std::string_view what)
{
    return json(status, fmt::format("{{\"error\":\"{}\"}}\n", what));
}

admin_answer health(admin_callbacks const&, request_parts const&)
{
    return json(200, "{\"healthy\":true}\n");
}

admin_answer ready(admin_callbacks const& callbacks, request_parts const&)
{
    if (!callbacks.ready)
    {
        return error(501, "not available");
    }
    readiness const state = callbacks.ready();
    return json(state.ready ? 200 : 503,
                fmt::format("{{\"ready\":{},\"reason\":\"{}\"}}\n", state.ready,
                            json_escape(state.reason)));
}

// The text that `callback` gives.
admin_answer shown(std::function<std::string()> const& callback,
                   std::string_view content_type)
{
    if (!callback)
    {
        return error(501, "not available");
    }
    return {200, std::string(content_type), callback()};
}

admin_answer status(admin_callbacks const& callbacks, request_parts const&)
{
    return shown(callbacks.status, json_type);
}

admin_answer timeline_text(admin_callbacks const& callbacks,
                           request_parts const&)
{
    return shown(callbacks.timeline, json_type);
}

admin_answer metrics_text(admin_callbacks const& callbacks,
                          request_parts const&)
{
    return shown(callbacks.metrics, "text/plain; version=0.0.4");
}

admin_answer drain(admin_callbacks const& callbacks,
                   request_parts const& request)
{
    std::string_view query = request.query;
    if (!callbacks.drain)
    {
        return error(501, "not available");
    }
    std::int64_t milliseconds = 0;
    if (!query.empty())
    {
        if (!query.starts_with(drain_timeout_key))
        {
            return error(400, "the query is timeout_ms=N or empty");
        }
        query.remove_prefix(drain_timeout_key.size());
        char const* const end = query.data() + query.size();
        auto const read = std::from_chars(query.data(), end, milliseconds);
        if (read.ec != std::errc{} || read.ptr != end || milliseconds < 0)
        {
            return error(400, "timeout_ms is a number of milliseconds");
        }
    }
    callbacks.drain(std::chrono::milliseconds(milliseconds));
    return json(202, "{\"draining\":true}\n");
}

admin_answer configuration_in_force(admin_callbacks const& callbacks,
                                    request_parts const&)
{
    return callbacks.configuration ? callbacks.configuration()
                                   : error(501, "not available");
}

admin_answer publish(admin_callbacks const& callbacks,
                     request_parts const& request)
{
    return callbacks.publish ? callbacks.publish(request.body)
                             : error(501, "not available");
}

struct endpoint_row
{
    std::string_view method;
    std::string_view path;
    admin_answer (*answer)(admin_callbacks const&, request_parts const&);
};

constexpr endpoint_row endpoints[] = {
    {"GET", "/health", health},
    {"GET", "/ready", ready},
    {"GET", "/status", status},
    {"GET", "/timeline", timeline_text},
    {"GET", "/metrics", metrics_text},
    {"POST", "/drain", drain},
    {"GET", "/configuration", configuration_in_force},
    {"POST", "/publish", publish},
};

} // namespace

admin_answer answer_admin(admin_callbacks const& callbacks, call const& request)
{
    std::string_view const target = request.target;
    std::size_t const mark = target.find('?');
    std::string_view const path = target.substr(0, mark);
    std::string_view const query = mark == std::string_view::npos
                                       ? std::string_view{}
                                       : target.substr(mark + 1);
    for (endpoint_row const& row : endpoints)
    {
        if (row.path == path)
        {
            return row.method == request.method
                       ? row.answer(callbacks, {query, request.body})
                       : error(405, fmt::format("{} expected", row.method));
        }
    }
    return error(404, "no such path");
}

admin_server::admin_server(admin_callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      server_(admin_limits,
              {[this](exchange_id exchange, call const& request)
               {
                   admin_answer const answer =
                       answer_admin(callbacks_, request);
                   server_.answer(exchange, answer.status,
                                  {{"Content-Type", answer.content_type}},
                                  answer.body);
               },
               [](exchange_id) {
               }})
{
}

absl::Status admin_server::listen(QHostAddress const& address,
                                  std::uint16_t port)
{
    return server_.listen(address, port);
}

std::uint16_t admin_server::port() const
{
    return server_.port();
}

} // namespace amarantharch
