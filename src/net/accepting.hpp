// Has a listener accept again after an error.
//
// Qt stops accepting for good when the kernel can't give a new connection, for
// example while the process has no free descriptor. The listener stays open, so
// that callers connect, and are never read. Such a lack passes: connections
// end. Here accepting is resumed a moment after each error; what waits in the
// kernel's queue meanwhile is then accepted.
//
// Cost: one failing call each accept_retry while the lack lasts.
#ifndef AMARANTHARCH_NET_ACCEPTING_HPP
#define AMARANTHARCH_NET_ACCEPTING_HPP

#include "core/time.hpp"

class QTcpServer;

namespace amarantharch
{

// From an error to the next attempt: short against the second that callers
// allow a connection, long against the time of an attempt.
inline constexpr duration accept_retry = std::chrono::milliseconds(50);

// To be called once, before `server` listens.
void accept_again_after_errors(QTcpServer& server);

} // namespace amarantharch

#endif
