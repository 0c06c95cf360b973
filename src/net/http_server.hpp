// HTTP/1.1 towards callers: Boost.Beast's codec over Qt's TCP sockets.
//
// Each connection takes one request at a time; bytes of the next one wait in
// the socket until the answer to the first has ended, so answers keep the
// order of requests. An answer is written through its exchange id, which
// becomes void when the caller leaves, so nothing is written to a dead socket.
//
// Handlers are called from the event loop only, never from inside a call of
// this class, so a handler may call any method and a method never re-enters
// its caller. Every limit is a setting; a request that breaks one is refused
// as not_run with a reason of its own:
//
//     400 malformed_request     not HTTP/1.x, framed in two ways or in one that
//                               is not known, or with a chunk's size line or
//                               trailer over header_bytes
//     408 header_timeout        head not whole within header_timeout
//     408 body_timeout          body not whole within body_timeout
//     413 body_too_large        by Content-Length or by chunks
//     429 too_many_connections_from_address
//     431 headers_too_large
//     503 too_many_connections
//     503 body_memory_exhausted all bodies being read exceed their budget
//     503 stopping              not whole at the end of drain()
//
// A caller that closes its sending side counts as having left.
//
// A body that ends with its connection (towards HTTP/1.0) is whole for its
// caller once that closes in order, whoever closes it: the kernel does for a
// process that is killed. So from such an answer's head on, the socket is set
// to be reset by any close, and set back once the kernel has taken the last
// byte. Answers with a length or chunks need none of it.
//
// Cost: O(bytes) for each message; a sweep over all connections a few times a
// second for the timeouts. Memory a connection: header_bytes, one socket
// buffer of unread input, and its outgoing bytes, besides the shared bodies.
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

// Names one request on one connection within this process; never used twice.
using exchange_id = std::uint64_t;

struct http_server_limits
{
    // Of a head, of the line that gives a chunk's size, and of a trailer.
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{8} << 20;
    // What all bodies that are being read hold, up to twice their sizes.
    std::uint64_t body_memory_bytes = std::uint64_t{256} << 20;
    std::size_t connections = 4096;
    std::size_t connections_per_address = 4096;
    // Bytes of an answer not yet taken by the caller: above `pause` the
    // exchange is paused, below half of it resumed, above `limit` cut.
    std::size_t outgoing_pause_bytes = std::size_t{256} << 10;
    std::size_t outgoing_limit_bytes = std::size_t{4} << 20;
    // A keep-alive connection without a request is closed, but not while bytes
    // of one wait in its socket.
    duration idle_timeout = std::chrono::seconds(75);
    duration header_timeout = std::chrono::seconds(10);
    duration body_timeout = std::chrono::seconds(60);
    // A caller that takes no byte of a waiting answer is cut.
    duration write_timeout = std::chrono::seconds(30);
    // How long a closed connection may still take its last answer.
    duration linger_timeout = std::chrono::seconds(2);
    // How long drain() leaves an idle connection open, for a request that is
    // already on its way.
    duration drain_grace = std::chrono::seconds(1);
    // What refusals for lack of room give as the time to come back.
    duration retry_after = std::chrono::seconds(1);
    // Whether callers take fractions of a second in Retry-After; else it is
    // rounded up.
    bool fractional_retry_after = false;
};

struct http_server_handlers
{
    // A whole request has arrived. `call::id` is what the caller gave in
    // X-Request-Id, or empty.
    std::function<void(exchange_id, call)> request;
    // The caller left, or was cut, before its answer ended; called exactly
    // once for such an exchange, which is void from then on.
    std::function<void(exchange_id)> abandoned;
    // The caller reads slowly: produce nothing more until `resumed`. May be
    // empty, as may `resumed` and `drained`.
    std::function<void(exchange_id)> paused = nullptr;
    std::function<void(exchange_id)> resumed = nullptr;
    // After drain(): the last connection has closed.
    std::function<void()> drained = nullptr;
};

class http_server
{
public:
    http_server(http_server_limits limits, http_server_handlers handlers);
    // Cuts all connections without calling a handler.
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Port 0 takes any free one. Fails if the address cannot be bound, and may
    // be called again then.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const;

    // The parts of one answer, in this order; a void exchange is ignored.
    // Chunk-framed, or ended by closing for a caller that speaks HTTP/1.0.
    void answer_head(exchange_id exchange, int status,
                     header_list const& headers);
    void answer_piece(exchange_id exchange, std::string const& bytes);
    void answer_end(exchange_id exchange);

    // Ends a started answer that cannot be completed: the connection is cut
    // before the final chunk, so that the caller sees the answer as torn.
    // abandoned is not called.
    void answer_abort(exchange_id exchange);

    // A whole answer with a body of known length.
    void answer(exchange_id exchange, int status, header_list const& headers,
                std::string const& body);

    // A refusal as JSON with verdict, reason and retry_after_ms, and the
    // headers X-Request-Id, X-Verdict and, where it is not zero, Retry-After.
    // If the answer has already started, does answer_abort.
    void refuse(exchange_id exchange, request_id const& request,
                refusal const& why);

    // The address, without its port, that an exchange that is not void came
    // from.
    std::string source_of(exchange_id exchange) const;

    // Closes the listening socket after accepting what already waits on it.
    void stop_accepting();

    // From now on an answer ends its connection, with "Connection: close",
    // unless its caller has sent a further request ahead: discarding that would
    // leave it without an answer. New connections are still taken.
    void close_after_answers();

    // Graceful shutdown: stops accepting, does close_after_answers, and closes
    // connections that stay idle for drain_grace. `within` bounds all that
    // callers can draw out: idle connections are closed and requests that are
    // not whole are refused by then; answers that are owed are the handlers'.
    // Calls handlers.drained when no connection is left.
    void drain(duration within = duration::max());

    std::size_t connections() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
