#include "net/http_parser.hpp"

#include <fmt/format.h>

namespace amarantharch
{

std::string serialize_request(call const& request, std::string_view host)
{
    std::string wire = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                   request.method, request.target, host);
    for (header_field const& field : request.headers)
    {
        if (http::string_to_field(field.name) != http::field::host)
        {
            wire += fmt::format("{}: {}\r\n", field.name, field.value);
        }
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT" || request.method == "PATCH")
    {
        wire += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    wire += "\r\n";
    wire += request.body;
    return wire;
}

} // namespace amarantharch
