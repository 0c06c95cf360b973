#include "net/dead_peer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

constexpr int probe_interval_s = 1;

void set(int descriptor, int level, int option, int value)
{
    // An option that cannot be set leaves the connection without this guard.
    (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace

void give_up_dead_peer(int descriptor, duration timeout)
{
    int const timeout_ms =
        std::max(static_cast<int>(to_millis(timeout)), 1'000);
    int const probes = std::max(timeout_ms / 1'000 - 1, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

} // namespace amarantharch
