// Estimates the load that callers offer to each service, over all VMs.
//
// Each VM counts the tokens of the requests that it admits and reports the
// counts to its peers. They are cumulative, so of the reports of one process
// the one with the greatest counts is the newest, and a report may be lost,
// late or repeated. The rate of a VM is the difference of two of its counts
// over the time between them. VMs that the platform lists but that have sent no
// recent report are assumed to have the mean rate of the others.
//
// The estimate follows a rise within seconds and decays over `decay_time`, so
// that capacity is not removed between two waves of load.
//
// A VM that takes over the fleet's duties after all VMs were killed starts from
// the estimate that the duty log holds, decayed by its age, until its own
// warm-up is over; it then takes the greater of the two, as after any peak. An
// estimate older than max_restored_age is ignored: decayed to little, it would
// have the capacity plan take upstreams away.
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
    // Time between two samples of a count.
    duration sample_interval = std::chrono::seconds(1);
    // Weight of the newest sample in a VM's rate, after the first few.
    double rate_gain = 0.3;
    // Time from the first request of a service until its estimate is used.
    duration warm_up = std::chrono::seconds(4);
    // Time constant of the decay: the estimate falls to 1/e of a peak in it.
    duration decay_time = std::chrono::seconds(80);
    // A record of an earlier estimate is not used if it is older.
    duration max_restored_age = std::chrono::seconds(20);
    // A peer without a report for this long is dropped.
    duration peer_timeout = std::chrono::seconds(5);
};

// Load admitted for one service since the process started.
struct service_work
{
    std::string service;
    std::uint64_t tokens = 0; // charged_tokens()
    MSGPACK_DEFINE(service, tokens)
};

// The estimated load of one service over all VMs.
struct service_rate
{
    std::string service;
    std::uint64_t tokens_per_second = 0;
    MSGPACK_DEFINE(service, tokens_per_second)
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
    void on_admitted(time_point now, std::string const& service,
                     std::uint64_t tokens);

    // Number of VMs that the platform lists, this one included.
    void set_fleet_size(std::size_t vms)
    {
        listed_vms_ = vms;
    }

    void tick(time_point now);

    // Tokens a second over all VMs; empty during the warm-up.
    std::optional<double> rate(time_point now,
                               std::string const& service) const;

    // The estimates that are past the warm-up.
    std::vector<service_rate> rates(time_point now) const;
    // Estimates that another process made at `made_at`. Each is used only if
    // there is none of this process yet.
    void restore(time_point now, time_point made_at,
                 std::vector<service_rate> const& earlier);

    demand_report report(std::string vm, std::uint64_t incarnation) const;
    void merge(time_point now, demand_report const& peer);

private:
    // The tokens that one VM admitted for one service, and their rate.
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
    double decay(double seconds) const;
    double current_rate(time_point now, std::string const& service) const;

    service_demand_options options_;
    std::size_t listed_vms_ = 1;
    time_point sampled_at_{};
    std::map<std::string, counter> own_;        // by service
    std::map<std::string, peer_row> peers_;     // by VM
    std::map<std::string, estimate> estimates_; // by service
};

} // namespace amarantharch

#endif
