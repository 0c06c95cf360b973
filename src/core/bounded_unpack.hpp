// Unpacks msgpack from outside without trusting its sizes.
//
// A few bytes can claim an array of four thousand million elements, for which
// the library would allocate memory at once. An element takes a byte at least,
// so no honest container is larger than the input.
#ifndef AMARANTHARCH_CORE_BOUNDED_UNPACK_HPP
#define AMARANTHARCH_CORE_BOUNDED_UNPACK_HPP

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace amarantharch
{

inline constexpr std::size_t max_unpack_depth = 16;

// The object that `bytes` encode; it may allocate at most about 24 times their
// size for each level of nesting. Throws what msgpack::unpack throws.
inline msgpack::object_handle bounded_unpack(std::string_view bytes)
{
    auto const size = bytes.size();
    return msgpack::unpack(
        bytes.data(), size, nullptr, nullptr,
        msgpack::unpack_limit(size, size, size, size, size, max_unpack_depth));
}

} // namespace amarantharch

#endif
