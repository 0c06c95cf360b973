// How callers are recognised without keeping their secrets.
#ifndef AMARANTHARCH_APP_CREDENTIAL_HPP
#define AMARANTHARCH_APP_CREDENTIAL_HPP

#include <string>
#include <string_view>

namespace amarantharch
{

// Hexadecimal SHA-256 of the bearer token in an Authorization header's value,
// or empty if it holds none.
std::string credential_digest(std::string_view authorization);

} // namespace amarantharch

#endif
