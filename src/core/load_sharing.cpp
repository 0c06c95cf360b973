#include "core/load_sharing.hpp"

#include <xxhash.h>

#include <utility>

namespace amarantharch
{

namespace
{

// Bounds the influence of what one VM sends.
constexpr std::uint32_t most_work_values = 1'000;

// A time `age_us` ago; a nonsensical age counts as none or as an hour.
time_point time_before(time_point now, std::int64_t age_us)
{
    return now - std::clamp(duration(age_us), duration::zero(),
                            duration(std::chrono::hours(1)));
}

std::uint32_t mean_of(stated_work const& a, stated_work const& b)
{
    std::uint64_t const values = std::uint64_t{a.values} + b.values;
    std::uint64_t const sum = std::uint64_t{a.mean_percent} * a.values +
                              std::uint64_t{b.mean_percent} * b.values;
    return values == 0 ? 0 : static_cast<std::uint32_t>(sum / values);
}

void merge_work(std::optional<stated_work>& into,
                std::optional<stated_work> const& from)
{
    if (!into || !from)
    {
        into = into ? into : from;
        return;
    }
    stated_work merged = into->measured_at < from->measured_at ? *from : *into;
    merged.mean_percent = mean_of(*into, *from);
    merged.values = std::min(into->values + from->values, most_work_values);
    into = merged;
}

} // namespace

upstream_load load_of(time_point now, std::string const& upstream,
                      upstream_report const& report)
{
    auto const age_of = [now](time_point at)
    {
        return (now - at).count();
    };
    upstream_load load{upstream, report.running, report.waiting,
                       age_of(report.measured_at)};
    if (report.work)
    {
        load.work_percent = report.work->newest_percent;
        load.mean_work_percent = report.work->mean_percent;
        load.work_values = report.work->values;
        load.work_age_us = age_of(report.work->measured_at);
    }
    if (report.memory)
    {
        load.memory_used = report.memory->used;
        load.memory_total = report.memory->total;
        load.memory_age_us = age_of(report.memory->measured_at);
    }
    return load;
}

upstream_report report_of(time_point now, upstream_load const& load)
{
    upstream_report report{now - duration(load.age_us), load.running,
                           load.waiting, 0};
    bool const states_work = load.work_values > 0 && load.work_percent > 0 &&
                             load.mean_work_percent > 0;
    if (states_work)
    {
        report.work = {time_before(now, load.work_age_us), load.work_percent,
                       load.mean_work_percent,
                       std::min(load.work_values, most_work_values)};
    }
    if (load.memory_total > 0)
    {
        report.memory = {time_before(now, load.memory_age_us), load.memory_used,
                         load.memory_total};
    }
    return report;
}

void merge_report(upstream_report& into, upstream_report const& report)
{
    upstream_report const before = into;
    if (into.measured_at <= report.measured_at)
    {
        into = report;
    }
    into.work = before.work;
    merge_work(into.work, report.work);
    bool const keeps_memory =
        before.memory && (!report.memory || report.memory->measured_at <
                                                before.memory->measured_at);
    into.memory = keeps_memory ? before.memory : report.memory;
}

void load_sharing::on_heard(std::string const& upstream,
                            upstream_report const& report)
{
    if (report.memory)
    {
        time_point& due = memory_due_[upstream];
        due = std::max(due,
                       report.memory->measured_at + options_.memory_interval);
    }
    if (!first_reads_.contains(upstream))
    {
        return;
    }
    time_point& next = next_read_[upstream];
    next = std::max(next, report.measured_at + options_.read_interval);
    auto const due = memory_due_.find(upstream);
    if (due != memory_due_.end())
    {
        next = std::min(next, due->second);
    }
}

std::vector<upstream_index>
load_sharing::take_due_engines(time_point now, upstream_table const& upstreams)
{
    std::vector<upstream_index> chosen;
    for (upstream_index i = 0; i < upstreams.size(); ++i)
    {
        upstream_row const& row = upstreams.row(i);
        std::string const& name = row.profile.name;
        // Reads would count against a limit, and cold upstreams are slow.
        if (!row.present || row.leaving || row.evacuated ||
            row.paused_until > now || row.limit || row.warms_up(now) ||
            row.profile.kind != upstream_kind::engine)
        {
            next_read_.erase(name);
            memory_due_.erase(name);
            first_reads_.erase(name);
            continue;
        }
        // The hash of the name spreads the first reads over the interval.
        auto const [entry, added] = next_read_.try_emplace(
            name, now + duration(static_cast<std::int64_t>(
                            XXH3_64bits(name.data(), name.size()) %
                            static_cast<std::uint64_t>(
                                options_.read_interval.count()))));
        if (now >= entry->second && chosen.size() < options_.max_reads_at_once)
        {
            entry->second = now + options_.read_interval;
            first_reads_.insert(name);
            chosen.push_back(i);
        }
    }
    return chosen;
}

std::vector<upstream_load> load_sharing::take_due_loads(time_point now)
{
    if (now < send_due_ || unsent_reports_.empty())
    {
        return {};
    }
    send_due_ = now + options_.send_interval;
    std::vector<upstream_load> loads;
    for (auto const& [name, report] : std::exchange(unsent_reports_, {}))
    {
        loads.push_back(load_of(now, name, report));
    }
    return loads;
}

} // namespace amarantharch
