// What the fields of a call mean: its key, class, stream and headers.
//
// Plain functions of a call; none decides anything.
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

// The class of a route's priority, 0 to 9.
request_class class_of(std::uint8_t priority);

// An estimate of the tokens in a text.
std::uint32_t tokens_in(std::string const& body);

// Method and target: what a request asks for, without its body.
std::string route_text(call const& request);

// The token of an Authorization field's value, or empty if it bears none.
std::string bearer_token(std::string_view authorization);

// The key of a request that must not run twice.
request_key key_of(call const& request, std::string const& organisation);

// The part of a call that is kept in the log, and the call made from it.
stored_call stored(call const& request, std::string const& organisation,
                   std::string const& service);
call restored(stored_call const& kept);

// Whether an upstream gets this header of a caller from the VM instead, or not
// at all.
bool is_replaced(header_field const& field);

// Whether the caller asks to be answered before the request is run.
bool wants_asynchronous(call const& request);

// Whether a model engine's request body asks for a stream of tokens. Looks for
// the member only; a body that is not JSON is the engine's to refuse.
bool wants_stream(std::string const& body);

// The first token that the caller lacks; 0 if it names none.
token_offset resume_offset(header_list const& headers);

// The caller's name for its stream, or else the request's id.
std::string stream_id_of(call const& request);

} // namespace amarantharch

#endif
