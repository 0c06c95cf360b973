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
#include <set>
#include <string>
#include <vector>

namespace amarantharch
{

// One upstream's load, as sent between VMs. Fields are only appended: an older
// build skips those that it does not know, a newer one takes their defaults.
struct upstream_load
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::int64_t age_us = 0; // since it was measured
    // Stated work time, in percent: the newest value with its age, the mean of
    // `work_values` values. 0 values: none stated.
    std::uint32_t work_percent = 0;
    std::uint32_t mean_work_percent = 0;
    std::uint32_t work_values = 0;
    std::int64_t work_age_us = 0;
    // Memory in tokens, and the age of its report. A total of 0: not reported.
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    std::int64_t memory_age_us = 0;
    MSGPACK_DEFINE(upstream, running, waiting, age_us, work_percent,
                   mean_work_percent, work_values, work_age_us, memory_used,
                   memory_total, memory_age_us)
};

upstream_load load_of(time_point now, std::string const& upstream,
                      upstream_report const& report);
upstream_report report_of(time_point now, upstream_load const& load);

// Adds `report` to what was reported of the same upstream: the newest load,
// work time and memory count, and the mean of the stated work times is that of
// both reports.
void merge_report(upstream_report& into, upstream_report const& report);

struct load_sharing_options
{
    // Between two reads of one engine by one reader. Each cell has two readers.
    duration read_interval = std::chrono::milliseconds(1'000);
    duration send_interval = std::chrono::milliseconds(300);
    // Between two reads of an engine that reports its memory, which answers
    // to callers' requests do not state.
    duration memory_interval = std::chrono::seconds(2);
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
        auto const [kept, added] =
            unsent_reports_.try_emplace(upstream, report);
        if (!added)
        {
            merge_report(kept->second, report);
        }
        on_heard(upstream, report);
    }

    // An engine's load is known here: no read is needed until it is
    // read_interval old, or its memory memory_interval.
    void on_heard(std::string const& upstream, upstream_report const& report);

    // The reports not yet sent; empty until send_interval has passed.
    std::vector<upstream_load> take_due_loads(time_point now);

private:
    load_sharing_options options_;
    std::map<std::string, time_point> next_read_; // next read, by engine
    // The engines that this VM has begun to read. The first read is not put
    // off: it shows whether the engine reports its memory.
    std::set<std::string> first_reads_;
    // When the memory must be read again, by engine.
    std::map<std::string, time_point> memory_due_;
    std::map<std::string, upstream_report> unsent_reports_;
    time_point send_due_{};
};

} // namespace amarantharch

#endif
