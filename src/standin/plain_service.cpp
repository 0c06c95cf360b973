#include "standin/plain_service.hpp"

#include "core/site.hpp"
#include "standin/json.hpp"

#include <fmt/format.h>

#include <xxhash.h>

namespace amarantharch::standin
{

namespace
{

std::string hash_of(std::string const& text)
{
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

QJsonObject as_json(std::map<std::string, std::uint64_t> const& counts)
{
    QJsonObject object;
    for (auto const& [key, count] : counts)
    {
        object[QString::fromStdString(key)] = static_cast<qint64>(count);
    }
    return object;
}

} // namespace

plain_service::plain_service(plain_service_options options)
    : options_(std::move(options))
{
}

void plain_service::receive(time_point now, exchange_id exchange,
                            call const& request, reply_sink const& emit)
{
    if (faults_.receive(now, exchange, request, emit))
    {
        return;
    }
    if (path_of(request.target) == "/runs")
    {
        emit(whole_reply{exchange, 200, "application/json", runs()});
        return;
    }
    if (!apply_common_faults(faults_, now, exchange, request, emit))
    {
        run(now, exchange, request, emit);
    }
}

// A run that has begun goes on although its caller left: it counts.
void plain_service::abandon(time_point, exchange_id exchange)
{
    running_.erase(exchange);
}

void plain_service::tick(time_point now, reply_sink const& emit)
{
    for (auto row = running_.begin(); row != running_.end();)
    {
        row = advance(now, row->first, row->second, emit) ? running_.erase(row)
                                                          : std::next(row);
    }
}

void plain_service::run(time_point now, exchange_id exchange,
                        call const& request, reply_sink const& emit)
{
    std::string const path(path_of(request.target));
    std::string const body_hash = hash_of(request.body);
    std::string key(header_value(request.headers, "Idempotency-Key"));
    if (key.empty())
    {
        key = fmt::format("{} {} {}", request.method, path, body_hash);
    }
    std::uint64_t const run_number = ++by_key_[key];
    ++by_body_[body_hash];
    ++total_;

    auto const bad = faults_.take(now, fault_kind::bad_version);
    bool const affected = bad && bad->text == options_.version;
    if (affected && bad->length == duration::zero())
    {
        emit(error_reply(exchange, 500, "bad version"));
        return;
    }
    running_row row;
    row.step = options_.run_time +
               std::chrono::milliseconds(header_integer(request, "X-Run-Ms"));
    row.step += affected ? bad->length : duration::zero();
    if (auto const slow = faults_.take(now, fault_kind::slow))
    {
        row.step += slow->length;
    }
    row.next = now + row.step;
    row.pieces = header_integer(request, "X-Stream-Pieces");
    row.body = to_string(QJsonObject{
        {"run", static_cast<qint64>(run_number)},
        {"service", QString::fromStdString(options_.service)},
        {"version", QString::fromStdString(options_.version)},
        {"path", QString::fromStdString(path)},
        {"echo", QString::fromStdString(request.body)},
    });
    if (!advance(now, exchange, row, emit))
    {
        running_[exchange] = std::move(row);
    }
}

bool plain_service::advance(time_point now, exchange_id exchange,
                            running_row& row, reply_sink const& emit)
{
    if (row.pieces == 0)
    {
        if (now < row.next)
        {
            return false;
        }
        emit_or_lose(faults_, now,
                     {exchange, 200, "application/json", row.body}, emit);
        return true;
    }
    while (now >= row.next)
    {
        if (row.sent == row.pieces)
        {
            emit(reply_end{exchange});
            return true;
        }
        if (row.sent == 0)
        {
            emit(reply_head{exchange, 200, "text/plain"});
        }
        emit(reply_piece{exchange, fmt::format("piece {}\n", row.sent)});
        ++row.sent;
        auto const cut = faults_.find(now, fault_kind::cut);
        if (cut && cut->tokens == row.sent)
        {
            faults_.take(now, fault_kind::cut);
            emit(reply_cut{exchange});
            return true;
        }
        row.next += row.step;
    }
    return false;
}

std::string plain_service::runs() const
{
    return to_string(QJsonObject{{"total", static_cast<qint64>(total_)},
                                 {"by_key", as_json(by_key_)},
                                 {"by_body", as_json(by_body_)}});
}

} // namespace amarantharch::standin
