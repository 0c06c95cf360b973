// HTTP/1.1 towards upstreams: Boost.Beast's codec over Qt's TCP sockets.
//
// A request is written at most once: on one connection, never again after an
// error. What is known about its effect is reported as a verdict: not_run
// only while the kernel has taken no byte of it. A pooled connection that the
// upstream has closed is found by looking at the socket before the first
// byte is written, and replaced by a fresh one.
//
// An answer is whole only if its framing says so: a body cut short of its
// Content-Length, its last chunk or, where it ends by closing, by a reset
// connection, is reported as failed, never as end.
//
// Handlers are called from the event loop only, never from inside a call of
// this class. How many requests run at one upstream is the user's decision.
#ifndef AMARANTHARCH_NET_HTTP_CLIENT_HPP
#define AMARANTHARCH_NET_HTTP_CLIENT_HPP

#include "core/call.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amarantharch
{

// Names one request within this client; chosen by its user, unique among
// those in progress.
using exchange_id = std::uint64_t;

struct http_client_limits
{
    // Of a head, of the line that gives a chunk's size, and of a trailer. The
    // parser takes each of them only when it is whole.
    std::uint32_t header_bytes = 64 * 1024;
    // What a paused answer may hold in memory.
    std::size_t read_buffer_bytes = std::size_t{256} << 10;
    // Pooled connections; the oldest is closed when there are more.
    std::size_t idle_connections_per_address = 64;
    std::size_t idle_connections = 1024;
    duration idle_lifetime = std::chrono::seconds(30);
    // A connection whose other end acknowledges nothing for so long is lost;
    // zero: the kernel decides.
    duration dead_peer_timeout = duration::zero();
};

// Zero means no timeout.
struct http_timeouts
{
    duration connect = std::chrono::seconds(1);
    // From the request's first byte to the answer's head.
    duration head = std::chrono::seconds(60);
    // Between pieces of the answer's body, while not paused.
    duration piece = std::chrono::seconds(30);
    // From the request's first byte to the answer's end, whatever comes
    // between.
    duration whole = duration::zero();
};

struct http_client_handlers
{
    std::function<void(exchange_id, int status, header_list)> head;
    std::function<void(exchange_id, std::string bytes)> piece;
    std::function<void(exchange_id)> end;
    // Reasons: bad_address, connect_failed, connect_timeout, head_timeout,
    // piece_timeout, answer_timeout, connection_lost, answer_cut,
    // malformed_answer.
    std::function<void(exchange_id, verdict run, std::string reason)> failed;
};

class http_client
{
public:
    explicit http_client(http_client_handlers handlers,
                         http_client_limits limits = {});
    // Closes all connections without calling a handler.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Sends `request` to `address` (ip:port, [ip6]:port). Exactly one of end
    // and failed follows, unless it is cancelled first.
    void send(exchange_id exchange, std::string const& address,
              call const& request, http_timeouts const& timeouts = {});

    // Closes the exchange's connection; no handler is called for it again.
    void cancel(exchange_id exchange);

    // Back-pressure: no piece and no end is reported until resume; what the
    // upstream sends meanwhile is held up to read_buffer_bytes, the rest by
    // TCP. Unknown exchanges are ignored.
    void pause(exchange_id exchange);
    void resume(exchange_id exchange);

    std::size_t in_progress() const;
    std::size_t idle_connections() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
