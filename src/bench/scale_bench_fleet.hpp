// A fleet of control planes in one process, on synthetic time.
//
// Each VM's core is stepped by events in order of time: ticks, messages and
// answers of the log, which take effect after fixed delays. Processor time is
// counted around each call of the core, so the bench's own work stays out.
#ifndef AMARANTHARCH_BENCH_SCALE_BENCH_FLEET_HPP
#define AMARANTHARCH_BENCH_SCALE_BENCH_FLEET_HPP

#include "core/control_plane.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace amarantharch::bench
{

inline constexpr std::size_t failure_domains = 18; // 3 regions of 6

// Sums over all VMs since the last reset.
struct fleet_counts
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;      // payloads sent to peers
    std::uint64_t most_bytes = 0; // of the VM that sent most
    std::uint64_t log_appends = 0;
    std::uint64_t log_reads = 0;
    double processor_seconds = 0;
};

class fleet
{
public:
    fleet(std::size_t size, std::uint64_t seed);

    void run(duration time);
    // Runs until `done`, checked every 10 ms, or `limit`; returns the time.
    duration run_until(std::function<bool()> const& done, duration limit);

    // Publishes `text` from a VM; its fate is seen in the stores.
    void publish(std::size_t at, std::string const& text);
    // Writes `value` as the VM's usage of each of `count` organisations.
    void write_usage(std::size_t vm, std::size_t count, std::int64_t value);
    static std::string organisation(std::size_t number);
    void kill(std::size_t vm);
    void leave(std::size_t vm);

    std::size_t size() const
    {
        return vms_.size();
    }
    bool alive(std::size_t vm) const
    {
        return vms_[vm].alive;
    }
    std::string const& name(std::size_t vm) const
    {
        return vms_[vm].name;
    }
    control_plane& core(std::size_t vm)
    {
        return *vms_[vm].core;
    }
    std::size_t failure_domain(std::size_t vm) const
    {
        return vm % failure_domains;
    }

    void reset_counts();
    fleet_counts counts() const;

private:
    struct vm_row
    {
        std::string name;
        std::unique_ptr<control_plane> core;
        bool alive = true;
        std::uint64_t bytes = 0;
    };
    struct scheduled
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct later
    {
        bool operator()(scheduled const& a, scheduled const& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };
    struct waiting_read
    {
        std::size_t vm;
        send_read request;
    };

    void schedule(duration delay, std::function<void()> action);
    void tick(std::size_t vm);
    void take(std::size_t vm, command const& what);
    void send(std::size_t vm, peer_message message);
    void append(std::size_t vm, send_append const& request);
    void read(std::size_t vm, send_read const& request);
    void answer_read(std::size_t vm, send_read const& request);
    void wake_readers();
    void answer(std::size_t vm, log_result result);
    duration delay_between(std::size_t a, std::size_t b) const;
    template <typename Call>
    void timed(Call&& call);

    time_point now_ = from_micros(1'700'000'000'000'000);
    std::mt19937_64 random_;
    std::vector<vm_row> vms_;
    std::unordered_map<std::string, std::size_t> index_;
    std::priority_queue<scheduled, std::vector<scheduled>, later> events_;
    std::uint64_t next_order_ = 0;
    std::vector<std::string> log_; // of the configuration stream
    std::vector<waiting_read> waiting_;
    fleet_counts counts_;
};

} // namespace amarantharch::bench

#endif
