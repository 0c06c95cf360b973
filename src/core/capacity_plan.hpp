// Decides how many upstreams of each kind run in each failure domain.
//
// The number follows the offered load, divided by the throughput of one
// upstream. That throughput is of the slowest upstreams known, so the plan asks
// for no more than the requests in progress need, where the upstreams report
// them: by Little's law they are the load times the time that the upstreams
// really take. Before the load is known, as many are kept as are listed once
// the list has settled: upstreams that start together appear in it one by one.
// The number is raised at once. It is lowered only when it would drop by much,
// and some time after it was last raised, since an upstream that starts again
// has an empty cache.
//
// Reclaimable upstreams cost a fraction of the on-demand ones, but the platform
// may reclaim all those of a failure domain at once, with seconds of notice,
// and have none to offer in any domain for a while. So the plan spreads them
// evenly over the domains, always keeps a share of on-demand upstreams, and
// orders on-demand ones in place of reclaimable ones that are missing: a
// reclaim then costs the time that an upstream takes to start. These
// replacements are given up only once the reclaimable ones are back.
//
// The needed upstreams are divided over the domains that are not evacuated. An
// evacuated domain gets no order, so what runs there is kept for its return.
// Once it is restored, the others keep what they have for shrink_after.
//
// An order states how many are to run. It is repeated when fewer do, because
// the platform does not restart upstreams after a reclaim.
//
// Designed for reclaims of one domain after the other with no reclaimable
// capacity between them, and for fleets of any size.
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

// An order to the platform: how many upstreams of a kind are to run.
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
    // Throughput of one upstream with unlimited slots, in charged_tokens() a
    // second, with room for a burst. Derived from the step and prefill times
    // that the users state.
    double max_tokens_per_second = 3'300;
    // With this many slots an upstream reaches half of that: the time of a
    // step hardly depends on the batch, it grows by 0.1 ms a request.
    double half_saturation_slots = 13;
    // Requests in progress at an upstream with unlimited slots that the plan
    // aims at; half of it at half_saturation_slots. With more, prompts wait for
    // each other: on engines with 16 slots this is a third of the slots.
    double max_requests_in_progress = 10;
    // Reports older than this do not count. The requests in progress are known
    // if at least this share of the upstreams has newer ones.
    duration max_report_age = std::chrono::milliseconds(2'500);
    double min_reporting_share = 0.7;
    // Time constant by which the estimate of the requests in progress falls.
    duration progress_decay = std::chrono::seconds(30);
    // Least share of a domain's upstreams that are on-demand, that is not
    // reclaimable.
    double on_demand_share = 0.2;
    // The number is lowered only if less than this share of it is needed, and
    // at least shrink_after after it was raised.
    double shrink_below = 0.75;
    duration shrink_after = std::chrono::seconds(12);
    // The list of upstreams has settled when their number has not changed for
    // this time: more than two of their heartbeats.
    duration settle_time = std::chrono::seconds(3);
    // On-demand upstreams ordered for each reclaimable one that is missing.
    // Below 1, since what remains in the other domains carries most of the
    // load.
    double replacement_ratio = 0.75;
    // Between two attempts at the same order.
    duration retry_interval = std::chrono::seconds(4);
    // Time after its boot time within which an ordered upstream is expected to
    // be listed; after that it counts as missing.
    duration registration_time = std::chrono::seconds(3);
};

class capacity_plan
{
public:
    explicit capacity_plan(capacity_plan_options options) : options_(options) {}

    // The orders to send now, given the upstreams that run and the load.
    std::vector<upstream_order> due_orders(time_point now,
                                           routing_tables const& tables,
                                           upstream_table const& upstreams,
                                           service_demand const& demand);

    // Upstreams of a service planned for each domain; 0: not planned yet.
    std::uint32_t planned_each(std::string const& service) const;

    // The order was sent; on_order_answered() follows with the answer.
    void on_order_sent(time_point now, upstream_order const& order);
    void on_order_answered(time_point now, upstream_order const& order,
                           bool accepted);

    // Forgets all orders and sizes, as another VM may have given orders since.
    void forget();

private:
    using order_key = std::tuple<std::string, std::string, bool>;

    struct row
    {
        std::optional<std::uint32_t> accepted;
        time_point accepted_at{};
        time_point next_try{};
    };

    static order_key order_key_of(upstream_order const& order)
    {
        return {order.service, order.failure_domain, order.reclaimable};
    }

    // How many upstreams of a service are to run in each domain.
    struct size_row
    {
        std::uint32_t each = 0;  // 0: not planned yet
        std::size_t domains = 0; // not evacuated; 0: not known yet
        // Planned for fewer domains than there are now.
        bool is_for_fewer = false;
        time_point raised_at{};
        std::size_t listed = 0; // upstreams, unchanged since listed_since
        time_point listed_since{};
        double in_progress = 0; // requests at all upstreams; decays
        time_point in_progress_at{};
    };

    std::uint32_t plan_each(time_point now, scaling_spec const& scaling,
                            upstream_table const& upstreams,
                            service_demand const& demand);
    std::uint32_t listed_each(time_point now, scaling_spec const& scaling,
                              upstream_table const& upstreams, size_row& size);
    double tokens_per_second(upstream_table const& upstreams,
                             std::string const& service) const;
    std::optional<double> needed_by_requests(time_point now,
                                             std::string const& service,
                                             upstream_table const& upstreams,
                                             size_row& size) const;
    bool is_due(time_point now, upstream_order const& order,
                std::uint32_t serving, duration boot_time) const;
    static std::uint32_t serving(upstream_table const& upstreams,
                                 std::string const& service,
                                 std::string const& domain, bool reclaimable);
    static std::size_t open_domains(scaling_spec const& scaling,
                                    upstream_table const& upstreams);
    static void divide_anew(time_point now, size_row& size,
                            std::size_t domains);

    capacity_plan_options options_;
    std::map<order_key, row> rows_;
    std::map<std::string, size_row> sizes_; // by service
};

} // namespace amarantharch

#endif
