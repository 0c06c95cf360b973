// Stand-in for the platform's VM list and cloud API (docs/PROTOCOLS.md).
//
// The cloud starts a machine start_time after its order and stops it at once;
// the same order never starts two. The VM list is a copy of the truth taken
// list_lag ago. For tests:
//   PUT /v1/vms {"vm","kind","address","failure_domain","state","class",
//     "reclaimable","price"}: adds or replaces a VM of the list;
//   POST /reclaim {"vm"|"failure_domain","ms"}: gives notice to it, or to
//     every reclaimable VM of the domain, for ms from now; it leaves then.
// Faults: outage, request_dropped, answer_lost (of orders),
// refuse_start (each start gets 409 no_capacity).
#ifndef AMARANTHARCH_STANDIN_PLATFORM_SERVICE_HPP
#define AMARANTHARCH_STANDIN_PLATFORM_SERVICE_HPP

#include "standin/fault_table.hpp"
#include "standin/role.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace amarantharch::standin
{

struct platform_service_options
{
    duration list_lag = std::chrono::milliseconds(500);
    duration start_time = std::chrono::seconds(2);
    double reclaimable_price = 0.3;
    double on_demand_price = 1.0;
};

class platform_service : public role
{
public:
    explicit platform_service(platform_service_options options);

    void receive(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit) override;
    void abandon(time_point, exchange_id) override {}
    void tick(time_point now, reply_sink const& emit) override;

private:
    struct vm_row
    {
        QJsonObject entry; // as in the VM list
        std::optional<time_point> reclaim_at;
    };

    struct machine_row
    {
        QJsonObject entry; // as in GET /v1/machines
        time_point ready;
    };

    struct list_copy
    {
        time_point at;
        QJsonArray vms;
    };

    struct handler_row
    {
        std::string_view method;
        std::string_view path;
        bool is_prefix;
        void (platform_service::*handle)(time_point, exchange_id, call const&,
                                         reply_sink const&);
    };
    static handler_row const handlers[];

    void list_vms(time_point now, exchange_id exchange, call const& request,
                  reply_sink const& emit);
    void put_vm(time_point now, exchange_id exchange, call const& request,
                reply_sink const& emit);
    void list_machines(time_point now, exchange_id exchange,
                       call const& request, reply_sink const& emit);
    void start_machine(time_point now, exchange_id exchange,
                       call const& request, reply_sink const& emit);
    void stop_machine(time_point now, exchange_id exchange, call const& request,
                      reply_sink const& emit);
    void notice(time_point now, exchange_id exchange, call const& request,
                reply_sink const& emit);
    void reclaim(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit);

    void remove_reclaimed(time_point now);
    void finish_starts(time_point now);
    void copy_list(time_point now);

    platform_service_options options_;
    fault_table faults_;
    std::map<std::string, vm_row> vms_;
    std::map<std::string, machine_row> machines_; // by vm
    std::map<std::string, std::string> answers_;  // of starts, by order
    std::uint64_t next_machine_ = 1;
    std::deque<list_copy> copies_; // ascending by time
};

} // namespace amarantharch::standin

#endif
