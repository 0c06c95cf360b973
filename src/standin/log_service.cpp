#include "standin/log_service.hpp"

#include "standin/json.hpp"

#include <QJsonArray>

#include <algorithm>
#include <sstream>

namespace amarantharch::standin
{

namespace
{

constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr std::int64_t most_wait_ms = 60'000;

// The stream that a target names, or nothing.
std::string stream_of(std::string_view path)
{
    auto const rest = after_prefix(path, streams_prefix);
    if (!rest || !rest->ends_with(records_suffix))
    {
        return "";
    }
    return std::string(rest->substr(0, rest->size() - records_suffix.size()));
}

} // namespace

log_service::log_service(log_service_options options)
    : options_(options), append_tokens_(options.appends_per_second)
{
}

void log_service::receive(time_point now, exchange_id exchange,
                          call const& request, reply_sink const& emit)
{
    if (faults_.receive(now, exchange, request, emit))
    {
        serve_waiting(now, emit);
        return;
    }
    if (path_of(request.target) == "/streams")
    {
        list_streams(exchange, emit);
        return;
    }
    if (apply_common_faults(faults_, now, exchange, request, emit))
    {
        return;
    }
    std::string const stream = stream_of(path_of(request.target));
    if (stream.empty())
    {
        emit(error_reply(exchange, 404, "no such path"));
    }
    else if (request.method == "POST")
    {
        append(now, exchange, request, stream, emit);
    }
    else if (request.method == "GET")
    {
        read(now, exchange, request, stream, emit);
    }
    else
    {
        emit(error_reply(exchange, 405, "GET or POST expected"));
    }
}

void log_service::abandon(time_point, exchange_id exchange)
{
    waiting_.erase(exchange);
}

void log_service::tick(time_point now, reply_sink const& emit)
{
    expire(now);
    serve_waiting(now, emit);
    for (late_reply const& row : late_)
    {
        if (row.at <= now)
        {
            emit(row.answer);
        }
    }
    std::erase_if(late_,
                  [now](late_reply const& row) { return row.at <= now; });
}

void log_service::append(time_point now, exchange_id exchange,
                         call const& request, std::string const& stream,
                         reply_sink const& emit)
{
    if (request.body.size() > options_.payload_bytes)
    {
        emit(error_reply(exchange, 413, "payload too large"));
        return;
    }
    if (!admit_append(now))
    {
        emit(error_reply(exchange, 429, "append rate"));
        return;
    }
    stream_row& row = streams_[stream];
    std::uint64_t const offset = row.end();
    row.records.push_back({offset, to_micros(now), request.body});
    reply_sink const lose = [&](reply const& answer)
    {
        emit_or_lose(faults_, now, std::get<whole_reply>(answer), emit);
    };
    give(now,
         json_reply(exchange, 200, {{"offset", static_cast<qint64>(offset)}}),
         lose);
    serve_waiting(now, emit);
}

void log_service::read(time_point now, exchange_id exchange,
                       call const& request, std::string const& stream,
                       reply_sink const& emit)
{
    std::int64_t const from = query_integer(request.target, "from", 1);
    auto const max_bytes = static_cast<std::int64_t>(options_.read_bytes);
    waiting_read wanted;
    wanted.stream = stream;
    wanted.from = static_cast<std::uint64_t>(std::max<std::int64_t>(from, 1));
    wanted.max_bytes = static_cast<std::size_t>(std::clamp<std::int64_t>(
        query_integer(request.target, "max_bytes", max_bytes), 1, max_bytes));
    wanted.until = now + std::chrono::milliseconds(std::clamp<std::int64_t>(
                             query_integer(request.target, "wait_ms", 0), 0,
                             most_wait_ms));
    waiting_[exchange] = wanted;
    serve_waiting(now, emit);
}

void log_service::list_streams(exchange_id exchange, reply_sink const& emit)
{
    QJsonObject all;
    for (auto const& [stream, row] : streams_)
    {
        all[QString::fromStdString(stream)] = QJsonObject{
            {"first_retained", static_cast<qint64>(row.first_retained)},
            {"end", static_cast<qint64>(row.end())}};
    }
    emit(json_reply(exchange, 200, all));
}

// Always returns at least one record if there is one, however large.
void log_service::answer_read(exchange_id exchange, waiting_read const& wanted,
                              reply_sink const& emit)
{
    stream_row const& row = streams_[wanted.stream];
    read_answer answer{row.first_retained, row.end(), {}};
    std::uint64_t offset = std::max(wanted.from, row.first_retained);
    std::size_t bytes = 0;
    for (; offset < row.end(); ++offset)
    {
        stored_record const& record = row.records[offset - row.first_retained];
        bytes += record.payload.size();
        if (bytes > wanted.max_bytes && !answer.records.empty())
        {
            break;
        }
        answer.records.push_back(record);
    }
    std::stringstream packed;
    msgpack::pack(packed, answer);
    emit(whole_reply{exchange, 200, "application/msgpack", packed.str()});
}

void log_service::serve_waiting(time_point now, reply_sink const& emit)
{
    bool const out = faults_.find(now, fault_kind::outage).has_value();
    for (auto row = waiting_.begin(); row != waiting_.end();)
    {
        waiting_read const& wanted = row->second;
        stream_row const& stream = streams_[wanted.stream];
        bool const due = out || now >= wanted.until ||
                         wanted.from < stream.end() ||
                         wanted.from < stream.first_retained;
        if (!due)
        {
            ++row;
            continue;
        }
        reply_sink const delay = [&](reply const& answer)
        {
            give(now, std::get<whole_reply>(answer), emit);
        };
        out ? emit(error_reply(row->first, 503, "outage"))
            : answer_read(row->first, wanted, delay);
        row = waiting_.erase(row);
    }
}

void log_service::expire(time_point now)
{
    std::int64_t const oldest = to_micros(now - options_.retention);
    for (auto& [name, row] : streams_)
    {
        while (!row.records.empty() && row.records.front().time_us < oldest)
        {
            row.records.pop_front();
            ++row.first_retained;
        }
    }
}

// A token bucket that holds a second's worth.
bool log_service::admit_append(time_point now)
{
    std::chrono::duration<double> const passed =
        std::max(now - refilled_, duration::zero());
    append_tokens_ =
        std::min(options_.appends_per_second,
                 append_tokens_ + passed.count() * options_.appends_per_second);
    refilled_ = now;
    if (append_tokens_ < 1)
    {
        return false;
    }
    append_tokens_ -= 1;
    return true;
}

// Emits `answer` now, or late if the service is slow.
void log_service::give(time_point now, whole_reply answer,
                       reply_sink const& emit)
{
    if (auto const slow = faults_.take(now, fault_kind::slow))
    {
        late_.push_back({now + slow->length, std::move(answer)});
        return;
    }
    emit(std::move(answer));
}

} // namespace amarantharch::standin
