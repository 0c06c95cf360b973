#include "net/peer_envelope.hpp"

#include <msgpack.hpp>

#include <limits>

namespace amarantharch
{

namespace
{

constexpr std::uint32_t envelope_version = 1;
// Containers of an envelope: its own array and room for later fields.
constexpr std::size_t container_elements = 64;
constexpr std::size_t nesting_depth = 4;

struct envelope
{
    std::uint32_t version = envelope_version;
    std::uint8_t kind = 0;
    std::string payload;
    MSGPACK_DEFINE_ARRAY(version, kind, payload)
};

// Bounds what a few bytes of input can make the decoder allocate.
msgpack::unpack_limit limits(std::size_t bytes)
{
    return {container_elements, container_elements, bytes, bytes, bytes,
            nesting_depth};
}

} // namespace

std::string encode_envelope(peer_message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, envelope{envelope_version,
                                   static_cast<std::uint8_t>(message.kind),
                                   message.payload});
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<peer_message> decode_envelope(std::string_view bytes)
{
    envelope decoded;
    try
    {
        auto const handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr,
                                            nullptr, limits(bytes.size()));
        handle.get().convert(decoded);
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
    auto const kind = static_cast<peer_message_kind>(decoded.kind);
    if (name_in(peer_message_kind_names, kind) == "unknown")
    {
        return absl::UnimplementedError("unknown kind of message");
    }
    return peer_message{"", kind, std::move(decoded.payload)};
}

} // namespace amarantharch
