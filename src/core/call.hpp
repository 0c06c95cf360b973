// A caller's request and the parts of its answer, as the decisions see them.
#ifndef AMARANTHARCH_CORE_CALL_HPP
#define AMARANTHARCH_CORE_CALL_HPP

#include "core/time.hpp"
#include "core/verdict.hpp"

#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

struct header_field
{
    std::string name;
    std::string value;
    bool operator==(header_field const&) const = default;
};

using header_list = std::vector<header_field>;

// Identifies a request over all processes; given by the caller in
// X-Request-Id or made up by the VM that the request enters at.
using request_id = std::string;

struct call
{
    request_id id;
    std::string method;
    std::string target; // path and query
    header_list headers;
    std::string body;
    // Hexadecimal SHA-256 of the bearer token, or empty; the token itself
    // goes no further than the socket.
    std::string credential_digest = {};
};

// Why a request ended without an upstream's answer, and what the caller may
// do about it.
struct refusal
{
    int status;           // HTTP status
    verdict run;          // whether it may have run
    std::string reason;   // stable machine-readable word
    duration retry_after; // when to come back; zero: do not
};

} // namespace amarantharch

#endif
