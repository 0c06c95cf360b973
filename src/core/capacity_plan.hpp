// Decides how many upstreams of each kind run in each failure domain.
//
// Reclaimable upstreams cost a fraction of the others, but all of a failure
// domain's go at once, on seconds of notice, and none may be had anywhere for a
// while. So the plan spreads them evenly over the domains, keeps a floor of
// others beside them, and puts others in the place of reclaimable ones that are
// missing: a reclaim costs the time that an upstream takes to start. Those
// others go again only once the reclaimable ones are back.
//
// An order states a number that is to run, so it is repeated when fewer do:
// after a reclaim the platform does not start them again by itself.
//
// Load it answers: reclaims of one domain after the other, with none to be had
// between them.
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
    // Others in the place of each reclaimable one that is missing: what is
    // left in the other domains bears most of the load.
    double stand_ins = 0.75;
    // Between two attempts at an order that was not accepted.
    duration retry_interval = std::chrono::seconds(4);
    // How long after its boot time an upstream that was ordered counts as one
    // that serves; then it is missing.
    duration entry_time = std::chrono::seconds(3);
};

class capacity_plan
{
public:
    explicit capacity_plan(capacity_plan_options options) : options_(options) {}

    // The orders that are due, by what runs now.
    std::vector<upstream_order> due(time_point now, site const& tables,
                                    upstream_table const& upstreams) const;

    // An order was sent; its answer comes later.
    void sent(time_point now, upstream_order const& order);
    void answered(time_point now, upstream_order const& order, bool accepted);

    // Another VM may have given orders meanwhile.
    void forget();

private:
    using subject = std::tuple<std::string, std::string, bool>;

    struct row
    {
        std::optional<std::uint32_t> accepted;
        time_point accepted_at{};
        time_point next_try{};
    };

    static subject subject_of(upstream_order const& order)
    {
        return {order.service, order.failure_domain, order.reclaimable};
    }

    bool is_due(time_point now, upstream_order const& order,
                std::uint32_t serving, duration boot_time) const;
    static std::uint32_t serving(upstream_table const& upstreams,
                                 std::string const& service,
                                 std::string const& domain, bool reclaimable);

    capacity_plan_options options_;
    std::map<subject, row> rows_;
};

} // namespace amarantharch

#endif
