// Identifies a request that must not run twice, over all VMs and repeats.
//
// A key is a 128-bit digest (XXH3) of what makes two requests the same: the
// organisation and its Idempotency-Key, or, where the caller sends none, the
// caller, route and body. Parts are hashed with their lengths, so that moving
// a byte from one part to the next gives another key.
#ifndef AMARANTHARCH_CORE_REQUEST_KEY_HPP
#define AMARANTHARCH_CORE_REQUEST_KEY_HPP

#include <msgpack.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amarantharch
{

struct request_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    // clang-tidy 14 takes the 0 in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(request_key const&) const = default;
    MSGPACK_DEFINE(high, low)
};

// For unordered containers; the digest's bits are already well mixed.
struct request_key_hash
{
    std::size_t operator()(request_key const& key) const
    {
        return static_cast<std::size_t>(key.low);
    }
};

// The key of a request that carries an Idempotency-Key.
request_key key_from_header(std::string_view organisation,
                            std::string_view idempotency_key);

// The key of a request that carries none. `route` is method and target.
request_key key_from_content(std::string_view organisation,
                             std::string_view caller, std::string_view route,
                             std::string_view body);

// Digest of what is to be run, to tell apart two requests that carry the same
// Idempotency-Key by mistake.
std::uint64_t content_digest(std::string_view route, std::string_view body);

// 32 lower-case hexadecimal digits, for logs and status addresses.
std::string to_string(request_key const& key);

} // namespace amarantharch

#endif
