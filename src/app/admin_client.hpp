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

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace amarantharch
{

struct fetched
{
    int status = 0;
    header_list headers;
    std::string body;
};

// Calls `address` (ip:port). Fails with UNAVAILABLE if no whole answer came,
// with DEADLINE_EXCEEDED if it did not within `timeout`.
absl::StatusOr<fetched> fetch(std::string const& address, call const& request,
                              duration timeout);

// The body of an answer of status 2xx; else why there is none.
absl::StatusOr<std::string> fetch_body(std::string const& address,
                                       call const& request, duration timeout);

// Runs the event loop for `time`.
void sleep_for(duration time);

// The options of every command that speaks to admin ports, and their values.
void describe_admins(boost::program_options::options_description& options);
std::vector<std::string>
admins_of(boost::program_options::variables_map const& given);
duration timeout_of(boost::program_options::variables_map const& given);

} // namespace amarantharch

#endif
