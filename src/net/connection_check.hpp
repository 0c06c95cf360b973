// Makes connections only to learn whether an address accepts them.
//
// A refusal proves that no process listens there. Each connection is closed as
// soon as it is made; nothing is sent on it.
#ifndef AMARANTHARCH_NET_CONNECTION_CHECK_HPP
#define AMARANTHARCH_NET_CONNECTION_CHECK_HPP

#include "core/time.hpp"

#include <QObject>

#include <cstdint>
#include <functional>
#include <string>

namespace amarantharch
{

enum class connection_outcome : std::uint8_t
{
    accepted,
    refused,
    unknown, // no answer in time, or the address cannot be reached
};

class connection_check
{
public:
    // Connects to `address` (ip:port, [ip6]:port). `done` is called once, from
    // the event loop, unless this object is destroyed before.
    void start(std::string const& address, duration timeout,
               std::function<void(connection_outcome)> done);

private:
    QObject context_; // owns the sockets
};

} // namespace amarantharch

#endif
