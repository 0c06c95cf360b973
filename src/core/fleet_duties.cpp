#include "core/fleet_duties.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

// Formats an order as "service=... count=..." for the time line.
std::string describe(upstream_order const& order)
{
    return fmt::format("service={} failure_domain={} reclaimable={} count={}",
                       order.service, order.failure_domain, order.reclaimable,
                       order.count);
}

} // namespace

void fleet_duties::tick(time_point now, bool watches, request_path& requests)
{
    if (!options_.enabled)
    {
        return;
    }
    std::vector<upstream_order> orders;
    if (log_.holds())
    {
        orders = plan_.due_orders(now, requests.tables(), requests.upstreams(),
                                  requests.demand());
    }
    log_.tick(now, watches, !orders.empty(), requests.started_usage(),
              requests.demand(),
              [this](duty_request const& request)
              { std::visit([this](auto const& r) { emit_(r); }, request); });
    auto const fence = log_.order_fence(now);
    for (upstream_order const& order : orders)
    {
        if (fence)
        {
            plan_.on_order_sent(now, order);
            emit_(order_upstreams{order, *fence});
            emit_(record_timeline{
                "upstreams_ordered", "",
                fmt::format(
                    "{} fence={} planned_each={} tokens_per_s={:.0f}",
                    describe(order), *fence, plan_.planned_each(order.service),
                    requests.demand().rate(now, order.service).value_or(0))});
        }
    }
    record_holder_change();
}

void fleet_duties::record_holder_change()
{
    if (std::exchange(recorded_as_holder_, log_.holds()) == log_.holds())
    {
        return;
    }
    plan_.forget();
    emit_(record_timeline{recorded_as_holder_ ? "duties_won" : "duties_lost",
                          "", log_.describe()});
}

void fleet_duties::handle(time_point now, duty_log_read const& result)
{
    log_.on_era(now, result.batch.era);
    log_.on_read(now, result.batch);
    record_holder_change();
}

void fleet_duties::handle(time_point now, duty_log_gone const& result)
{
    log_.on_era(now, result.era);
    log_.on_read_truncated(result.first_retained);
}

void fleet_duties::handle(time_point now, duty_log_failed const&)
{
    log_.on_read_failed(now);
}

void fleet_duties::handle(time_point now, duty_record_appended const& result)
{
    log_.on_era(now, result.era);
    log_.on_append(now, result.stored);
    record_holder_change();
}

void fleet_duties::handle(time_point now, usage_reported const& result)
{
    emit_(record_timeline{
        "usage_reported", "",
        fmt::format("window={} outcome=\"{}\"", result.window,
                    result.status.ok()
                        ? std::string("accepted")
                        : std::string(result.status.message()))});
    log_.on_reported(now, result.window, result.status);
    record_holder_change();
}

void fleet_duties::handle(time_point now, order_answered const& result)
{
    bool const fenced =
        absl::IsAborted(result.status) && result.refused_for_fence;
    if (!result.status.ok())
    {
        emit_(record_timeline{
            "order_failed", "",
            fmt::format("{} fenced={} reason=\"{}\"", describe(result.order),
                        fenced, std::string(result.status.message()))});
    }
    plan_.on_order_answered(now, result.order, result.status.ok());
    if (fenced)
    {
        log_.on_fenced();
        record_holder_change();
    }
}

} // namespace amarantharch
