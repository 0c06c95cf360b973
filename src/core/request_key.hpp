// Idempotency key: identifies a request that must run at most once, across all
// VMs and retries by the caller.
//
// The key is a 128-bit digest (XXH3) of the organisation and its
// Idempotency-Key or, if the caller sends none, of the organisation, caller,
// route and body. Each part is hashed with its length, so moving a byte from
// one part to the next changes the key.
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

// For unordered containers. The key is a digest, so its bits need no mixing.
struct request_key_hash
{
    std::size_t operator()(request_key const& key) const
    {
        return static_cast<std::size_t>(key.low);
    }
};

// The key of a request that has an Idempotency-Key.
request_key key_from_header(std::string_view organisation,
                            std::string_view idempotency_key);

// The key of a request without one. `route` is method and target.
request_key key_from_content(std::string_view organisation,
                             std::string_view caller, std::string_view route,
                             std::string_view body);

// Digest of the request's content. Detects different requests that were sent
// with the same Idempotency-Key by mistake.
std::uint64_t content_digest(std::string_view route, std::string_view body);

// 32 lower-case hexadecimal digits, for logs and status URLs.
std::string to_string(request_key const& key);

} // namespace amarantharch

#endif
