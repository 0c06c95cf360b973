// What an answer of the platform or of an engine says, as a status.
#ifndef AMARANTHARCH_NET_ANSWER_STATUS_HPP
#define AMARANTHARCH_NET_ANSWER_STATUS_HPP

#include "net/http_request.hpp"

#include <absl/status/status.h>

namespace amarantharch
{

// Ok for 2xx. Unavailable: not sent, or 503. Unknown: sent, without a whole
// answer. NotFound: 404. Aborted: 409; the message is the answer's body.
// ResourceExhausted: 429. Internal: any other.
absl::Status answer_status(http_answer const& answer);

// `text` as one segment of a path or value of a query: all but unreserved
// characters escaped.
std::string percent_encode(std::string_view text);

} // namespace amarantharch

#endif
