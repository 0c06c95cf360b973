// How requests and answers are spoken to callers and upstreams.
//
// The request path decides in terms of the types below; a dialect turns them
// into header fields and back. It decides nothing. The native dialect is the
// product's own interface (docs/PROTOCOLS.md); others live with the platform
// that speaks them.
#ifndef AMARANTHARCH_CORE_DIALECT_HPP
#define AMARANTHARCH_CORE_DIALECT_HPP

#include "core/call.hpp"
#include "core/time.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace amarantharch
{

// What an attempt tells the upstream beside the caller's request.
struct attempt_terms
{
    std::string upstream; // it is to run the request only if this is its name
    std::string organisation;
    duration time_left{};
    std::uint8_t priority = 0; // 0 is served last, 9 first
    std::uint8_t urgency = 0;  // 0 first, 9 last; with the organisation's rank
    // The stream that an attempt belongs to, and what the caller has of it.
    std::string stream;
    std::optional<std::uint64_t> next_token;
    std::optional<std::uint64_t> last_event;
};

// An upstream's own figures in an answer.
struct answer_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// What the head of an answer says.
struct answer_terms
{
    // Whether the request was run, if the upstream says so.
    std::optional<verdict> stated;
    bool foreign = false;        // it answers another request
    bool other_upstream = false; // the address belongs to another upstream now
    bool vouched = true;         // it bears what a genuine answer must
    std::optional<answer_load> load;
};

class dialect
{
public:
    virtual ~dialect() = default;

    // Fills in `request.terms`, and the id if the caller gave one. Returns the
    // caller's token, or nothing.
    virtual std::string read_call(call& request) const = 0;

    // The request as an upstream is to get it.
    virtual call write_attempt(call const& request,
                               attempt_terms const& terms) const = 0;

    // Whether callers take `status` as a promise that the request was not run
    // and never will be.
    virtual bool promises_not_run(int status) const = 0;

    virtual answer_terms read_answer(request_id const& request, int status,
                                     header_list const& headers) const = 0;
};

// The product's own interface.
dialect const& native_dialect();

} // namespace amarantharch

#endif
