#include "net/http_parser.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return (byte < first_printable && c != '\t') || byte == delete_character;
}

bool is_safe(header_field const& field)
{
    return !field.name.empty() &&
           std::none_of(field.name.begin(), field.name.end(),
                        [](char c)
                        { return is_control(c) || c == ' ' || c == ':'; }) &&
           std::none_of(field.value.begin(), field.value.end(), is_control);
}

bool carries_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

bool is_hop_by_hop(http::field field)
{
    switch (field)
    {
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        return false;
    }
}

bool lists_token(std::string_view value, std::string_view token)
{
    return !value.empty() &&
           http::token_list(
               boost::beast::string_view(value.data(), value.size()))
               .exists(boost::beast::string_view(token.data(), token.size()));
}

std::string serialize_headers(header_list const& headers)
{
    std::string block;
    for (header_field const& field : headers)
    {
        if (is_safe(field) && !is_hop_by_hop(http::string_to_field(field.name)))
        {
            fmt::format_to(std::back_inserter(block), "{}: {}\r\n", field.name,
                           field.value);
        }
    }
    return block;
}

std::string status_line(int status)
{
    auto const reason =
        http::obsolete_reason(static_cast<http::status>(status));
    return fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(reason));
}

std::string serialize_request(call const& request, std::string_view host)
{
    std::string wire = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                   request.method, request.target, host);
    header_list headers = request.headers;
    std::erase_if(
        headers, [](header_field const& field)
        { return http::string_to_field(field.name) == http::field::host; });
    wire += serialize_headers(headers);
    if (!request.body.empty() || carries_body(request.method))
    {
        wire += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    wire += "\r\n";
    wire += request.body;
    return wire;
}

void input_buffer::consume(std::size_t size)
{
    begin_ += size;
    if (begin_ == bytes_.size())
    {
        clear();
    }
    else if (begin_ >= bytes_.size() / 2)
    {
        bytes_.erase(0, begin_);
        begin_ = 0;
    }
}

void input_buffer::clear()
{
    bytes_.clear();
    begin_ = 0;
}

} // namespace amarantharch
