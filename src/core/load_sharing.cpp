#include "core/load_sharing.hpp"

#include <xxhash.h>

#include <utility>

namespace amarantharch
{

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
        loads.push_back({name, report.running, report.waiting,
                         (now - report.measured_at).count()});
    }
    return loads;
}

} // namespace amarantharch
