// The tables that a node decides by: routes, organisations and upstreams.
//
// They are compiled from the configuration revision in force and, before one
// is known, from the VM's settings. A site is immutable; a new revision brings
// a new one.
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
    engine, // a model engine: streams tokens, resumes, cancels
    plain,  // any other service
};

inline constexpr name_table<upstream_kind, 2> upstream_kind_names{{
    {upstream_kind::engine, "engine"},
    {upstream_kind::plain, "plain"},
}};

inline constexpr duration default_route_timeout = std::chrono::seconds(30);
inline constexpr std::uint8_t default_route_priority = 4;

// What is done with requests whose path begins with `prefix`.
// The greatest rank of urgency.
inline constexpr std::uint8_t lowest_urgency_rank = 9;

struct service_share
{
    std::string service;
    double weight = 0; // relative to the route's other shares
};

struct route_spec
{
    std::string name;
    std::string prefix;  // the longest matching prefix wins
    std::string service; // upstreams of this service serve it
    upstream_kind kind = upstream_kind::plain;
    bool idempotent = true; // false: runs at most once
    duration timeout = default_route_timeout;
    std::uint8_t priority = default_route_priority; // 0 is served last
    // Whose requests it takes; nothing: everybody's.
    std::optional<std::vector<std::string>> organisations = std::nullopt;
    std::string host = {};          // empty: any host
    bool open_to_all = false;       // takes requests without a credential
    bool event_stream = false;      // answered by events with ascending ids
    bool resumable = false;         // an event stream may go on elsewhere
    std::uint32_t max_attempts = 0; // 0: as the retry budget has it
    duration latency_target{};      // 0: none
    std::uint8_t urgency_rank = 0;  // 0 goes first at an engine
    // Splits the route between services; empty: all goes to `service`.
    std::vector<service_share> shares = {};
};

// What an organisation may use in any window, over all VMs.
struct quota_spec
{
    double rate_per_second = 0; // 0: no limit
    double burst = 0;
    bool counts_tokens = false;        // else requests
    double unsized_request_tokens = 0; // charged where no size is given
};

struct organisation_spec
{
    std::string name;
    double weight = 1.0;    // share relative to other organisations
    std::string key_digest; // hex SHA-256 of its callers' bearer token
    std::vector<std::string> further_key_digests = {};
    quota_spec quota = {};
    std::uint8_t urgency_rank = 0; // 0 goes first
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
    double price = 1.0;          // per hour, in any one unit
    bool reclaimable = false;
};

// How many upstreams of a service may be ordered, and what they cost.
struct scaling_spec
{
    std::string service;
    std::uint32_t least = 0; // in each failure domain, of both kinds together
    std::uint32_t most = 0;
    duration boot_time{};
    double reclaimable_price = 1;         // as a share of the others' price
    std::map<std::string, double> prices; // by failure domain
};

struct site
{
    bool known = true; // false: no configuration has been read yet
    std::vector<route_spec> routes;
    std::vector<organisation_spec> organisations;
    std::vector<upstream_spec> upstreams;
    std::vector<scaling_spec> scalings = {};
};

// The route of `host` with the longest prefix of `target`, or null. Linear in
// routes.
route_spec const* match_route(site const& tables, std::string_view target,
                              std::string_view host = {});

// The service that a request on `route` goes to: by the route's shares, the
// same for equal ids.
std::string const& service_of(route_spec const& route, request_id const& id);

// Whether `route` takes requests of `organisation`.
bool admits(route_spec const& route, std::string const& organisation);

// The organisation whose key has the digest `credential_digest`. Where no
// organisation is configured every caller belongs to the unnamed one;
// otherwise a request without a known credential belongs to none.
std::optional<std::string>
identify_organisation(site const& tables, std::string_view credential_digest);

// The tables of a configuration revision.
site site_of(configuration const& tables);

// The value of the first header called `name`, compared without case.
std::string_view header_value(header_list const& headers,
                              std::string_view name);

} // namespace amarantharch

#endif
