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
};

struct organisation_spec
{
    std::string name;
    double weight = 1.0;    // share relative to other organisations
    std::string key_digest; // hex SHA-256 of its callers' bearer token
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

struct site
{
    std::vector<route_spec> routes;
    std::vector<organisation_spec> organisations;
    std::vector<upstream_spec> upstreams;
};

// The route with the longest prefix of `target`, or null. Linear in routes.
route_spec const* match_route(site const& tables, std::string_view target);

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
