// What a node is told: events from callers, upstreams, peers and the platform.
#ifndef AMARANTHARCH_CORE_EVENT_HPP
#define AMARANTHARCH_CORE_EVENT_HPP

#include "core/call.hpp"
#include "core/log.hpp"
#include "core/peer_message.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace amarantharch
{

// Identifies one try of a request at one upstream, within this VM.
using attempt_id = std::uint64_t;

struct call_received
{
    call request;
};

// The caller closed its connection before the answer ended.
struct call_abandoned
{
    request_id request;
};

struct upstream_head
{
    attempt_id attempt;
    int status;
    header_list headers;
};

struct upstream_piece
{
    attempt_id attempt;
    std::string bytes;
};

struct upstream_end
{
    attempt_id attempt;
};

// The attempt ended without a whole answer.
struct upstream_failed
{
    attempt_id attempt;
    verdict run; // not_run only if no byte of the request left this VM
    std::string reason;
};

// Time passed; sent every tick_interval.
struct ticked
{
};

// A message from another VM, its sender authenticated by the transport.
struct peer_message_received
{
    peer_message message;
};

// This VM is to stop by `deadline`: reclaim notice, SIGTERM or drain command.
struct stop_requested
{
    time_point deadline;
};

using event =
    std::variant<call_received, call_abandoned, upstream_head, upstream_piece,
                 upstream_end, upstream_failed, ticked, log_read,
                 log_reachability, peer_message_received, stop_requested>;

} // namespace amarantharch

#endif
