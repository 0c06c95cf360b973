#include "core/capacity_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

// The last estimate by requests in progress holds for so long while too few
// upstreams report: a short gap would raise the number to that by offered load.
constexpr duration progress_lifetime = std::chrono::seconds(5);

} // namespace

// Upstreams of a kind in a domain that are present and not leaving. Ejected
// ones are counted, since they still run.
std::uint32_t capacity_plan::serving(upstream_table const& upstreams,
                                     std::string const& service,
                                     std::string const& domain,
                                     bool reclaimable)
{
    std::uint32_t count = 0;
    for (auto const& point : upstreams.ring(service))
    {
        upstream_row const& row = upstreams.row(point.upstream);
        bool const fits = row.profile.failure_domain == domain &&
                          row.profile.reclaimable == reclaimable;
        count += fits && row.present && !row.leaving ? 1 : 0;
    }
    return count;
}

// The domains of the service that are not evacuated.
std::size_t capacity_plan::open_domains(scaling_spec const& scaling,
                                        upstream_table const& upstreams)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(scaling.prices, [&](auto const& each)
                              { return !upstreams.is_evacuated(each.first); }));
}

// Adapts a number that was planned for another number of domains: fewer domains
// carry the load at once.
void capacity_plan::divide_anew(time_point now, size_row& size,
                                std::size_t domains)
{
    std::size_t const before = std::exchange(size.domains, domains);
    if (before == 0 || before == domains)
    {
        return;
    }
    size.raised_at = now;
    size.is_for_fewer = domains > before;
    if (domains < before)
    {
        size.each = static_cast<std::uint32_t>(
            std::ceil(size.each * static_cast<double>(before) /
                      static_cast<double>(domains)));
    }
}

// Throughput of an upstream of the service with the mean number of slots.
double capacity_plan::tokens_per_second(upstream_table const& upstreams,
                                        std::string const& service) const
{
    double slots = 0;
    auto const& present = upstreams.ring(service);
    for (auto const& point : present)
    {
        slots += upstreams.row(point.upstream).profile.slots;
    }
    slots /= static_cast<double>(std::max<std::size_t>(present.size(), 1));
    return options_.max_tokens_per_second * slots /
           (slots + options_.half_saturation_slots);
}

// Upstreams that are needed for the requests in progress; nothing if too few
// upstreams report them, or none states its work time: the throughput that the
// plan assumes then fits them.
std::optional<double>
capacity_plan::needed_by_requests(time_point now, std::string const& service,
                                  upstream_table const& upstreams,
                                  size_row& size) const
{
    double requests = 0;
    double slots = 0;
    double reporting = 0;
    bool states_work = false;
    auto const& present = upstreams.ring(service);
    for (auto const& point : present)
    {
        upstream_row const& each = upstreams.row(point.upstream);
        if (each.report &&
            now - each.report->measured_at <= options_.max_report_age)
        {
            ++reporting;
            states_work = states_work || each.report->work.has_value();
            requests += static_cast<double>(each.report->running) +
                        each.report->waiting;
        }
        slots += each.profile.slots;
    }
    auto const listed = static_cast<double>(present.size());
    bool const is_known =
        states_work && reporting >= options_.min_reporting_share * listed;
    if (!is_known && now - size.in_progress_at > progress_lifetime)
    {
        return std::nullopt;
    }
    double const kept =
        size.in_progress *
        std::exp(-std::chrono::duration<double>(now - size.in_progress_at) /
                 std::chrono::duration<double>(options_.progress_decay));
    if (is_known)
    {
        size.in_progress = std::max(kept, requests);
        size.in_progress_at = now;
    }
    double const mean_slots = slots / std::max(listed, 1.0);
    double const aim = options_.max_requests_in_progress * mean_slots /
                       (mean_slots + options_.half_saturation_slots);
    return size.in_progress / aim;
}

// The largest number that serves in any one domain; 0 until the list has
// settled. The largest, because a domain that has just lost its upstreams says
// nothing about the need.
std::uint32_t capacity_plan::listed_each(time_point now,
                                         scaling_spec const& scaling,
                                         upstream_table const& upstreams,
                                         size_row& size)
{
    std::size_t const listed = upstreams.ring(scaling.service).size();
    if (listed != size.listed)
    {
        size.listed = listed;
        size.listed_since = now;
    }
    if (listed == 0 || now - size.listed_since < options_.settle_time)
    {
        return 0;
    }
    std::uint32_t most = 0;
    for (auto const& [domain, price] : scaling.prices)
    {
        most = std::max(most,
                        serving(upstreams, scaling.service, domain, true) +
                            serving(upstreams, scaling.service, domain, false));
    }
    return most;
}

