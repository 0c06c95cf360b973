// Incremental HTTP/1.1 message parsing over Boost.Beast's codec, and the
// wire forms of heads.
//
// Fields that concern one connection only are never passed on, and a field
// whose value holds a line break is dropped, so that a message from one side
// cannot forge a message to the other.
#ifndef AMARANTHARCH_NET_HTTP_PARSER_HPP
#define AMARANTHARCH_NET_HTTP_PARSER_HPP

#include "core/call.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string>
#include <string_view>

namespace amarantharch
{

namespace http = boost::beast::http;

// A body that takes memory as its bytes arrive: its size, rounded up to a power
// of two. http::string_body reserves the announced length, which a faulty
// sender may set to any number.
struct arriving_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(body)
        {
        }

        void init(boost::optional<std::uint64_t> const& /*length*/,
                  boost::beast::error_code& error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(Buffers const& buffers, boost::beast::error_code& error)
        {
            error = {};
            std::size_t const size =
                body_.size() + boost::beast::buffer_bytes(buffers);
            if (size > body_.capacity())
            {
                body_.reserve(std::bit_ceil(size));
            }
            std::size_t taken = 0;
            for (auto const buffer : boost::beast::buffers_range_ref(buffers))
            {
                body_.append(static_cast<char const*>(buffer.data()),
                             buffer.size());
                taken += buffer.size();
            }
            return taken;
        }

        void finish(boost::beast::error_code& error)
        {
            error = {};
        }

    private:
        value_type& body_;
    };
};

inline constexpr unsigned version_1_1 = 11;

// True for fields that end at the next hop, such as Connection.
bool is_hop_by_hop(http::field field);

// True if `value`'s comma-separated list holds `token`, ignoring case.
bool lists_token(std::string_view value, std::string_view token);

// False for a message whose end cannot be known for certain: one with a
// transfer coding other than "chunked" alone, or one of HTTP/1.0 with any
// (RFC 9112, 6.1 and 6.3). The parser takes it for one without a body, or for
// one that ends with its connection.
template <bool IsRequest>
bool has_known_framing(http::header<IsRequest> const& message)
{
    auto const codings = message.equal_range(http::field::transfer_encoding);
    return std::all_of(codings.first, codings.second,
                       [&](auto const& coding)
                       {
                           return message.version() >= version_1_1 &&
                                  boost::beast::iequals(coding.value(),
                                                        "chunked");
                       });
}

// The fields of `message`, less those that concern one connection only and
// those that its Connection field names.
template <bool IsRequest>
header_list end_to_end_headers(http::header<IsRequest> const& message)
{
    std::string const connection(message[http::field::connection]);
    header_list fields;
    for (auto const& field : message)
    {
        std::string name(field.name_string());
        if (!is_hop_by_hop(field.name()) && !lists_token(connection, name))
        {
            fields.push_back({std::move(name), std::string(field.value())});
        }
    }
    return fields;
}

// "Name: value" lines. Leaves out hop-by-hop fields, whose place is with the
// connection's owner, and fields that hold a control character.
std::string serialize_headers(header_list const& headers);

// "HTTP/1.1 200 OK" and its line end.
std::string status_line(int status);

// The `Content-Length`-framed wire form of a request.
std::string serialize_request(call const& request, std::string_view host);

// Bytes received and not yet parsed. Taking from the front costs amortized
// O(1) a byte: the space is reclaimed when at least half of it is used up.
class input_buffer
{
public:
    void append(char const* data, std::size_t size)
    {
        bytes_.append(data, size);
    }

    std::string_view view() const
    {
        return std::string_view(bytes_).substr(begin_);
    }

    bool empty() const
    {
        return begin_ == bytes_.size();
    }

    void consume(std::size_t size);
    void clear();

private:
    std::string bytes_;
    std::size_t begin_ = 0; // <= bytes_.size()
};

} // namespace amarantharch

#endif
