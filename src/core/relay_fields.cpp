#include "core/relay_fields.hpp"

#include "core/call_fields.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::string_view field_prefix = "X-Relay-";
constexpr std::string_view upstream_field = "X-Relay-Upstream";
constexpr std::string_view incarnation_field = "X-Relay-Incarnation";
constexpr std::string_view failure_field = "X-Relay-Failure";
constexpr std::string_view verdict_field = "X-Relay-Verdict";
constexpr std::string_view place_field = "X-Relay-Place";

bool is_relay_field(header_field const& field)
{
    return absl::StartsWithIgnoreCase(
        field.name,
        absl::string_view(field_prefix.data(), field_prefix.size()));
}

void add(header_list& headers, std::string_view name, std::string_view value)
{
    headers.push_back({std::string(name), std::string(value)});
}

} // namespace

call to_relayed(call attempt, relay_target const& target)
{
    std::erase_if(attempt.headers, is_relay_field);
    add(attempt.headers, upstream_field, target.upstream);
    add(attempt.headers, incarnation_field, fmt::to_string(target.incarnation));
    return attempt;
}

std::optional<relay_target> take_relay_target(call& relayed)
{
    relay_target target;
    target.upstream =
        std::string(header_value(relayed.headers, upstream_field));
    bool const valid =
        !target.upstream.empty() &&
        absl::SimpleAtoi(
            std::string(header_value(relayed.headers, incarnation_field)),
            &target.incarnation);
    std::erase_if(relayed.headers, is_relay_field);
    return valid ? std::optional(std::move(target)) : std::nullopt;
}

header_list relay_failure_headers(relay_failure const& why)
{
    header_list headers;
    add(headers, failure_field, why.reason);
    add(headers, verdict_field, name(why.run));
    add(headers, place_field, name_in(failure_place_names, why.place));
    return headers;
}

// A verdict or place that cannot be read counts as the worse one.
std::optional<relay_failure> relay_failure_in(header_list const& headers)
{
    relay_failure why;
    why.reason = std::string(header_value(headers, failure_field));
    if (why.reason.empty())
    {
        return std::nullopt;
    }
    why.run = value_in(verdict_names, header_value(headers, verdict_field))
                  .value_or(verdict::may_have_run);
    why.place =
        value_in(failure_place_names, header_value(headers, place_field))
            .value_or(failure_place::relay);
    return why;
}

header_list without_relay_fields(header_list headers)
{
    std::erase_if(headers, is_relay_field);
    return headers;
}

} // namespace amarantharch
