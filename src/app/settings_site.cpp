#include "app/settings_site.hpp"

#include <QByteArray>
#include <QCryptographicHash>

#include <algorithm>

namespace amarantharch
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

std::string service_of(upstream_settings const& upstream)
{
    return upstream.service.empty() ? upstream.name : upstream.service;
}

// A service's kind is that of its first upstream.
upstream_kind kind_of(settings const& options, std::string const& service)
{
    auto const found = std::find_if(
        options.upstreams.begin(), options.upstreams.end(),
        [&](auto const& upstream) { return service_of(upstream) == service; });
    return found == options.upstreams.end() ? upstream_kind::plain
                                            : found->kind;
}

route_spec route_of(settings const& options, route_settings const& route)
{
    route_spec result;
    result.name = route.name;
    result.prefix = route.prefix;
    result.service = route.service;
    result.kind = kind_of(options, route.service);
    result.idempotent = route.idempotent;
    result.timeout = route.timeout;
    result.priority = static_cast<std::uint8_t>(route.priority);
    return result;
}

upstream_spec upstream_of(upstream_settings const& upstream)
{
    upstream_spec result;
    result.name = upstream.name;
    result.address = upstream.address;
    result.service = service_of(upstream);
    result.kind = upstream.kind;
    result.version = upstream.version;
    result.failure_domain = upstream.failure_domain;
    result.capacity = static_cast<std::uint32_t>(upstream.capacity);
    result.price = upstream.price;
    result.reclaimable = upstream.reclaimable;
    return result;
}

} // namespace

site site_of(settings const& options)
{
    site result;
    for (route_settings const& route : options.routes)
    {
        result.routes.push_back(route_of(options, route));
    }
    for (upstream_settings const& upstream : options.upstreams)
    {
        result.upstreams.push_back(upstream_of(upstream));
    }
    for (organisation_settings const& organisation : options.organisations)
    {
        result.organisations.push_back(
            {organisation.name, organisation.weight,
             credential_digest(organisation.credential)});
    }
    return result;
}

std::string credential_digest(std::string_view authorization)
{
    if (!authorization.starts_with(bearer_prefix))
    {
        return "";
    }
    authorization.remove_prefix(bearer_prefix.size());
    QByteArray const token(authorization.data(),
                           static_cast<qsizetype>(authorization.size()));
    return QCryptographicHash::hash(token, QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

} // namespace amarantharch
