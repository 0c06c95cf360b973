#include "core/peer_update.hpp"

#include "core/bounded_unpack.hpp"

namespace amarantharch
{

std::string encode(peer_update const& update)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, update);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<peer_update> decode_peer_update(std::string_view bytes)
{
    try
    {
        return bounded_unpack(bytes).get().as<peer_update>();
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace amarantharch
