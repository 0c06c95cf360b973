#include "core/shared_quota.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(5);
// Weight of the newest span between two reports in a peer's rate.
constexpr double rate_gain = 0.5;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void shared_quota::configure(time_point now, std::string const& organisation,
                             quota_spec const& quota)
{
    auto const [place, added] = buckets_.try_emplace(organisation);
    bucket& b = place->second;
    if (added)
    {
        b.level = quota.burst * options_.initial_fill;
        b.filled_at = now;
    }
    fill(now, b);
    b.quota = quota;
    b.level = std::min(b.level, quota.burst);
}

quota_decision shared_quota::spend(time_point now,
                                   std::string const& organisation,
                                   double units)
{
    auto const known = buckets_.find(organisation);
    if (known == buckets_.end() || known->second.quota.rate_per_second <= 0)
    {
        return {};
    }
    bucket& b = known->second;
    fill(now, b);
    double const floor = -options_.overdraft * tolerance(b.quota);
    quota_decision decision;
    decision.level = b.level;
    decision.unheard = unheard(now, organisation);
    decision.share = own_share(now);
    double const left = decision.level - decision.unheard - floor;
    if (left <= 0)
    {
        auto const wait = duration(static_cast<std::int64_t>(
            (units - left) / b.quota.rate_per_second * 1e6));
        decision.allowed = false;
        decision.retry_after =
            std::clamp(wait, min_retry_after, max_retry_after);
        return decision;
    }
    b.level -= units;
    b.spent += units;
    return decision;
}

void shared_quota::refund(std::string const& organisation, double units)
{
    auto const known = buckets_.find(organisation);
    if (known != buckets_.end())
    {
        known->second.level += units;
        known->second.spent -= units;
    }
}

// What may be used beyond the quota in a window.
double shared_quota::tolerance(quota_spec const& quota) const
{
    double const window =
        std::chrono::duration<double>(options_.window).count();
    double const limit = quota.rate_per_second * window + quota.burst;
    return limit * options_.overshoot + options_.slack;
}

void shared_quota::fill(time_point now, bucket& b) const
{
    double const passed = seconds_between(b.filled_at, now);
    b.filled_at = std::max(b.filled_at, now);
    b.level =
        std::min(b.quota.burst, b.level + passed * b.quota.rate_per_second *
                                              own_share(now));
}

// The part of a quota's rate that falls to this VM and the peers it hears.
double shared_quota::own_share(time_point now) const
{
    double heard = 1;
    double all = 1;
    for (auto const& [vm, peer] : peers_)
    {
        duration const age = now - peer.heard_at;
        all += age <= options_.memory ? 1 : 0;
        heard += age <= options_.silence ? 1 : 0;
    }
    return heard / all;
}

// What peers have probably admitted since they were last heard.
double shared_quota::unheard(time_point now,
                             std::string const& organisation) const
{
    double units = 0;
    for (auto const& [vm, peer] : peers_)
    {
        auto const known = peer.spent.find(organisation);
        if (known != peer.spent.end() && now - peer.heard_at <= options_.silence)
        {
            units += known->second.rate * seconds_between(peer.heard_at, now);
        }
    }
    return units;
}

quota_report shared_quota::report(std::string vm, std::uint64_t incarnation)
{
    quota_report result{std::move(vm), incarnation, ++sequence_, {}};
    for (auto const& [organisation, b] : buckets_)
    {
        if (b.quota.rate_per_second > 0)
        {
            result.spent.push_back({organisation, b.spent});
        }
    }
    return result;
}

void shared_quota::merge(time_point now, quota_report const& peer)
{
    auto const [place, first_heard] = peers_.try_emplace(peer.vm);
    peer_row& known = place->second;
    auto const version = std::pair(peer.incarnation, peer.sequence);
    if (!first_heard && version <= std::pair(known.incarnation, known.sequence))
    {
        return;
    }
    bool const restarted = peer.incarnation != known.incarnation;
    double const passed = seconds_between(known.heard_at, now);
    for (organisation_spent const& row : peer.spent)
    {
        auto const [entry, added] =
            known.spent.try_emplace(row.organisation);
        peer_spent& spent = entry->second;
        // What a VM admitted before it was first heard is history.
        double const before = added || first_heard ? row.units
                              : restarted          ? 0
                                                   : spent.units;
        double const used = std::max(0.0, row.units - before);
        spent.units = row.units;
        if (passed > 0 && !first_heard)
        {
            spent.rate += rate_gain * (used / passed - spent.rate);
        }
        auto const b = buckets_.find(row.organisation);
        if (b != buckets_.end())
        {
            fill(now, b->second);
            b->second.level -= used;
        }
    }
    known.incarnation = peer.incarnation;
    known.sequence = peer.sequence;
    known.heard_at = now;
}

} // namespace amarantharch
