#include "core/site.hpp"

#include "core/configuration.hpp"

#include <absl/strings/match.h>
#include <xxhash.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

absl::string_view absl_view(std::string_view text)
{
    return {text.data(), text.size()};
}

// Compares in time that depends only on the lengths, so that timing does not
// reveal how many bytes of a credential match.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |=
            static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

route_spec route_of(configuration const& tables, route_row const& route)
{
    service_row const& service = tables.services[route.service];
    route_spec result;
    result.name = route.name;
    result.prefix = route.path;
    result.service = service.name;
    result.kind = service.kind;
    result.idempotent = service.idempotent;
    result.timeout = route.timeout;
    result.priority = static_cast<std::uint8_t>(route.priority);
    if (!tables.organisations.empty())
    {
        result.organisations =
            select(tables, route.organisations).organisations;
    }
    return result;
}

upstream_spec upstream_of(configuration const& tables,
                          configured_upstream const& upstream)
{
    service_row const& service = tables.services[upstream.service];
    upstream_spec result;
    result.name = upstream.name;
    result.address = upstream.address;
    result.service = service.name;
    result.kind = service.kind;
    result.version = upstream.version;
    result.failure_domain = upstream.failure_domain;
    result.price = upstream.price;
    result.capacity = static_cast<std::uint32_t>(upstream.capacity);
    result.reclaimable = upstream.reclaimable;
    return result;
}

} // namespace

route_spec const* match_route(routing_tables const& tables,
                              std::string_view target, std::string_view host)
{
    route_spec const* best = nullptr;
    for (route_spec const& route : tables.routes)
    {
        bool const longer =
            best == nullptr || route.prefix.size() > best->prefix.size();
        bool const host_matches = route.host.empty() || route.host == host;
        if (longer && host_matches && target.starts_with(route.prefix))
        {
            best = &route;
        }
    }
    return best;
}

std::string const& service_of(route_spec const& route, request_id const& id)
{
    double total = 0;
    for (service_share const& share : route.shares)
    {
        total += share.weight;
    }
    if (total <= 0)
    {
        return route.service;
    }
    constexpr std::uint64_t hash_steps = std::uint64_t{1} << 20;
    double remaining =
        static_cast<double>(XXH3_64bits(id.data(), id.size()) % hash_steps) /
        static_cast<double>(hash_steps) * total;
    for (service_share const& share : route.shares)
    {
        remaining -= share.weight;
        if (remaining < 0)
        {
            return share.service;
        }
    }
    return route.shares.back().service;
}

std::string_view header_value(header_list const& headers, std::string_view name)
{
    for (header_field const& field : headers)
    {
        if (absl::EqualsIgnoreCase(field.name, absl_view(name)))
        {
            return field.value;
        }
    }
    return {};
}

bool admits(route_spec const& route, std::string const& organisation)
{
    return !route.organisations ||
           std::find(route.organisations->begin(), route.organisations->end(),
                     organisation) != route.organisations->end();
}

std::optional<std::string>
identify_organisation(routing_tables const& tables,
                      std::string_view credential_digest)
{
    if (tables.organisations.empty())
    {
        return "";
    }
    for (organisation_spec const& organisation : tables.organisations)
    {
        if (!organisation.key_digest.empty() &&
            equal_in_constant_time(organisation.key_digest, credential_digest))
        {
            return organisation.name;
        }
        for (std::string const& digest : organisation.further_key_digests)
        {
            if (equal_in_constant_time(digest, credential_digest))
            {
                return organisation.name;
            }
        }
    }
    return std::nullopt;
}

routing_tables routing_tables_of(configuration const& tables)
{
    routing_tables result;
    for (auto const& organisation : tables.organisations)
    {
        result.organisations.push_back(
            {organisation.name, organisation.weight, organisation.key_digest});
    }
    for (auto const& route : tables.routes)
    {
        result.routes.push_back(route_of(tables, route));
    }
    for (auto const& upstream : tables.upstreams)
    {
        result.upstreams.push_back(upstream_of(tables, upstream));
    }
    return result;
}

} // namespace amarantharch
