#include "core/crash_detector.hpp"

#include <utility>

namespace amarantharch
{

std::optional<std::set<fingerprint>>
crash_detector::record_lost_connection(time_point now, upstream_index upstream,
                                       attempt_id attempt,
                                       attempts_in_flight const& in_flight)
{
    auto found = groups_.find(upstream);
    bool const starts_group = found == groups_.end() ||
                              now - found->second.since > window_ ||
                              !found->second.missing.contains(attempt);
    if (starts_group)
    {
        group started{now, {}, {}};
        for (auto const& [id, request_fingerprint] : in_flight)
        {
            started.missing.insert(id);
            started.fingerprints.insert(request_fingerprint);
        }
        found = groups_.insert_or_assign(upstream, std::move(started)).first;
    }
    found->second.missing.erase(attempt);
    if (!found->second.missing.empty())
    {
        return std::nullopt;
    }
    std::set<fingerprint> fingerprints = std::move(found->second.fingerprints);
    groups_.erase(found);
    return fingerprints;
}

void crash_detector::record_ended_attempt(upstream_index upstream,
                                          attempt_id attempt)
{
    auto const found = groups_.find(upstream);
    if (found != groups_.end() && found->second.missing.contains(attempt))
    {
        groups_.erase(found);
    }
}

} // namespace amarantharch
