#include "core/site.hpp"

#include <absl/strings/match.h>

namespace amarantharch
{

namespace
{

absl::string_view absl_view(std::string_view text)
{
    return {text.data(), text.size()};
}

// Compares in time that depends on the lengths only, so that a credential
// cannot be guessed byte by byte.
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

} // namespace

route_spec const* match_route(site const& tables, std::string_view target)
{
    route_spec const* best = nullptr;
    for (route_spec const& route : tables.routes)
    {
        bool const longer =
            best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && target.starts_with(route.prefix))
        {
            best = &route;
        }
    }
    return best;
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

std::optional<std::string>
identify_organisation(site const& tables, std::string_view credential_digest)
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
    }
    return std::nullopt;
}

} // namespace amarantharch
