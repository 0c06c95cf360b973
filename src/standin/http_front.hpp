// Joins one role to an HTTP port and the clock.
//
// Replies are written as they are emitted. Everything runs on Qt's event loop
// in one thread; a role is ticked every few milliseconds.
#ifndef AMARANTHARCH_STANDIN_HTTP_FRONT_HPP
#define AMARANTHARCH_STANDIN_HTTP_FRONT_HPP

#include "net/http_server.hpp"
#include "standin/role.hpp"

#include <QTimer>

#include <absl/status/status.h>

#include <memory>
#include <vector>

namespace amarantharch::standin
{

class http_front
{
public:
    explicit http_front(std::unique_ptr<role> served);

    // Port 0 takes any free one. Fails if the address cannot be bound.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const;

private:
    void carry_out(whole_reply const& what);
    void carry_out(reply_head const& what);
    void carry_out(reply_piece const& what);
    void carry_out(reply_end const& what);
    void carry_out(reply_cut const& what);
    [[noreturn]] void carry_out(reply_crash const& what);

    std::unique_ptr<role> role_;
    http_server server_;
    QTimer timer_;
    reply_sink emit_;
};

} // namespace amarantharch::standin

#endif
