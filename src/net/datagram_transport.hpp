// Small messages between VMs as UDP datagrams.
//
// For messages that may be lost, late or repeated, inside a network that only
// the system's own VMs reach: a datagram bears its sender's name, and nothing
// proves it. What comes this way informs and grants nothing. A message that
// does not fit one datagram is dropped and counted.
// Cost: one system call a message; no state for a peer.
#ifndef AMARANTHARCH_NET_DATAGRAM_TRANSPORT_HPP
#define AMARANTHARCH_NET_DATAGRAM_TRANSPORT_HPP

#include "core/peer_message.hpp"

#include <QHostAddress>
#include <QUdpSocket>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amarantharch
{

class datagram_transport
{
public:
    // Larger ones are split by the network, and lost with any of their parts.
    static constexpr std::size_t max_bytes = 8'000;

    datagram_transport(std::string vm,
                       std::function<void(peer_message)> received);

    // May be called again after a failure. Until it succeeds messages are
    // dropped.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const
    {
        return socket_.localPort();
    }

    // `address`: ip:port. Nothing tells whether the message arrives.
    void send(std::string const& address, peer_message const& message);

    // Messages that were too large or came before listen(), and datagrams that
    // were none of ours.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    void read();

    std::string vm_;
    std::function<void(peer_message)> received_;
    QUdpSocket socket_;
    std::uint64_t dropped_ = 0;
};

// The form of a datagram, public for its tests.
std::string encode_datagram(std::string const& sender,
                            peer_message const& message);
absl::StatusOr<peer_message> decode_datagram(std::string_view bytes);

} // namespace amarantharch

#endif
