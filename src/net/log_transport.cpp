#include "net/log_transport.hpp"

#include "net/http_request.hpp"
#include "net/json.hpp"

#include <fmt/format.h>
#include <msgpack.hpp>

#include <tuple>

namespace amarantharch
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
// Where a refusal does not say when to come back.
constexpr duration default_retry_after = std::chrono::seconds(1);
// What one read's answer may hold besides its max_bytes.
constexpr std::size_t answer_bytes = std::size_t{16} << 20;
constexpr std::size_t nesting_depth = 8;

struct wire_record
{
    log_offset offset = 0;
    std::int64_t time_us = 0;
    std::string payload;
    MSGPACK_DEFINE_ARRAY(offset, time_us, payload)
};

struct wire_read
{
    log_offset first_retained = 0;
    log_offset end = 0;
    std::vector<wire_record> records;
    MSGPACK_DEFINE_ARRAY(first_retained, end, records)
};

// Bounds what a few bytes of input can make the decoder allocate.
msgpack::unpack_limit limits(std::size_t bytes)
{
    return {bytes, bytes, bytes, bytes, bytes, nesting_depth};
}

absl::Status check(wire_read const& decoded)
{
    if (decoded.end == 0 || decoded.first_retained > decoded.end)
    {
        return absl::DataLossError("bounds of a log read out of order");
    }
    log_offset last = 0;
    for (wire_record const& record : decoded.records)
    {
        if (record.offset <= last || record.offset < decoded.first_retained ||
            record.offset >= decoded.end)
        {
            return absl::DataLossError("offsets of a log read out of order");
        }
        last = record.offset;
    }
    return absl::OkStatus();
}

append_result refused(http_answer const& answer, std::string reason)
{
    duration const given = retry_after(answer);
    return {append_outcome::refused, 0,
            given > duration::zero() ? given : default_retry_after,
            std::move(reason)};
}

append_result interpret_append(http_answer const& answer)
{
    switch (answer.status)
    {
    case 0:
        return {answer.run == verdict::not_run ? append_outcome::not_sent
                                               : append_outcome::unknown,
                0, duration::zero(), answer.reason};
    case status_ok:
        break;
    case status_too_many:
        return refused(answer, "append_rate");
    case status_unavailable:
        return refused(answer, "log_unavailable");
    default:
        return {append_outcome::unknown, 0, duration::zero(),
                fmt::format("status_{}", answer.status)};
    }
    auto const object = parse_json_object(answer.body);
    auto const offset = object.ok() ? json_integer(*object, "offset") : 0;
    if (offset <= 0)
    {
        return {append_outcome::unknown, 0, duration::zero(),
                "malformed_answer"};
    }
    return {append_outcome::stored, static_cast<log_offset>(offset),
            duration::zero(), ""};
}

absl::StatusOr<log_read_result> interpret_read(http_answer const& answer)
{
    if (answer.status == status_ok)
    {
        return decode_log_read(answer.body);
    }
    if (answer.status == 0)
    {
        return absl::UnavailableError(answer.reason);
    }
    return absl::UnavailableError(fmt::format("status_{}", answer.status));
}

std::string records_target(log_stream stream)
{
    return fmt::format("/v1/streams/{}/records",
                       name_in(log_stream_names, stream));
}

} // namespace

absl::StatusOr<log_read_result> decode_log_read(std::string_view body)
{
    wire_read decoded;
    try
    {
        auto const handle = msgpack::unpack(body.data(), body.size(), nullptr,
                                            nullptr, limits(body.size()));
        handle.get().convert(decoded);
    }
    catch (std::exception const& error)
    {
        return absl::DataLossError(error.what());
    }
    absl::Status const checked = check(decoded);
    if (!checked.ok())
    {
        return checked;
    }
    log_read_result result{decoded.first_retained, decoded.end, {}};
    result.records.reserve(decoded.records.size());
    for (wire_record& record : decoded.records)
    {
        result.records.push_back({record.offset, from_micros(record.time_us),
                                  std::move(record.payload)});
    }
    return result;
}

class log_transport::impl
{
public:
    impl(std::string address, duration timeout)
        : address_(std::move(address)), timeout_(timeout),
          requester_(answer_bytes)
    {
    }

    void append(log_stream stream, std::string payload, append_callback done)
    {
        requester_.send(address_,
                        {"",
                         "POST",
                         records_target(stream),
                         {{"Content-Type", "application/msgpack"}},
                         std::move(payload)},
                        {timeout_, timeout_, timeout_},
                        [done = std::move(done)](http_answer const& answer)
                        { done(interpret_append(answer)); });
    }

    void read(log_read_request const& request, read_callback done)
    {
        std::string const target =
            fmt::format("{}?from={}&max_bytes={}&wait_ms={}",
                        records_target(request.stream), request.from,
                        request.max_bytes, to_millis(request.wait));
        requester_.send(address_, {"", "GET", target, {}, ""},
                        {timeout_, timeout_ + request.wait, timeout_},
                        [done = std::move(done)](http_answer const& answer)
                        { done(interpret_read(answer)); });
    }

private:
    std::string address_;
    duration timeout_;
    http_requester requester_;
};

log_transport::log_transport(std::string address, duration timeout)
    : impl_(std::make_unique<impl>(std::move(address), timeout))
{
}

log_transport::~log_transport() = default;

void log_transport::append(log_stream stream, std::string payload,
                           append_callback done)
{
    impl_->append(stream, std::move(payload), std::move(done));
}

void log_transport::read(log_read_request const& request, read_callback done)
{
    impl_->read(request, std::move(done));
}

} // namespace amarantharch
