// The settings of one VM, read from an INI file.
#ifndef AMARANTHARCH_APP_SETTINGS_HPP
#define AMARANTHARCH_APP_SETTINGS_HPP

#include "core/node.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace amarantharch
{

struct settings
{
    std::string vm;
    std::string failure_domain;
    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 0;
    std::vector<upstream_entry> upstreams;
};

// Reads `path`. Fails on a file that cannot be read or parsed, and on a
// missing or malformed key.
absl::StatusOr<settings> read_settings(std::string const& path);

} // namespace amarantharch

#endif
