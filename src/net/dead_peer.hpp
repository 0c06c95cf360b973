// Has the kernel give up a TCP connection whose other end has gone silent.
//
// A partition or the loss of a machine leaves connections open without a sign.
// Keep-alive probes find that out while nothing is under way, and
// TCP_USER_TIMEOUT while sent bytes are not acknowledged. On Linux the latter,
// where it is set, also decides when probes give up, whatever their number, so
// that both are set to the same time here.
#ifndef AMARANTHARCH_NET_DEAD_PEER_HPP
#define AMARANTHARCH_NET_DEAD_PEER_HPP

#include "core/time.hpp"

namespace amarantharch
{

// The connection fails once the other end has acknowledged nothing for
// `timeout`, which is a second at least. `descriptor`: of a TCP socket.
void give_up_dead_peer(int descriptor, duration timeout);

} // namespace amarantharch

#endif
