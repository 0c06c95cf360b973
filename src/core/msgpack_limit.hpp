// Limits for unpacking untrusted msgpack bytes: no array, map or string may
// claim more elements than the input has bytes, so that a few bytes cannot
// order a huge allocation.
#ifndef AMARANTHARCH_CORE_MSGPACK_LIMIT_HPP
#define AMARANTHARCH_CORE_MSGPACK_LIMIT_HPP

#include <msgpack.hpp>

#include <string_view>

namespace amarantharch
{

inline msgpack::object_handle unpack_limited(std::string_view bytes)
{
    constexpr std::size_t max_depth = 16;
    auto const size = bytes.size();
    return msgpack::unpack(
        bytes.data(), size, nullptr, nullptr,
        msgpack::unpack_limit(size, size, size, size, size, max_depth));
}

} // namespace amarantharch

#endif
