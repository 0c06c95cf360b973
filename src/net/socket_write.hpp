// Writes to a TCP socket without a turn of the event loop.
//
// QTcpSocket::write only buffers: the bytes leave in the next turn, for which
// a notifier is switched on and off. A stream of small pieces pays for that
// with each piece, so that here the kernel gets the bytes at once unless
// earlier ones still wait, and Qt only what the kernel did not take.
#ifndef AMARANTHARCH_NET_SOCKET_WRITE_HPP
#define AMARANTHARCH_NET_SOCKET_WRITE_HPP

#include <QTcpSocket>

#include <cstddef>
#include <string_view>

namespace amarantharch
{

// Writes `bytes` to `socket`, which is connected and not encrypted, and gives
// how many of them the kernel has taken. Emits no signal; an error of the
// connection is reported by the socket in the next turn.
std::size_t write_at_once(QTcpSocket& socket, std::string_view bytes);

} // namespace amarantharch

#endif
