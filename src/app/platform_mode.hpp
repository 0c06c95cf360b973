// The settings of a VM that runs on the users' platform.
#ifndef AMARANTHARCH_APP_PLATFORM_MODE_HPP
#define AMARANTHARCH_APP_PLATFORM_MODE_HPP

#include "app/settings.hpp"
#include "core/fleet_duties.hpp"
#include "core/request_path.hpp"
#include "platform/settings_file.hpp"

#include <absl/status/statusor.h>

namespace amarantharch
{

// The product's settings by the platform's; InvalidArgument for an endpoint
// that is none.
absl::StatusOr<settings> settings_of(platform::process_settings const& process);

// What the request path does differently there.
void apply_platform(platform::process_settings const& process,
                    request_path_options& options);

fleet_duties_options duties_of(platform::process_settings const& process,
                               std::uint64_t incarnation);

} // namespace amarantharch

#endif
