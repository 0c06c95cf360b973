// Incremental HTTP/1.1 message parsing over Boost.Beast's codec.
//
// The parser is fed whatever bytes arrived and reports the head, the body's
// pieces and the end as they become known. Beast's string body is drained
// after each feed, so memory is bounded by one read, not by the message.
#ifndef AMARANTHARCH_NET_HTTP_PARSER_HPP
#define AMARANTHARCH_NET_HTTP_PARSER_HPP

#include "core/call.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace amarantharch
{

namespace http = boost::beast::http;

// The fields of `message`, less those that concern one connection only.
template <bool IsRequest>
header_list end_to_end_headers(http::header<IsRequest> const& message)
{
    header_list fields;
    for (auto const& field : message)
    {
        switch (field.name())
        {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::content_length:
        case http::field::upgrade:
            break;
        default:
            fields.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
    }
    return fields;
}

// The `Content-Length`-framed or chunk-framed wire form of a request.
std::string serialize_request(call const& request, std::string_view host);

} // namespace amarantharch

#endif
