#include "standin/fault_table.hpp"

#include "standin/json.hpp"

#include <QJsonArray>

namespace amarantharch::standin
{

namespace
{

// Kinds whose `ms` says how long each occasion takes, not when they end.
bool lasts_by_count(fault_kind kind)
{
    return kind == fault_kind::slow || kind == fault_kind::bad_version;
}

QJsonObject describe(fault_kind kind, fault const& value)
{
    auto const kind_name = name_in(fault_kind_names, kind);
    return {{"kind", QString::fromStdString(std::string(kind_name))},
            {"count", static_cast<qint64>(value.count)},
            {"ms", static_cast<qint64>(to_millis(value.length))},
            {"text", QString::fromStdString(value.text)},
            {"tokens", static_cast<qint64>(value.tokens)}};
}

} // namespace

bool fault_table::receive(time_point now, exchange_id exchange,
                          call const& request, reply_sink const& emit)
{
    if (path_of(request.target) != "/fault")
    {
        return false;
    }
    if (request.method == "GET")
    {
        QJsonArray rows;
        for (auto const& [kind, value] : faults_)
        {
            if (find(now, kind))
            {
                rows.append(describe(kind, value));
            }
        }
        emit(json_reply(exchange, 200, {{"faults", rows}}));
        return true;
    }
    auto const body = parse_object(request.body);
    auto const kind =
        value_in(fault_kind_names, body ? text_of(*body, "kind") : "");
    if (!kind)
    {
        emit(error_reply(exchange, 400, "no such kind of fault"));
        return true;
    }
    fault value;
    value.count = integer_of(*body, "count", 0);
    value.length = std::chrono::milliseconds(integer_of(*body, "ms", 0));
    value.text = text_of(*body, "text");
    value.tokens = integer_of(*body, "tokens", 0);
    set(now, *kind, value);
    emit(json_reply(exchange, 200, {{"set", value.count >= 0}}));
    return true;
}

void fault_table::set(time_point now, fault_kind kind, fault value)
{
    if (value.count < 0)
    {
        clear(kind);
        return;
    }
    if (value.count == 0 && value.length > duration::zero() &&
        !lasts_by_count(kind))
    {
        value.until = now + value.length;
    }
    faults_[kind] = std::move(value);
}

void fault_table::clear(fault_kind kind)
{
    faults_.erase(kind);
}

std::optional<fault> fault_table::find(time_point now, fault_kind kind) const
{
    auto const found = faults_.find(kind);
    if (found == faults_.end())
    {
        return std::nullopt;
    }
    bool const over =
        found->second.until != time_point{} && now >= found->second.until;
    return over ? std::nullopt : std::optional(found->second);
}

std::optional<fault> fault_table::take(time_point now, fault_kind kind)
{
    std::optional<fault> current = find(now, kind);
    if (current && current->count == 1)
    {
        faults_.erase(kind);
    }
    else if (current && current->count > 1)
    {
        --faults_[kind].count;
    }
    return current;
}

bool apply_common_faults(fault_table& faults, time_point now,
                         exchange_id exchange, call const& request,
                         reply_sink const& emit)
{
    auto const crash = faults.find(now, fault_kind::crash);
    if (crash && !crash->text.empty() &&
        request.body.find(crash->text) != std::string::npos)
    {
        emit(reply_crash{});
        return true;
    }
    if (faults.take(now, fault_kind::request_dropped))
    {
        emit(reply_cut{exchange});
        return true;
    }
    if (faults.take(now, fault_kind::outage))
    {
        emit(error_reply(exchange, 503, "outage"));
        return true;
    }
    return false;
}

void emit_or_lose(fault_table& faults, time_point now, whole_reply answer,
                  reply_sink const& emit)
{
    if (faults.take(now, fault_kind::answer_lost))
    {
        emit(reply_cut{answer.exchange});
        return;
    }
    emit(std::move(answer));
}

} // namespace amarantharch::standin
