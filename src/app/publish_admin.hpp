// The admin endpoints by which operators publish: GET /configuration and
// POST /publish, over the control plane.
//
// A publish is safe to repeat: its publish_id names it, and the VM answers a
// repeat with what became of the first. So the client repeats its request
// until the state is final, at any VM.
#ifndef AMARANTHARCH_APP_PUBLISH_ADMIN_HPP
#define AMARANTHARCH_APP_PUBLISH_ADMIN_HPP

#include "app/admin_server.hpp"
#include "core/control_plane.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace amarantharch
{

// {"known","revision":"OFFSET.INDEX","author","text"} of what is in force.
admin_answer answer_configuration(control_plane const& plane);

// Takes an encoded configuration_change; answers 200 with its report, 400 if
// the body is not one.
admin_answer answer_publish(control_plane& plane, time_point now,
                            std::string_view body);

// "OFFSET.INDEX", and back.
std::string revision_as_text(revision position);
absl::StatusOr<revision> revision_from_text(std::string_view text);

// {"state","reason","revision","in_force_on","members","missing":[…],
// "faults":[…]}
std::string as_json(publish_report const& report);

} // namespace amarantharch

#endif
