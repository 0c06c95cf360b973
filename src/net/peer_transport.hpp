// Messages between VMs: nghttp2 as the codec over mutual TLS.
//
// A VM dials each peer that it has messages for and sends every message as
// one request stream (POST /message) on that connection; the peer's 200 says
// that the message was handed to its user. Delivery is at most once and
// unordered between kinds; a message on a connection that breaks is reported
// as dropped, not sent again. Both ends present a certificate issued by the
// cluster's authority, and the sender's id is the common name of its
// certificate, so a message cannot claim another sender.
//
// Memory is bounded: each peer has one queue with limits on messages and
// bytes, and all queues together have one on bytes. When a message does not
// fit, membership messages queued for its target are dropped first, since
// newer ones replace them; then the new message is refused.
//
// Handlers are called from the event loop only, never from inside a call of
// this class.
#ifndef AMARANTHARCH_NET_PEER_TRANSPORT_HPP
#define AMARANTHARCH_NET_PEER_TRANSPORT_HPP

#include "core/peer_message.hpp"
#include "core/time.hpp"

#include <QHostAddress>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace amarantharch
{

struct peer_transport_settings
{
    std::string certificate_file = {}; // PEM; its common name is this VM's id
    std::string key_file = {};         // PEM
    std::string authority_file = {}; // PEM; may hold several during a rotation
    std::uint64_t seed = 1;          // of the jitter of reconnects
    std::size_t queue_messages = 1024; // for each peer, as is queue_bytes
    std::size_t queue_bytes = std::size_t{4} << 20;
    std::size_t total_queue_bytes = std::size_t{32} << 20;
    std::size_t message_bytes = std::size_t{1} << 20;
    std::size_t inbound_connections = 2048;
    duration connect_timeout = std::chrono::seconds(2);
    duration backoff_min = std::chrono::milliseconds(100);
    duration backoff_max = std::chrono::seconds(10);
    // A connection without messages is closed.
    duration idle_timeout = std::chrono::seconds(60);
    // A message that could not be sent for so long is dropped.
    duration queue_timeout = std::chrono::seconds(5);
};

struct peer_transport_handlers
{
    // `message.vm` is the sender, taken from its certificate.
    std::function<void(peer_message message)> received;
    // `count` messages of `kind` to `vm` were discarded, by overflow or by a
    // lost connection; they may have arrived in the latter case.
    std::function<void(std::string const& vm, peer_message_kind kind,
                       std::size_t count)>
        dropped;
    // The connection to `vm` was made or lost. May be empty.
    std::function<void(std::string const& vm, bool connected)> link;
};

class peer_transport
{
public:
    peer_transport(peer_transport_settings settings,
                   peer_transport_handlers handlers);
    ~peer_transport();
    peer_transport(peer_transport const&) = delete;
    peer_transport& operator=(peer_transport const&) = delete;

    // Reads the certificate, key and authority files; used for every
    // connection made from then on. Connections made under another authority
    // are closed. On failure the earlier files' contents stay in use.
    absl::Status reload_certificates();

    // Calls reload_certificates, then binds. Port 0 takes any free one.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const;

    // Says where `vm` listens (ip:port); a changed address drops the old
    // connection.
    void set_peer(std::string const& vm, std::string const& address);
    // Closes the connection and discards what is queued, unreported.
    void forget_peer(std::string const& vm);

    // Queues `message` for `message.vm`. NotFound without set_peer,
    // ResourceExhausted when the queue is full, InvalidArgument when it
    // exceeds message_bytes.
    absl::Status send(peer_message const& message);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
