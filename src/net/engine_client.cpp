#include "net/engine_client.hpp"

#include "net/answer_status.hpp"
#include "net/http_request.hpp"
#include "net/json.hpp"

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr name_table<engine_cache_event_kind, 2> engine_cache_event_kind_names{{
    {engine_cache_event_kind::stored, "stored"},
    {engine_cache_event_kind::evicted, "evicted"},
}};

constexpr name_table<engine_order_kind, 3> engine_order_kind_names{{
    {engine_order_kind::load, "load"},
    {engine_order_kind::unload, "unload"},
    {engine_order_kind::role, "role"},
}};

// A count; what does not fit is clamped.
template <typename Number>
Number count(QJsonObject const& object, char const* key)
{
    std::int64_t const value = json_integer(object, key);
    if (value <= 0)
    {
        return 0;
    }
    auto const positive = static_cast<std::uint64_t>(value);
    constexpr std::uint64_t largest = std::numeric_limits<Number>::max();
    return static_cast<Number>(std::min(positive, largest));
}

absl::StatusOr<engine_load> to_load(http_answer const& answer)
{
    absl::Status const status = answer_status(answer);
    if (!status.ok())
    {
        return status;
    }
    auto const object = parse_json_object(answer.body);
    if (!object.ok())
    {
        return object.status();
    }
    return engine_load{from_micros(json_integer(*object, "time_us")),
                       count<std::uint32_t>(*object, "running"),
                       count<std::uint32_t>(*object, "waiting"),
                       json_number(*object, "tokens_per_second"),
                       count<std::uint64_t>(*object, "cache_blocks_used"),
                       count<std::uint64_t>(*object, "cache_blocks"),
                       json_strings(*object, "versions"),
                       json_string(*object, "role")};
}

absl::StatusOr<engine_cache_events> to_events(http_answer const& answer)
{
    absl::Status const status = answer_status(answer);
    if (!status.ok())
    {
        return status;
    }
    auto const object = parse_json_object(answer.body);
    if (!object.ok())
    {
        return object.status();
    }
    engine_cache_events result;
    result.next = count<std::uint64_t>(*object, "next");
    for (QJsonObject const& row : json_objects(*object, "events"))
    {
        auto const kind =
            value_in(engine_cache_event_kind_names, json_string(row, "kind"));
        if (kind)
        {
            result.events.push_back({count<std::uint64_t>(row, "sequence"),
                                     *kind, json_string(row, "block")});
        }
    }
    return result;
}

absl::Status to_order_status(http_answer const& answer)
{
    absl::Status const status = answer_status(answer);
    return absl::IsAborted(status)
               ? absl::FailedPreconditionError(status.message())
               : status;
}

absl::StatusOr<std::string> to_block(http_answer const& answer)
{
    absl::Status const status = answer_status(answer);
    if (!status.ok())
    {
        return status;
    }
    return answer.body;
}

std::string order_body(engine_order const& order)
{
    QJsonObject body{
        {"fence", static_cast<qint64>(order.fence)},
        {"kind",
         QLatin1String(name_in(engine_order_kind_names, order.kind).data())}};
    std::pair<char const*, std::string const&> const fields[] = {
        {"version", order.version},
        {"adapter", order.adapter},
        {"role", order.role}};
    for (auto const& [key, value] : fields)
    {
        if (!value.empty())
        {
            body.insert(QLatin1String(key), QString::fromStdString(value));
        }
    }
    return to_text(body);
}

std::string block_target(std::string const& block)
{
    return "/engine/kv/" + percent_encode(block);
}

} // namespace

class engine_client::impl
{
public:
    explicit impl(duration timeout) : timeout_(timeout) {}

    // Sends a request and hands what `interpret` makes of its answer to
    // `done`.
    template <typename Interpret, typename Done>
    void send(std::string const& address, call const& request,
              Interpret interpret, Done done)
    {
        requester_.send(
            address, request, {timeout_, timeout_, timeout_},
            [interpret, done = std::move(done)](http_answer const& answer)
            { done(interpret(answer)); });
    }

private:
    duration timeout_;
    http_requester requester_;
};

engine_client::engine_client(duration timeout)
    : impl_(std::make_unique<impl>(timeout))
{
}

engine_client::~engine_client() = default;

void engine_client::load(std::string const& address, callback<engine_load> done)
{
    impl_->send(address, {"", "GET", "/engine/load", {}, ""}, to_load,
                std::move(done));
}

void engine_client::events(std::string const& address, std::uint64_t from,
                           callback<engine_cache_events> done)
{
    impl_->send(
        address,
        {"", "GET", fmt::format("/engine/cache_events?from={}", from), {}, ""},
        to_events, std::move(done));
}

void engine_client::order(std::string const& address, engine_order const& order,
                          status_callback done)
{
    impl_->send(address,
                {"",
                 "POST",
                 "/engine/orders",
                 {{"Content-Type", "application/json"}},
                 order_body(order)},
                to_order_status, std::move(done));
}

void engine_client::cancel_stream(std::string const& address,
                                  std::string const& stream,
                                  status_callback done)
{
    impl_->send(
        address,
        {"", "DELETE", "/engine/streams/" + percent_encode(stream), {}, ""},
        answer_status, std::move(done));
}

void engine_client::export_block(std::string const& address,
                                 std::string const& block,
                                 callback<std::string> done)
{
    impl_->send(address, {"", "GET", block_target(block), {}, ""}, to_block,
                std::move(done));
}

void engine_client::import_block(std::string const& address,
                                 std::string const& block, std::string bytes,
                                 status_callback done)
{
    impl_->send(address, {"", "PUT", block_target(block), {}, std::move(bytes)},
                answer_status, std::move(done));
}

} // namespace amarantharch
