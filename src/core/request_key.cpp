#include "core/request_key.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <initializer_list>

namespace amarantharch
{

namespace
{

// Domain separation of the two kinds of keys.
constexpr std::string_view header_kind = "header";
constexpr std::string_view content_kind = "content";

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string result;
    for (auto const part : parts)
    {
        auto const size = static_cast<std::uint64_t>(part.size());
        result.append(reinterpret_cast<char const*>(&size), sizeof size);
        result.append(part);
    }
    return result;
}

request_key digest(std::initializer_list<std::string_view> parts)
{
    auto const bytes = joined(parts);
    auto const hash = XXH3_128bits(bytes.data(), bytes.size());
    return request_key{hash.high64, hash.low64};
}

} // namespace

request_key key_from_header(std::string_view organisation,
                            std::string_view idempotency_key)
{
    return digest({header_kind, organisation, idempotency_key});
}

request_key key_from_content(std::string_view organisation,
                             std::string_view caller, std::string_view route,
                             std::string_view body)
{
    return digest({content_kind, organisation, caller, route, body});
}

std::uint64_t content_digest(std::string_view route, std::string_view body)
{
    auto const bytes = joined({route, body});
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string to_string(request_key const& key)
{
    return fmt::format("{:016x}{:016x}", key.high, key.low);
}

} // namespace amarantharch
