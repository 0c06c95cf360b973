// Translates between HTTP headers and the metadata of requests and answers.
//
// The request path works with the types below; a dialect encodes them as header
// fields and decodes them, without any policy of its own. The native dialect is
// this product's own API (docs/PROTOCOLS.md); the dialect of another platform
// is defined with the code for that platform.
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

// What an attempt sends to the upstream in addition to the caller's request.
struct attempt_metadata
{
    std::string upstream; // any other upstream must reject the request
    std::string organisation;
    duration time_left{};
    std::uint8_t priority = 0; // 0 lowest, 9 highest
    // 0 is served first, 9 last; combines the ranks of organisation and route.
    std::uint8_t urgency = 0;
    // The stream that the attempt continues, and where it resumes.
    std::string stream;
    std::optional<std::uint64_t> next_token;
    std::optional<std::uint64_t> last_event;
};

// Load that an upstream reports in the headers of an answer.
struct answer_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // The current work time, in percent of the usual time.
    std::optional<std::uint32_t> work_percent = {};
};

// What an upstream says about itself in an answer, whatever the request.
struct upstream_notice
{
    bool leaving = false;          // it is shutting down
    std::optional<duration> pause; // it wants no requests for so long
    // Requests a second that it takes from all VMs together.
    std::optional<double> request_limit = {};
    // It crashes if it has to turn away more requests than this in a second,
    // of all VMs together, for want of room.
    std::optional<std::uint32_t> refusal_limit = {};
    // It stays cold for so long: see warm_up_spec.
    std::optional<duration> cold_for = {};

    bool empty() const
    {
        return !leaving && !pause && !request_limit && !refusal_limit &&
               !cold_for;
    }
};

// Longest time that an upstream can say it stays cold.
inline constexpr duration max_cold_time = std::chrono::minutes(10);

// Longest pause that an upstream can ask for.
inline constexpr duration max_upstream_pause = std::chrono::minutes(10);

// Metadata decoded from the status and headers of an answer.
struct answer_metadata
{
    // It would say so if the upstream had a request limit now. False for an
    // answer that may not be the upstream's own, or may be damaged.
    bool tells_of_limits = false;
    // The upstream's own statement whether it ran the request; none where it
    // may be about another one.
    std::optional<verdict> stated_verdict;
    bool answers_other_request =
        false; // it is the answer to a different request
    // The address has been reassigned to another upstream.
    bool from_other_upstream = false;
    // Has the headers that every upstream answer must have.
    bool genuine = true;
    std::optional<answer_load> load;
    upstream_notice notice;
};

class dialect
{
public:
    virtual ~dialect() = default;

    // Fills in `request.metadata`, and the id if the caller sent one. Returns
    // the caller's bearer token; empty if there is none.
    virtual std::string read_call(call& request) const = 0;

    // The request as it is sent to the upstream.
    virtual call write_attempt(call const& request,
                               attempt_metadata const& metadata) const = 0;

    // Whether `status` guarantees to callers that the request was not run and
    // never will be.
    virtual bool promises_not_run(int status) const = 0;

    virtual answer_metadata read_answer(request_id const& request, int status,
                                        header_list const& headers) const = 0;
};

// This product's own API.
dialect const& native_dialect();

} // namespace amarantharch

#endif
