#include "standin/platform_service.hpp"

#include "standin/json.hpp"

#include <fmt/format.h>

namespace amarantharch::standin
{

namespace
{

constexpr std::string_view machines_prefix = "/v1/machines/";

QString key_of(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toString();
}

} // namespace

platform_service::handler_row const platform_service::handlers[] = {
    {"GET", "/v1/vms", false, &platform_service::list_vms},
    {"PUT", "/v1/vms", false, &platform_service::put_vm},
    {"GET", "/v1/machines", false, &platform_service::list_machines},
    {"POST", "/v1/machines", false, &platform_service::start_machine},
    {"DELETE", machines_prefix, true, &platform_service::stop_machine},
    {"GET", "/v1/notices", false, &platform_service::notice},
    {"POST", "/reclaim", false, &platform_service::reclaim},
};

platform_service::platform_service(platform_service_options options)
    : options_(options)
{
}

void platform_service::receive(time_point now, exchange_id exchange,
                               call const& request, reply_sink const& emit)
{
    if (faults_.receive(now, exchange, request, emit))
    {
        return;
    }
    std::string_view const path = path_of(request.target);
    bool const from_tests = request.method == "PUT" || path == "/reclaim";
    if (!from_tests &&
        apply_common_faults(faults_, now, exchange, request, emit))
    {
        return;
    }
    for (handler_row const& row : handlers)
    {
        bool const matches =
            row.is_prefix ? path.starts_with(row.path) : path == row.path;
        if (matches && row.method == request.method)
        {
            (this->*row.handle)(now, exchange, request, emit);
            return;
        }
    }
    emit(error_reply(exchange, 404, "no such path and method"));
}

void platform_service::tick(time_point now, reply_sink const&)
{
    remove_reclaimed(now);
    finish_starts(now);
    copy_list(now);
}

void platform_service::list_vms(time_point now, exchange_id exchange,
                                call const&, reply_sink const& emit)
{
    QJsonArray vms;
    for (list_copy const& copy : copies_)
    {
        if (copy.at + options_.list_lag <= now)
        {
            vms = copy.vms;
        }
    }
    emit(json_reply(exchange, 200, {{"vms", vms}}));
}

void platform_service::put_vm(time_point, exchange_id exchange,
                              call const& request, reply_sink const& emit)
{
    auto const body = parse_object(request.body);
    std::string const vm = body ? text_of(*body, "vm") : "";
    if (vm.empty())
    {
        emit(error_reply(exchange, 400, "a VM has a name"));
        return;
    }
    vms_[vm] = vm_row{*body, std::nullopt};
    emit(json_reply(exchange, 200, {{"listed", true}}));
}

void platform_service::list_machines(time_point, exchange_id exchange,
                                     call const&, reply_sink const& emit)
{
    QJsonArray rows;
    for (auto const& [vm, row] : machines_)
    {
        rows.append(row.entry);
    }
    emit(json_reply(exchange, 200, {{"machines", rows}}));
}

void platform_service::start_machine(time_point now, exchange_id exchange,
                                     call const& request,
                                     reply_sink const& emit)
{
    auto const body = parse_object(request.body);
    std::string const order = body ? text_of(*body, "order") : "";
    if (order.empty())
    {
        emit(error_reply(exchange, 400, "an order has an id"));
        return;
    }
    auto const before = answers_.find(order);
    if (before != answers_.end())
    {
        emit(whole_reply{exchange, 200, "application/json", before->second});
        return;
    }
    if (faults_.take(now, fault_kind::refuse_start))
    {
        emit(json_reply(exchange, 409, {{"reason", "no_capacity"}}));
        return;
    }
    std::string const vm = fmt::format("vm-{}", next_machine_++);
    QJsonObject entry = *body;
    entry.remove("fence");
    entry["vm"] = QString::fromStdString(vm);
    entry["state"] = "starting";
    machines_[vm] = machine_row{entry, now + options_.start_time};
    whole_reply const answer =
        json_reply(exchange, 200,
                   {{"vm", QString::fromStdString(vm)}, {"state", "starting"}});
    answers_[order] = answer.body;
    emit_or_lose(faults_, now, answer, emit);
}

void platform_service::stop_machine(time_point now, exchange_id exchange,
                                    call const& request, reply_sink const& emit)
{
    std::string const vm(
        *after_prefix(path_of(request.target), machines_prefix));
    bool const stopped = machines_.erase(vm) != 0;
    vms_.erase(vm);
    emit_or_lose(faults_, now,
                 json_reply(exchange, 200, {{"stopped", stopped}}), emit);
}

void platform_service::notice(time_point, exchange_id exchange,
                              call const& request, reply_sink const& emit)
{
    auto const row = vms_.find(query_value(request.target, "vm"));
    QJsonObject body;
    if (row != vms_.end() && row->second.reclaim_at)
    {
        body["reclaim_at_us"] =
            static_cast<qint64>(to_micros(*row->second.reclaim_at));
    }
    emit(json_reply(exchange, 200, body));
}

void platform_service::reclaim(time_point now, exchange_id exchange,
                               call const& request, reply_sink const& emit)
{
    QJsonObject const body = parse_object(request.body).value_or(QJsonObject{});
    std::string const vm = text_of(body, "vm");
    QString const domain = key_of(body, "failure_domain");
    auto const notice_time =
        std::chrono::milliseconds(integer_of(body, "ms", 0));
    int noticed = 0;
    for (auto& [name, row] : vms_)
    {
        bool const in_domain = !domain.isEmpty() &&
                               key_of(row.entry, "failure_domain") == domain &&
                               row.entry.value("reclaimable").toBool();
        if (name == vm || in_domain)
        {
            row.reclaim_at = now + notice_time;
            row.entry["state"] = "leaving";
            ++noticed;
        }
    }
    emit(json_reply(exchange, 200, {{"noticed", noticed}}));
}

void platform_service::remove_reclaimed(time_point now)
{
    std::erase_if(vms_,
                  [&](auto const& named)
                  {
                      auto const& [vm, row] = named;
                      bool const gone =
                          row.reclaim_at && *row.reclaim_at <= now;
                      if (gone)
                      {
                          machines_.erase(vm);
                      }
                      return gone;
                  });
}

void platform_service::finish_starts(time_point now)
{
    for (auto& [vm, row] : machines_)
    {
        if (row.ready > now || key_of(row.entry, "state") != "starting")
        {
            continue;
        }
        row.entry["state"] = "live";
        bool const reclaimable = row.entry.value("reclaimable").toBool();
        vms_[vm].entry =
            QJsonObject{{"vm", QString::fromStdString(vm)},
                        {"kind", "upstream"},
                        {"address", ""},
                        {"failure_domain", row.entry.value("failure_domain")},
                        {"state", "live"},
                        {"class", row.entry.value("class")},
                        {"reclaimable", reclaimable},
                        {"price", reclaimable ? options_.reclaimable_price
                                              : options_.on_demand_price}};
    }
}

// Keeps a copy for each change of the list, and drops those not needed.
void platform_service::copy_list(time_point now)
{
    QJsonArray vms;
    for (auto const& [vm, row] : vms_)
    {
        vms.append(row.entry);
    }
    if (copies_.empty() || copies_.back().vms != vms)
    {
        copies_.push_back({now, vms});
    }
    while (copies_.size() > 1 && copies_[1].at + options_.list_lag <= now)
    {
        copies_.pop_front();
    }
}

} // namespace amarantharch::standin
