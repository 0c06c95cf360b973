// An IP number and a TCP port.
#ifndef AMARANTHARCH_NET_ENDPOINT_HPP
#define AMARANTHARCH_NET_ENDPOINT_HPP

#include <QHostAddress>

#include <optional>
#include <string>

namespace amarantharch
{

struct endpoint
{
    QHostAddress host;
    quint16 port;
};

// The parts of ip:port or [ip6]:port; nothing if it is malformed. Host names
// are not looked up.
std::optional<endpoint> parse_endpoint(std::string const& address);

} // namespace amarantharch

#endif
