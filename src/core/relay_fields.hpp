// The header fields by which one VM has another run an attempt.
//
// A relayed attempt is the request as the upstream gets it, with the fields
// X-Relay-Upstream and X-Relay-Incarnation, which end at the relaying VM. Its
// answer is the upstream's, unchanged. Where there is none, the relaying VM
// answers with X-Relay-Failure, X-Relay-Verdict and X-Relay-Place: why, whether
// the upstream may have run the request, and at which of the two hops.
//
// Fields of these names from callers or upstreams are removed, so none of them
// can choose an upstream or forge a verdict.
#ifndef AMARANTHARCH_CORE_RELAY_FIELDS_HPP
#define AMARANTHARCH_CORE_RELAY_FIELDS_HPP

#include "core/call.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amarantharch
{

struct relay_target
{
    std::string upstream;
    std::uint64_t incarnation = 0;
};

// Where a relayed attempt failed.
enum class failure_place : std::uint8_t
{
    upstream, // or the way from the relaying VM to it
    relay,    // the relaying VM, or the way to it
};

inline constexpr name_table<failure_place, 2> failure_place_names{{
    {failure_place::upstream, "upstream"},
    {failure_place::relay, "relay"},
}};

// Reason of a relaying VM that knows the upstream to be gone, leaving or
// paused.
inline constexpr std::string_view upstream_unavailable = "upstream_unavailable";

struct relay_failure
{
    failure_place place = failure_place::relay;
    verdict run = verdict::may_have_run;
    std::string reason;
};

call to_relayed(call attempt, relay_target const& target);

// Takes the target out of a relayed attempt; nothing if it has none.
std::optional<relay_target> take_relay_target(call& relayed);

header_list relay_failure_headers(relay_failure const& why);

// Nothing if the answer is the upstream's.
std::optional<relay_failure> relay_failure_in(header_list const& headers);

header_list without_relay_fields(header_list headers);

} // namespace amarantharch

#endif
