// Estimates the work that callers offer to each service over all VMs.
//
// Each VM counts the work of the requests that it admits and tells its peers
// the counts; they are cumulative, so of one process the greatest is the
// newest, and a message may be lost, late or repeated. A VM's rate is taken
// between two of its counts. VMs that are listed and not heard are taken to
// have the mean rate of those that are.
//
// The estimate follows a rise within seconds and a fall over `fall_time`, so
// that capacity is not taken away between two waves of load.
//
// Cost: O(1) a request, O(VMs) a tick; memory: VMs times services.
#ifndef AMARANTHARCH_CORE_SERVICE_DEMAND_HPP
#define AMARANTHARCH_CORE_SERVICE_DEMAND_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

struct service_demand_options
{
    // Between two looks at this VM's own counts.
    duration sample_interval = std::chrono::seconds(1);
    // Weight of the newest span in a VM's rate, after the first few.
    double rate_gain = 0.3;
    // Requests are counted for so long before the estimate is used.
    duration warm_up = std::chrono::seconds(4);
    // Time in which the estimate falls to 1/e of a peak.
    duration fall_time = std::chrono::seconds(80);
    // A peer that was not heard for so long counts as not heard.
    duration peer_memory = std::chrono::seconds(5);
};

// Work admitted for one service since the process started.
struct service_work
{
    std::string service;
    std::uint64_t tokens = 0; // charged_tokens()
    MSGPACK_DEFINE(service, tokens)
};

// Gossiped. Of one VM, the greatest (incarnation, tokens) is the newest.
struct demand_report
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::vector<service_work> work;
    MSGPACK_DEFINE(vm, incarnation, work)
};

class service_demand
{
public:
    explicit service_demand(service_demand_options options = {})
        : options_(options)
    {
    }

    // A request of `tokens` was admitted at this VM.
    void admitted(time_point now, std::string const& service,
                  std::uint64_t tokens);

    // VMs of the fleet as the platform lists them, this one included.
    void set_fleet_size(std::size_t vms)
    {
        listed_vms_ = vms;
    }

    void tick(time_point now);

    // Tokens a second over all VMs; nothing while too little was counted.
    std::optional<double> rate(time_point now,
                               std::string const& service) const;

    demand_report report(std::string vm, std::uint64_t incarnation) const;
    void merge(time_point now, demand_report const& peer);

private:
    // One VM's count of one service.
    struct counter
    {
        std::uint64_t tokens = 0;
        std::uint64_t sampled = 0; // tokens at the last sample
        time_point sampled_at{};
        double rate = 0; // tokens a second
        std::uint32_t samples = 0;
    };

    struct peer_row
    {
        std::uint64_t incarnation = 0;
        time_point heard_at{};
        std::map<std::string, counter> services;
    };

    struct estimate
    {
        time_point first_at{};
        double rate = 0;
    };

    void sample(time_point now, counter& c) const;
    double present_rate(time_point now, std::string const& service) const;

    service_demand_options options_;
    std::size_t listed_vms_ = 1;
    time_point sampled_at_{};
    std::map<std::string, counter> own_;        // by service
    std::map<std::string, peer_row> peers_;     // by VM
    std::map<std::string, estimate> estimates_; // by service
};

} // namespace amarantharch

#endif
