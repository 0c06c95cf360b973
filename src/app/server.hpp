// One VM's process: joins the node's decisions to sockets and the clock.
//
// Events from the sockets are handed to the node with the present time; each
// command that the node emits is carried out at once, in order. Everything
// runs on Qt's event loop in one thread.
#ifndef AMARANTHARCH_APP_SERVER_HPP
#define AMARANTHARCH_APP_SERVER_HPP

#include "app/settings.hpp"
#include "core/node.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>

namespace amarantharch
{

class server
{
public:
    explicit server(settings options);

    // Binds the listening address.
    absl::Status start();
    std::uint16_t port() const
    {
        return callers_.port();
    }

    // Starts a graceful shutdown: takes no new connection, ends those that
    // are idle and the others after their answer. Calls `done` when none is
    // left, or after `timeout`.
    void drain(duration timeout, std::function<void()> done);

private:
    void receive(exchange_id exchange, call request);
    void abandon(exchange_id exchange);
    void tell(event const& what);

    void carry_out(start_attempt const& what);
    void carry_out(cancel_attempt const& what);
    void carry_out(answer_head const& what);
    void carry_out(answer_piece const& what);
    void carry_out(answer_end const& what);
    void carry_out(answer_refusal const& what);
    // Commands that are not carried out yet.
    template <typename Other>
    void carry_out(Other const&)
    {
    }

    settings options_;
    std::function<void()> drained_; // empty while not draining
    node node_;
    http_server callers_;
    http_client upstreams_;
    std::uint64_t next_request_ = 1;
    // The exchange that waits for each request's answer, and its inverse.
    std::map<request_id, exchange_id> exchanges_;
    std::map<exchange_id, request_id> requests_;
};

} // namespace amarantharch

#endif
