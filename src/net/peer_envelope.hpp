// The wire form of a message between VMs: a msgpack array
// [version, kind, payload]. Later versions may append elements, which earlier
// ones skip. The sender is not part of it; the transport knows it.
#ifndef AMARANTHARCH_NET_PEER_ENVELOPE_HPP
#define AMARANTHARCH_NET_PEER_ENVELOPE_HPP

#include "core/peer_message.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace amarantharch
{

std::string encode_envelope(peer_message const& message);

// Leaves `vm` empty. InvalidArgument if `bytes` is not an envelope,
// Unimplemented if its kind is not known here.
absl::StatusOr<peer_message> decode_envelope(std::string_view bytes);

} // namespace amarantharch

#endif
