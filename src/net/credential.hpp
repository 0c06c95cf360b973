// Callers' credentials are compared, kept and passed around as digests only.
#ifndef AMARANTHARCH_NET_CREDENTIAL_HPP
#define AMARANTHARCH_NET_CREDENTIAL_HPP

#include <string>
#include <string_view>

namespace amarantharch
{

// Hexadecimal SHA-256 of a caller's token, or empty for an empty one.
std::string token_digest(std::string_view token);

} // namespace amarantharch

#endif
