// HTTP/1.1 towards upstreams: Boost.Beast's codec over Qt's TCP sockets.
//
// A request is written at most once: on one connection, never again after an
// error. What is known about its effect is reported as a verdict: not_run
// only while no byte has been handed to a connected socket.
#ifndef AMARANTHARCH_NET_HTTP_CLIENT_HPP
#define AMARANTHARCH_NET_HTTP_CLIENT_HPP

#include "core/call.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amarantharch
{

// Names one request within this client; chosen by its user.
using exchange_id = std::uint64_t;

struct http_client_handlers
{
    std::function<void(exchange_id, int status, header_list)> head;
    std::function<void(exchange_id, std::string bytes)> piece;
    std::function<void(exchange_id)> end;
    std::function<void(exchange_id, verdict run, std::string reason)> failed;
};

class http_client
{
public:
    explicit http_client(http_client_handlers handlers);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Sends `request` to `address` (ip:port). Exactly one of end and failed
    // follows, unless it is cancelled first.
    void send(exchange_id exchange, std::string const& address,
              call const& request);

    // Closes the exchange's connection; no handler is called for it again.
    void cancel(exchange_id exchange);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
