// Decides how many upstreams of each kind run in each failure domain.
//
// Reclaimable upstreams cost a fraction of the others, but all of a failure
// domain's go at once, on seconds of notice, and none may be had there for a
// while. So the plan spreads reclaimable ones evenly over the domains, such
// that what is left without any one domain still bears the load, and keeps a
// few others beside them as a floor. Upstreams that are to be replaced go only
// once their replacements serve.
//
// Load it answers: the reclaim of a domain while the others are in full use.
// Cost: O(upstreams) a decision.
#ifndef AMARANTHARCH_CORE_CAPACITY_PLAN_HPP
#define AMARANTHARCH_CORE_CAPACITY_PLAN_HPP

#include "core/site.hpp"
#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace amarantharch
{

// An order for the platform: the number of upstreams of a kind that are to run.
struct upstream_order
{
    std::string service;
    std::string failure_domain;
    bool reclaimable = false;
    std::uint32_t count = 0;
    bool operator==(upstream_order const&) const = default;
};

struct capacity_plan_options
{
    // Reclaimable upstreams in each domain, and others beside them.
    std::uint32_t reclaimable_each = 4;
    std::uint32_t others_each = 1;
    // Between two attempts at an order that was not accepted.
    duration retry_interval = std::chrono::seconds(2);
};

class capacity_plan
{
public:
    explicit capacity_plan(capacity_plan_options options) : options_(options)
    {
    }

    // The orders that are due, by what runs now.
    std::vector<upstream_order> due(time_point now, site const& tables,
                                    upstream_table const& upstreams) const;

    // An order was sent; its answer comes later.
    void sent(time_point now, upstream_order const& order);
    void answered(upstream_order const& order, bool accepted);

    // Another VM may have given orders meanwhile.
    void forget();

private:
    using subject = std::tuple<std::string, std::string, bool>;

    struct row
    {
        std::optional<std::uint32_t> accepted;
        time_point next_try{};
    };

    static subject subject_of(upstream_order const& order)
    {
        return {order.service, order.failure_domain, order.reclaimable};
    }

    bool is_due(time_point now, upstream_order const& order) const;

    capacity_plan_options options_;
    std::map<subject, row> rows_;
};

} // namespace amarantharch

#endif
