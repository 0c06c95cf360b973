// The site tables that a VM's settings file describes.
//
// They are in force while no configuration revision is known.
#ifndef AMARANTHARCH_APP_SETTINGS_SITE_HPP
#define AMARANTHARCH_APP_SETTINGS_SITE_HPP

#include "app/settings.hpp"
#include "core/site.hpp"

#include <string>
#include <string_view>

namespace amarantharch
{

site site_of(settings const& options);

// Hexadecimal SHA-256 of the bearer token in an Authorization header's value,
// or empty if it holds none.
std::string credential_digest(std::string_view authorization);

} // namespace amarantharch

#endif
