// Reads engines' reports of their load at a few VMs for all.
//
// A VM learns an engine's load from the answers that it gets, so in a large
// fleet what it knows of most engines is many seconds old, and it places long
// prompts by chance. The VMs that read the platform's streams for others (see
// shared_reading) ask each engine in turn and tell the loads on.
//
// The reports inform the router, which bounds their error by their age.
// Cost at a reader: one call an engine and read_interval; at the others: one
// message from each reader in tell_interval.
#ifndef AMARANTHARCH_CORE_LOAD_SHARING_HPP
#define AMARANTHARCH_CORE_LOAD_SHARING_HPP

#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

// One engine's load, as told between VMs.
struct upstream_load
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::int64_t age_us = 0; // since it was measured
    MSGPACK_DEFINE(upstream, running, waiting, age_us)
};

struct load_sharing_options
{
    // Between two reads of one engine at one reader; there are two.
    duration read_interval = std::chrono::milliseconds(1'000);
    duration tell_interval = std::chrono::milliseconds(300);
    // Bounds the calls that begin at one moment.
    std::size_t most_at_once = 8;
};

class load_sharing
{
public:
    explicit load_sharing(load_sharing_options options = {}) : options_(options)
    {
    }

    // The engines whose report is to be read now.
    std::vector<upstream_index> due(time_point now,
                                    upstream_table const& upstreams);

    // An engine's report was read.
    void take(std::string const& upstream, upstream_report const& report)
    {
        untold_[upstream] = report;
    }

    // What is to be told now; nothing before the interval has passed.
    std::vector<upstream_load> untold(time_point now);

private:
    load_sharing_options options_;
    std::map<std::string, time_point> due_; // by engine
    std::map<std::string, upstream_report> untold_;
    time_point tell_due_{};
};

} // namespace amarantharch

#endif
