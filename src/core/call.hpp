// A caller's request and the parts of its answer, as the decisions see them.
#ifndef AMARANTHARCH_CORE_CALL_HPP
#define AMARANTHARCH_CORE_CALL_HPP

#include "core/time.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <optional>
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

// One part of a prompt; requests with equal leading parts share a prefix.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct token_size
{
    std::uint32_t prompt = 0;
    std::uint32_t most_output = 0;
};

// What a caller says of its request besides the request itself. Decoded by a
// dialect; a member that the caller left out keeps its default.
struct call_terms
{
    std::string host;                   // empty: any
    std::optional<duration> time_limit; // how long the caller waits
    std::optional<token_size> size;
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> resume_after; // last event the caller has
};

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
    call_terms terms = {};
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
