// Blocking HTTP calls for the operators' commands.
//
// A command has nothing else to do while it waits, so a call runs an event
// loop of its own until the answer is whole or the time is up. Nothing is
// sent twice.
#ifndef AMARANTHARCH_APP_ADMIN_CLIENT_HPP
#define AMARANTHARCH_APP_ADMIN_CLIENT_HPP

#include "core/call.hpp"
#include "core/time.hpp"

#include <absl/status/statusor.h>

#include <string>

namespace amarantharch
{

struct fetched
{
    int status = 0;
    std::string body;
};

// Calls `address` (ip:port). Fails with UNAVAILABLE if no whole answer came,
// with DEADLINE_EXCEEDED if it did not within `timeout`.
absl::StatusOr<fetched> fetch(std::string const& address, call const& request,
                              duration timeout);

} // namespace amarantharch

#endif
