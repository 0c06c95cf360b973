#include "core/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

std::optional<crash_suspects>
crash_detector::record_lost_connection(time_point now, upstream_index upstream,
                                       attempt_id attempt,
                                       attempts_in_flight const& in_flight)
{
    auto found = groups_.find(upstream);
    bool const starts_group =
        found == groups_.end() ||
        now - found->second.since > options_.loss_window ||
        !found->second.missing.contains(attempt);
    if (starts_group)
    {
        group started;
        started.since = now;
        for (auto const& [id, row] : in_flight)
        {
            started.missing.insert(id);
            duration& longest =
                (row.answer_begun
                     ? started.begun
                     : started.unanswered)[row.request_fingerprint];
            longest = std::max(longest, row.age);
            if (!row.answer_begun)
            {
                add_suspects(started.unanswered_parts, row.parts, row.age);
            }
        }
        found = groups_.insert_or_assign(upstream, std::move(started)).first;
    }
    group& lost = found->second;
    lost.missing.erase(attempt);
    bool const all_lost = lost.missing.empty() && !lost.survivor;
    bool const enough =
        lost.unanswered.size() + lost.begun.size() >= options_.quorum;
    return all_lost && enough ? std::optional(conclude(found)) : std::nullopt;
}

bool crash_detector::needs_check(upstream_index upstream)
{
    auto const found = groups_.find(upstream);
    return found != groups_.end() &&
           !std::exchange(found->second.checked, true);
}

std::optional<crash_suspects>
crash_detector::record_refused_connection(time_point now,
                                          upstream_index upstream)
{
    auto const found = groups_.find(upstream);
    bool const recent = found != groups_.end() &&
                        now - found->second.since <= options_.refusal_window;
    return recent ? std::optional(conclude(found)) : std::nullopt;
}

void crash_detector::record_ended_attempt(upstream_index upstream,
                                          attempt_id attempt)
{
    auto const found = groups_.find(upstream);
    if (found != groups_.end() && found->second.missing.contains(attempt))
    {
        found->second.survivor = true;
    }
}

crash_suspects
crash_detector::conclude(std::map<upstream_index, group>::iterator crashed)
{
    group lost = std::move(crashed->second);
    groups_.erase(crashed);
    return {lost.since,
            lost.unanswered.empty() ? std::move(lost.begun)
                                    : std::move(lost.unanswered),
            std::move(lost.unanswered_parts)};
}

} // namespace amarantharch
