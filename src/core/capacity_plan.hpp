// Decides how many upstreams of each kind run in each failure domain.
//
// The number follows the work that callers offer, by what one upstream does in
// a second. Before that is known, as many run as are listed once the list has
// settled: upstreams that start together enter it one by one. The number is
// raised at once and lowered only when much fewer would do for a while, since
// an upstream that starts anew has an empty cache.
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
// between them; a fleet of any size.
// Cost: O(upstreams) a decision.
#ifndef AMARANTHARCH_CORE_CAPACITY_PLAN_HPP
#define AMARANTHARCH_CORE_CAPACITY_PLAN_HPP

#include "core/service_demand.hpp"
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
    // Work that one upstream with any number of slots would do in time, in
    // charged_tokens() a second, with room for a burst; from the step and
    // prefill times on the users' sheets.
    double most_tokens_per_second = 3'300;
    // With so many slots it does half of that: a step takes as long for a small
    // batch as for a large one, but for 0.1 ms a request.
    double half_slots = 13;
    // Share of a domain's upstreams that are not reclaimable.
    double others_share = 0.2;
    // Fewer are ordered only if this share of the number would do, and so long
    // after the number was raised.
    double shrink_below = 0.75;
    duration shrink_after = std::chrono::seconds(12);
    // The list of upstreams has settled when their number was the same for so
    // long: more than two of their heartbeats.
    duration settle_time = std::chrono::seconds(3);
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

    // The orders that are due, by what runs now and what is asked for.
    std::vector<upstream_order> due(time_point now, site const& tables,
                                    upstream_table const& upstreams,
                                    service_demand const& demand);

    // Upstreams of a service in each domain, as last planned; 0: not planned.
    std::uint32_t planned_each(std::string const& service) const;

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

    // The number that is to run in each domain.
    struct size_row
    {
        std::uint32_t each = 0; // 0: not planned yet
        time_point raised_at{};
        std::size_t listed = 0; // upstreams, and since when so many
        time_point listed_since{};
    };

    std::uint32_t plan_each(time_point now, scaling_spec const& scaling,
                            upstream_table const& upstreams,
                            service_demand const& demand);
    std::uint32_t listed_each(time_point now, scaling_spec const& scaling,
                              upstream_table const& upstreams, size_row& size);
    double tokens_per_second(upstream_table const& upstreams,
                             std::string const& service) const;
    bool is_due(time_point now, upstream_order const& order,
                std::uint32_t serving, duration boot_time) const;
    static std::uint32_t serving(upstream_table const& upstreams,
                                 std::string const& service,
                                 std::string const& domain, bool reclaimable);

    capacity_plan_options options_;
    std::map<subject, row> rows_;
    std::map<std::string, size_row> sizes_; // by service
};

} // namespace amarantharch

#endif