// Upstreams of both kinds that are to run in each domain that is not evacuated;
// 0: not known yet, or there is no such domain.
std::uint32_t capacity_plan::plan_each(time_point now,
                                       scaling_spec const& scaling,
                                       upstream_table const& upstreams,
                                       service_demand const& demand)
{
    size_row& size = sizes_[scaling.service];
    std::size_t const domains = open_domains(scaling, upstreams);
    if (domains == 0)
    {
        return 0;
    }
    divide_anew(now, size, domains);
    auto const rate = demand.rate(now, scaling.service);
    bool const listed = !upstreams.ring(scaling.service).empty();
    double needed = size.each;
    if (rate && listed)
    {
        needed = *rate / tokens_per_second(upstreams, scaling.service) /
                 static_cast<double>(domains);
    }
    else if (size.each == 0)
    {
        needed = listed_each(now, scaling, upstreams, size) *
                 static_cast<double>(scaling.prices.size()) /
                 static_cast<double>(domains);
    }
    auto const by_requests =
        needed_by_requests(now, scaling.service, upstreams, size);
    if (rate && listed && by_requests)
    {
        needed = std::min(needed, *by_requests / static_cast<double>(domains));
    }
    if (needed > size.each)
    {
        size.raised_at = now;
    }
    double const shrink_below = size.is_for_fewer ? 1 : options_.shrink_below;
    bool const shrinks = needed < size.each * shrink_below &&
                         now - size.raised_at >= options_.shrink_after;
    if (needed > size.each || shrinks)
    {
        size.each = static_cast<std::uint32_t>(std::ceil(needed));
        size.is_for_fewer = false;
    }
    return size.each == 0 ? 0
                          : std::clamp(size.each, scaling.least, scaling.most);
}

std::uint32_t capacity_plan::planned_each(std::string const& service) const
{
    auto const known = sizes_.find(service);
    return known == sizes_.end() ? 0 : known->second.each;
}

std::vector<upstream_order>
capacity_plan::due_orders(time_point now, routing_tables const& tables,
                          upstream_table const& upstreams,
                          service_demand const& demand)
{
    std::vector<upstream_order> orders;
    for (scaling_spec const& scaling : tables.scalings)
    {
        std::uint32_t const each = plan_each(now, scaling, upstreams, demand);
        if (each == 0)
        {
            continue;
        }
        bool const reclaimable_cheaper = scaling.reclaimable_price < 1;
        auto const on_demand_part = static_cast<std::uint32_t>(
            std::ceil(each * options_.on_demand_share));
        std::uint32_t const least_on_demand =
            reclaimable_cheaper ? on_demand_part : each;
        std::uint32_t const reclaimable_wanted = each - least_on_demand;
        for (auto const& [domain, price] : scaling.prices)
        {
            if (upstreams.is_evacuated(domain))
            {
                continue;
            }
            std::uint32_t const reclaimable =
                serving(upstreams, scaling.service, domain, true);
            std::uint32_t const on_demand =
                serving(upstreams, scaling.service, domain, false);
            upstream_order const reclaimable_order{scaling.service, domain,
                                                   true, reclaimable_wanted};
            if (is_due(now, reclaimable_order, reclaimable, scaling.boot_time))
            {
                orders.push_back(reclaimable_order);
            }
            // Replacements are kept until the reclaimable ones are back.
            std::uint32_t const missing =
                reclaimable_wanted - std::min(reclaimable_wanted, reclaimable);
            auto const replacements = static_cast<std::uint32_t>(
                std::ceil(missing * options_.replacement_ratio));
            std::uint32_t const on_demand_wanted =
                missing > 0
                    ? std::max(least_on_demand + replacements, on_demand)
                    : least_on_demand;
            upstream_order const on_demand_order{
                scaling.service, domain, false,
                std::min(on_demand_wanted, scaling.most - reclaimable_wanted)};
            if (is_due(now, on_demand_order, on_demand, scaling.boot_time))
            {
                orders.push_back(on_demand_order);
            }
        }
    }
    return orders;
}

bool capacity_plan::is_due(time_point now, upstream_order const& order,
                           std::uint32_t serving, duration boot_time) const
{
    auto const known = rows_.find(order_key_of(order));
    if (known == rows_.end())
    {
        return true;
    }
    row const& last = known->second;
    if (now < last.next_try)
    {
        return false;
    }
    bool const missing =
        serving < order.count &&
        now >= last.accepted_at + boot_time + options_.registration_time;
    return last.accepted != order.count || missing;
}

void capacity_plan::on_order_sent(time_point now, upstream_order const& order)
{
    rows_[order_key_of(order)].next_try = now + options_.retry_interval;
}

void capacity_plan::on_order_answered(time_point now,
                                      upstream_order const& order,
                                      bool accepted)
{
    if (accepted)
    {
        row& last = rows_[order_key_of(order)];
        last.accepted = order.count;
        last.accepted_at = now;
    }
}

void capacity_plan::forget()
{
    rows_.clear();
    sizes_.clear();
}

} // namespace amarantharch
