#include "core/capacity_plan.hpp"

#include <algorithm>
#include <cmath>

namespace amarantharch
{

// Upstreams of a kind in a domain that are there and not leaving. One that is
// ejected for its failures runs all the same.
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

// What one of a service's upstreams does in time, by its mean slots.
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
    return options_.most_tokens_per_second * slots /
           (slots + options_.half_slots);
}

// As many as the domain with most of them has, once the list has settled; a
// domain that has just lost its upstreams says nothing of the need.
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

// Upstreams that are to run in each domain, of both kinds; 0: not known yet.
std::uint32_t capacity_plan::plan_each(time_point now,
                                       scaling_spec const& scaling,
                                       upstream_table const& upstreams,
                                       service_demand const& demand)
{
    size_row& size = sizes_[scaling.service];
    auto const rate = demand.rate(now, scaling.service);
    bool const listed = !upstreams.ring(scaling.service).empty();
    double needed = size.each;
    if (rate && listed)
    {
        needed = *rate / tokens_per_second(upstreams, scaling.service) /
                 static_cast<double>(scaling.prices.size());
    }
    else if (size.each == 0)
    {
        needed = listed_each(now, scaling, upstreams, size);
    }
    if (needed > size.each)
    {
        size.raised_at = now;
    }
    bool const shrinks = needed < size.each * options_.shrink_below &&
                         now - size.raised_at >= options_.shrink_after;
    if (needed > size.each || shrinks)
    {
        size.each = static_cast<std::uint32_t>(std::ceil(needed));
    }
    return size.each == 0 ? 0
                          : std::clamp(size.each, scaling.least, scaling.most);
}

std::uint32_t capacity_plan::planned_each(std::string const& service) const
{
    auto const known = sizes_.find(service);
    return known == sizes_.end() ? 0 : known->second.each;
}

std::vector<upstream_order> capacity_plan::due(time_point now,
                                               site const& tables,
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
        bool const cheaper = scaling.reclaimable_price < 1;
        auto const others =
            static_cast<std::uint32_t>(std::ceil(each * options_.others_share));
        std::uint32_t const floor = cheaper ? others : each;
        std::uint32_t const wanted = each - floor;
        for (auto const& [domain, price] : scaling.prices)
        {
            std::uint32_t const cheap =
                serving(upstreams, scaling.service, domain, true);
            std::uint32_t const dear =
                serving(upstreams, scaling.service, domain, false);
            upstream_order const first{scaling.service, domain, true, wanted};
            if (is_due(now, first, cheap, scaling.boot_time))
            {
                orders.push_back(first);
            }
            // Those that stand in for missing ones stay until these are back.
            std::uint32_t const missing = wanted - std::min(wanted, cheap);
            auto const stand_ins = static_cast<std::uint32_t>(
                std::ceil(missing * options_.stand_ins));
            std::uint32_t const kept =
                missing > 0 ? std::max(floor + stand_ins, dear) : floor;
            upstream_order const second{scaling.service, domain, false,
                                        std::min(kept, scaling.most - wanted)};
            if (is_due(now, second, dear, scaling.boot_time))
            {
                orders.push_back(second);
            }
        }
    }
    return orders;
}

bool capacity_plan::is_due(time_point now, upstream_order const& order,
                           std::uint32_t serving, duration boot_time) const
{
    auto const known = rows_.find(subject_of(order));
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
        now >= last.accepted_at + boot_time + options_.entry_time;
    return last.accepted != order.count || missing;
}

void capacity_plan::sent(time_point now, upstream_order const& order)
{
    rows_[subject_of(order)].next_try = now + options_.retry_interval;
}

void capacity_plan::answered(time_point now, upstream_order const& order,
                             bool accepted)
{
    if (accepted)
    {
        row& last = rows_[subject_of(order)];
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
