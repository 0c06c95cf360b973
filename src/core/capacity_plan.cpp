#include "core/capacity_plan.hpp"

#include <algorithm>

namespace amarantharch
{

namespace
{

// Upstreams of a kind in a domain that take work.
std::uint32_t serving(time_point now, upstream_table const& upstreams,
                      std::string const& service, std::string const& domain,
                      bool reclaimable)
{
    std::uint32_t count = 0;
    for (auto const& point : upstreams.ring(service))
    {
        upstream_row const& row = upstreams.row(point.upstream);
        bool const fits = row.profile.failure_domain == domain &&
                          row.profile.reclaimable == reclaimable;
        count += fits && row.takes_work(now) ? 1 : 0;
    }
    return count;
}

} // namespace

std::vector<upstream_order>
capacity_plan::due(time_point now, site const& tables,
                   upstream_table const& upstreams) const
{
    std::vector<upstream_order> orders;
    for (scaling_spec const& scaling : tables.scalings)
    {
        bool const cheaper = scaling.reclaimable_price < 1;
        for (auto const& [domain, price] : scaling.prices)
        {
            std::uint32_t const reclaimable =
                cheaper ? std::min(options_.reclaimable_each,
                                   scaling.most - std::min(scaling.most,
                                                           options_.others_each))
                        : 0;
            std::uint32_t const others = std::clamp(
                options_.others_each, scaling.least, scaling.most);
            upstream_order const cheap{scaling.service, domain, true,
                                       reclaimable};
            if (is_due(now, cheap))
            {
                orders.push_back(cheap);
            }
            bool const replaced =
                cheaper && serving(now, upstreams, scaling.service, domain,
                                   true) >= reclaimable;
            upstream_order const dear{scaling.service, domain, false, others};
            if (replaced && is_due(now, dear))
            {
                orders.push_back(dear);
            }
        }
    }
    return orders;
}

bool capacity_plan::is_due(time_point now, upstream_order const& order) const
{
    auto const known = rows_.find(subject_of(order));
    return known == rows_.end() || (known->second.accepted != order.count &&
                                    now >= known->second.next_try);
}

void capacity_plan::sent(time_point now, upstream_order const& order)
{
    rows_[subject_of(order)].next_try = now + options_.retry_interval;
}

void capacity_plan::answered(upstream_order const& order, bool accepted)
{
    if (accepted)
    {
        rows_[subject_of(order)].accepted = order.count;
    }
}

void capacity_plan::forget()
{
    rows_.clear();
}

} // namespace amarantharch
