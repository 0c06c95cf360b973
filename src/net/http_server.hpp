// HTTP/1.1 towards callers: Boost.Beast's codec over Qt's TCP sockets.
//
// Each connection takes one request at a time; bytes of the next one wait in
// the connection until the answer to the first has ended, so answers keep the
// order of requests. An answer is written through its exchange id, which
// becomes void when the caller leaves, so nothing is written to a dead socket.
#ifndef AMARANTHARCH_NET_HTTP_SERVER_HPP
#define AMARANTHARCH_NET_HTTP_SERVER_HPP

#include "core/call.hpp"

#include <QHostAddress>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amarantharch
{

// Names one request on one connection within this process.
using exchange_id = std::uint64_t;

struct http_server_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{8} << 20;
    std::size_t connections = 4096;
};

struct http_server_handlers
{
    // A whole request has arrived.
    std::function<void(exchange_id, call)> request;
    // The caller closed the connection before its answer ended.
    std::function<void(exchange_id)> abandoned;
};

class http_server
{
public:
    http_server(http_server_limits limits, http_server_handlers handlers);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Port 0 takes any free one. Fails if the address cannot be bound.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const;

    // The parts of one answer, in this order; a void exchange is ignored.
    void answer_head(exchange_id exchange, int status,
                     header_list const& headers);
    void answer_piece(exchange_id exchange, std::string const& bytes);
    void answer_end(exchange_id exchange);

    // A whole answer with a body of known length.
    void answer(exchange_id exchange, int status, header_list const& headers,
                std::string const& body);

    // A refusal as JSON with verdict, reason and retry_after_ms.
    void refuse(exchange_id exchange, request_id const& request,
                refusal const& why);

    // Closes the connection without the rest of the answer; no handler is
    // called for the exchange again.
    void abort(exchange_id exchange);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
