// The routing tables of a node: routes, organisations, upstreams and scaling
// limits.
//
// They are compiled from the current configuration revision or, until one is
// loaded, from the VM's settings. They are immutable: a new revision replaces
// them as a whole.
#ifndef AMARANTHARCH_CORE_SITE_HPP
#define AMARANTHARCH_CORE_SITE_HPP

#include "core/call.hpp"
#include "core/name_table.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

struct configuration;

enum class upstream_kind : std::uint8_t
{
    engine, // a model engine: streams tokens, can resume and cancel
    plain,  // any other service
};

inline constexpr name_table<upstream_kind, 2> upstream_kind_names{{
    {upstream_kind::engine, "engine"},
    {upstream_kind::plain, "plain"},
}};

inline constexpr duration default_route_timeout = std::chrono::seconds(30);
inline constexpr std::uint8_t default_route_priority = 4;

// Urgency ranks are 0 (served first) to this.
inline constexpr std::uint8_t lowest_urgency_rank = 9;

struct service_share
{
    std::string service;
    double weight = 0; // relative to the route's other shares
};

// How requests whose path begins with `prefix` are handled.
struct route_spec
{
    std::string name;
    std::string prefix;  // the longest matching prefix wins
    std::string service; // upstreams of this service serve it
    upstream_kind kind = upstream_kind::plain;
    bool idempotent = true; // false: requests run at most once
    duration timeout = default_route_timeout;
    std::uint8_t priority = default_route_priority; // 0 lowest, 9 highest
    // Organisations that may use the route; nullopt: all.
    std::optional<std::vector<std::string>> organisations = std::nullopt;
    std::string host = {};     // empty: any host
    bool open_to_all = false;  // requests need no credential
    bool event_stream = false; // answers are event streams with ascending ids
    bool resumable = false;    // another upstream can resume a stream
    std::uint32_t max_attempts = 0; // 0: the retry budget's
    duration latency_target{};      // 0: none
    std::uint8_t urgency_rank = 0;  // an engine serves 0 first
    // Splits traffic between services by weight; empty: all to `service`.
    std::vector<service_share> shares = {};
};

// An organisation's rate limit (token bucket), across all VMs.
struct quota_spec
{
    double rate_per_second = 0; // 0: no limit
    double burst = 0;
    bool counts_tokens = false;        // false: counts requests
    double unsized_request_tokens = 0; // charged if the size is unknown
};

struct organisation_spec
{
    std::string name;
    double weight = 1.0;    // share relative to other organisations
    std::string key_digest; // hex SHA-256 of the callers' bearer token
    std::vector<std::string> further_key_digests = {};
    quota_spec quota = {};
    std::uint8_t urgency_rank = 0; // 0 is served first
};

struct upstream_spec
{
    std::string name;
    std::string address; // ip:port
    std::string service;
    upstream_kind kind = upstream_kind::plain;
    std::string version;
    std::string failure_domain;
    std::uint32_t capacity = 16; // requests in flight
    double price = 1.0;          // per hour, in the same unit for all
    bool reclaimable = false;
};

// Limits and prices for scaling a service's upstreams.
struct scaling_spec
{
    std::string service;
    std::uint32_t least = 0; // per failure domain, reclaimable or not
    std::uint32_t most = 0;
    duration boot_time{};
    double reclaimable_price = 1;         // as a fraction of the full price
    std::map<std::string, double> prices; // by failure domain
};

// How upstreams of a service start: for `time` after a start or another cause
// they are cold, and handle only so many requests a second.
struct warm_up_spec
{
    std::string service;
    duration time{};
    double per_second = 0; // of all VMs together; greater than 0
};

struct routing_tables
{
    bool known = true; // false until a configuration has been loaded
    // Of the platform operator's configuration; increases. 0: none.
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::vector<organisation_spec> organisations;
    std::vector<upstream_spec> upstreams;
    std::vector<scaling_spec> scalings = {};
    std::vector<warm_up_spec> warm_ups = {};
};

// The route for `host` with the longest prefix of `target`, or null. Linear in
// the number of routes.
route_spec const* match_route(routing_tables const& tables,
                              std::string_view target,
                              std::string_view host = {});

// The service for a request on `route`, chosen by the route's weights from a
// hash of `id`, so the same id always gets the same service.
std::string const& service_of(route_spec const& route, request_id const& id);

// Whether `organisation` may use `route`.
bool admits(route_spec const& route, std::string const& organisation);

// The organisation with a key of digest `credential_digest`, or nullopt if
// there is none. If no organisations are configured, all callers belong to an
// organisation with an empty name.
std::optional<std::string>
identify_organisation(routing_tables const& tables,
                      std::string_view credential_digest);

// Compiles the tables of a configuration revision.
routing_tables routing_tables_of(configuration const& tables);

// The value of the first header called `name`, ignoring case; empty if there is
// none.
std::string_view header_value(header_list const& headers,
                              std::string_view name);

} // namespace amarantharch

#endif
