// A message between two VMs: its kind and a payload encoded as that kind says.
#ifndef AMARANTHARCH_CORE_PEER_MESSAGE_HPP
#define AMARANTHARCH_CORE_PEER_MESSAGE_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <string>

namespace amarantharch
{

// Values are part of the protocol: append only, never renumber.
enum class peer_message_kind : std::uint8_t
{
    membership = 1,   // probes, acknowledgements and gossip
    request = 2,      // between the VMs that handle one request
    stream_state = 3, // copies of streams in progress
    snapshot = 4,     // configuration and ledger state for a new VM
};

inline constexpr name_table<peer_message_kind, 4> peer_message_kind_names{{
    {peer_message_kind::membership, "membership"},
    {peer_message_kind::request, "request"},
    {peer_message_kind::stream_state, "stream_state"},
    {peer_message_kind::snapshot, "snapshot"},
}};

struct peer_message
{
    std::string vm; // sender of a received message, receiver of a sent one
    peer_message_kind kind = peer_message_kind::membership;
    std::string payload; // msgpack, versioned by its kind
};

} // namespace amarantharch

#endif
