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

std::vector<upstream_order>
capacity_plan::due(time_point now, site const& tables,
                   upstream_table const& upstreams) const
{
    std::vector<upstream_order> orders;
    for (scaling_spec const& scaling : tables.scalings)
    {
        std::uint32_t const floor =
            std::clamp(options_.others_each, scaling.least, scaling.most);
        bool const cheaper = scaling.reclaimable_price < 1;
        std::uint32_t const wanted =
            cheaper ? std::min(options_.reclaimable_each, scaling.most - floor)
                    : 0;
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
            std::uint32_t const others =
                missing > 0 ? std::max(floor + stand_ins, dear) : floor;
            upstream_order const second{
                scaling.service, domain, false,
                std::min(others, scaling.most - wanted)};
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
}

} // namespace amarantharch
