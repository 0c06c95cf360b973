#include "core/call_fields.hpp"

#include "core/prefix_cache.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <iterator>

namespace amarantharch
{

namespace
{

constexpr std::uint8_t min_interactive_priority = 6;
constexpr std::uint8_t min_standard_priority = 3;

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

request_class class_of(std::uint8_t priority)
{
    if (priority >= min_interactive_priority)
    {
        return request_class::interactive;
    }
    return priority >= min_standard_priority ? request_class::standard
                                             : request_class::batch;
}

std::uint32_t estimate_tokens(std::string const& body)
{
    return static_cast<std::uint32_t>(body.size() / bytes_per_token);
}

std::string route_text(call const& request)
{
    return request.method + " " + request.target;
}

std::string bearer_token(std::string_view authorization)
{
    constexpr std::string_view prefix = "Bearer ";
    return authorization.starts_with(prefix)
               ? std::string(authorization.substr(prefix.size()))
               : std::string();
}

request_key key_of(call const& request, std::string const& organisation)
{
    std::string_view const given =
        header_value(request.headers, "Idempotency-Key");
    if (!given.empty())
    {
        return key_from_header(organisation, given);
    }
    return key_from_content(organisation,
                            header_value(request.headers, "X-Caller"),
                            route_text(request), request.body);
}

stored_call to_stored_call(call const& request, std::string const& organisation,
                           std::string const& service)
{
    stored_call record;
    record.request = request.id;
    record.organisation = organisation;
    record.service = service;
    record.method = request.method;
    record.target = request.target;
    record.body = request.body;
    for (header_field const& field : request.headers)
    {
        record.headers.emplace_back(field.name, field.value);
    }
    return record;
}

call from_stored_call(stored_call const& record)
{
    call request;
    request.id = record.request;
    request.method = record.method;
    request.target = record.target;
    request.body = record.body;
    for (auto const& [name, value] : record.headers)
    {
        request.headers.push_back({name, value});
    }
    return request;
}

bool is_replaced(header_field const& field)
{
    constexpr std::string_view names[] = {
        "Authorization", "X-Request-Id", "X-Organisation", "X-Priority",
        "X-Timeout-Ms",  "X-Stream-Id",  "X-Resume-From"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view name)
                       { return equals_ignoring_case(field.name, name); });
}

bool wants_asynchronous(call const& request)
{
    return header_value(request.headers, "Prefer") == "respond-async";
}

bool wants_stream(std::string const& body)
{
    constexpr std::string_view member = "\"stream\"";
    constexpr std::string_view spaces = " \t\r\n";
    auto const at = body.find(member);
    if (at == std::string::npos)
    {
        return false;
    }
    auto const colon = body.find_first_not_of(spaces, at + member.size());
    if (colon == std::string::npos || body[colon] != ':')
    {
        return false;
    }
    auto const value = body.find_first_not_of(spaces, colon + 1);
    return value != std::string::npos && body.compare(value, 4, "true") == 0;
}

token_offset resume_offset(header_list const& headers)
{
    token_offset offset = 0;
    std::string const text(header_value(headers, resume_header));
    return absl::SimpleAtoi(text, &offset) ? offset : 0;
}

std::string stream_id_of(call const& request)
{
    std::string_view const given =
        header_value(request.headers, stream_id_header);
    return given.empty() ? request.id : std::string(given);
}

} // namespace amarantharch
