// Unpacks untrusted msgpack with limits on container sizes and nesting.
//
// A few bytes can declare an array of 2^32 - 1 elements, for which the library
// would allocate memory at once. Each element takes at least one byte, so no
// valid container has more elements than the input has bytes.
#ifndef AMARANTHARCH_CORE_BOUNDED_UNPACK_HPP
#define AMARANTHARCH_CORE_BOUNDED_UNPACK_HPP

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace amarantharch
{

inline constexpr std::size_t max_unpack_depth = 16;

// Decodes `bytes`. Allocates at most about 24 times their size for each level
// of nesting. Throws what msgpack::unpack throws.
inline msgpack::object_handle bounded_unpack(std::string_view bytes)
{
    auto const size = bytes.size();
    return msgpack::unpack(
        bytes.data(), size, nullptr, nullptr,
        msgpack::unpack_limit(size, size, size, size, size, max_unpack_depth));
}

} // namespace amarantharch

#endif
