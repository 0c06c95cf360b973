// Polls the engines' load on a few VMs, which share it with the others.
//
// A VM learns an engine's load from the answers that the engine sends to it. In
// a large fleet its knowledge of most engines is therefore many seconds old,
// and it would place long prompts at random. The VMs that read the platform's
// streams on behalf of others (see shared_reading) poll each engine in turn and
// send the loads on.
//
// VMs also send the readers the loads that answers to callers' requests give,
// so that engines in use need no reads of their own.
//
// The router uses the reports and bounds their error by their age.
// Cost at a reader: one call for each engine in read_interval; at the other
// VMs: one message from each reader in send_interval.
#ifndef AMARANTHARCH_CORE_LOAD_SHARING_HPP
#define AMARANTHARCH_CORE_LOAD_SHARING_HPP

#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

// One engine's load, as sent between VMs.
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
    // Between two reads of one engine by one reader. Each cell has two readers.
    duration read_interval = std::chrono::milliseconds(1'000);
    duration send_interval = std::chrono::milliseconds(300);
    // Limits the calls started in one tick.
    std::size_t max_reads_at_once = 8;
};

class load_sharing
{
public:
    explicit load_sharing(load_sharing_options options = {}) : options_(options)
    {
    }

    // The engines to poll now; schedules their next read.
    std::vector<upstream_index>
    take_due_engines(time_point now, upstream_table const& upstreams);

    // Stores an engine's report, to be sent to others, and puts off its next
    // read.
    void add_report(std::string const& upstream, upstream_report const& report)
    {
        upstream_report& kept = unsent_reports_[upstream];
        if (kept.measured_at <= report.measured_at)
        {
            kept = report;
        }
        on_heard(upstream, report.measured_at);
    }

    // An engine's load at `measured_at` is known here: no read is needed until
    // it is read_interval old.
    void on_heard(std::string const& upstream, time_point measured_at)
    {
        time_point& next = next_read_[upstream];
        next = std::max(next, measured_at + options_.read_interval);
    }

    // The reports not yet sent; empty until send_interval has passed.
    std::vector<upstream_load> take_due_loads(time_point now);

private:
    load_sharing_options options_;
    std::map<std::string, time_point> next_read_; // next read, by engine
    std::map<std::string, upstream_report> unsent_reports_;
    time_point send_due_{};
};

} // namespace amarantharch

#endif
