#include "core/relayed_sums.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// A group has two relays, and a few more while the selection changes.
constexpr std::size_t max_relays = 16;

} // namespace

std::vector<organisation_spent>
relayed_sums::merge(relay_version const& version,
                    std::vector<organisation_spent> const& totals)
{
    auto const [place, added] = relays_.try_emplace(version.relay);
    relay_row& relay = place->second;
    if (!added && std::pair(version.incarnation, version.sequence) <=
                      std::pair(relay.incarnation, relay.sequence))
    {
        return {};
    }
    bool const restarted = added || version.incarnation != relay.incarnation;
    if (restarted)
    {
        relay.last.clear();
        relay.progress = totals_;
    }
    relay.incarnation = version.incarnation;
    relay.sequence = version.sequence;
    relay.used = ++merges_;
    std::vector<organisation_spent> grown;
    for (organisation_spent const& row : totals)
    {
        double& last = relay.last[row.organisation];
        double& progress = relay.progress[row.organisation];
        progress += restarted ? 0 : row.units - last;
        last = row.units;
        double& total = totals_[row.organisation];
        if (progress > total)
        {
            grown.push_back({row.organisation, progress - total});
            total = progress;
        }
    }
    drop_least_recent();
    return grown;
}

void relayed_sums::drop_least_recent()
{
    if (relays_.size() > max_relays)
    {
        relays_.erase(std::ranges::min_element(
            relays_, {}, [](auto const& entry) { return entry.second.used; }));
    }
}

} // namespace amarantharch
