// Derives values from a call: its idempotency key, request class, stream id and
// headers. Pure functions without policy.
#ifndef AMARANTHARCH_CORE_CALL_FIELDS_HPP
#define AMARANTHARCH_CORE_CALL_FIELDS_HPP

#include "core/call.hpp"
#include "core/ledger_record.hpp"
#include "core/request_key.hpp"
#include "core/routing.hpp"
#include "core/site.hpp"
#include "core/stream_relay.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace amarantharch
{

inline constexpr std::string_view stream_id_header = "X-Stream-Id";
inline constexpr std::string_view resume_header = "X-Resume-From";

// The request class of a route's priority (0 to 9).
request_class class_of(std::uint8_t priority);

// Estimates the number of tokens from the size in bytes.
std::uint32_t estimate_tokens(std::string const& body);

// What a request's body holds while the request is in progress: it is kept for
// a repeat while its copy may wait to be written to an upstream.
inline std::size_t memory_of_body(call const& request)
{
    return 2 * request.body.size();
}

// The method and target, separated by a space.
std::string route_text(call const& request);

// The token of an Authorization header's value; empty if the scheme is not
// Bearer.
std::string bearer_token(std::string_view authorization);

// The idempotency key of a request that must run at most once.
request_key key_of(call const& request, std::string const& organisation);

// Converts a call to the form stored in the log, and back.
stored_call to_stored_call(call const& request, std::string const& organisation,
                           std::string const& service);
call from_stored_call(stored_call const& record);

// Whether this caller's header is not forwarded: the VM sets its own value or
// omits the header.
bool is_replaced(header_field const& field);

// Whether the caller asks for 202 before the request runs (Prefer:
// respond-async).
bool wants_asynchronous(call const& request);

// Whether the body of a request to a model engine has "stream": true. Searches
// the text without parsing it; the engine rejects a body that is not JSON.
bool wants_stream(std::string const& body);

// The offset of the first token to send, from the X-Resume-From header; 0 if
// there is none.
token_offset resume_offset(header_list const& headers);

// The caller's X-Stream-Id, or the request id if it sent none.
std::string stream_id_of(call const& request);

} // namespace amarantharch

#endif
