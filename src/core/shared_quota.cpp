#include "core/shared_quota.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(5);
// Weight of the newest sample in the moving average of a peer's rate.
constexpr double rate_gain = 0.5;
// Weight of the newest request in the moving average of the size.
constexpr double mean_gain = 0.05;

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
        b.filled_at = now;
        b.level = bucket_capacity(quota) * options_.initial_fill;
    }
    fill(now, b);
    b.quota = quota;
    b.level = std::min(b.level, bucket_capacity(quota));
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
    charge_silent_peers(now);
    fill(now, b);
    quota_decision decision;
    decision.level = b.level;
    decision.unheard = unheard(now, organisation);
    decision.share = own_share(now);
    double const mean = b.mean_units == 0 ? units : b.mean_units;
    b.mean_units = mean + mean_gain * (units - mean);
    double const needed = std::min(mean, bucket_capacity(b.quota));
    double const room =
        std::min(decision.level - decision.unheard, remaining_until_report(b));
    double const missing = needed - room;
    if (missing > 0)
    {
        auto const wait = duration(static_cast<std::int64_t>(
            missing / (fill_rate(b.quota) * decision.share) * 1e6));
        decision.allowed = false;
        decision.retry_after =
            std::clamp(wait, min_retry_after, max_retry_after);
        return decision;
    }
    b.level -= units;
    b.spent += units;
    b.unreported += units;
    return decision;
}

// What this VM may still admit before its next report. The first request after
// a report is limited by the bucket alone.
double shared_quota::remaining_until_report(bucket const& b) const
{
    double const vms =
        static_cast<double>(std::max(peers_.size() + 1, listed_vms_));
    if (vms <= 1 || b.unreported <= 0)
    {
        return bucket_capacity(b.quota);
    }
    double const gained = b.level + b.unreported - b.reported_level;
    double const part = (b.reported_level + std::max(0.0, gained)) / vms;
    return part * options_.skew - b.unreported;
}

// Drains from the buckets, once for each silent peer, what it has probably
// admitted between its last report and the time from which it counts as silent.
void shared_quota::charge_silent_peers(time_point now)
{
    for (auto& [vm, peer] : peers_)
    {
        if (now - peer.heard_at <= options_.silence_timeout)
        {
            continue;
        }
        double const span =
            std::chrono::duration<double>(options_.silence_timeout).count();
        for (auto& [organisation, spent] : peer.spent)
        {
            auto const own = buckets_.find(organisation);
            if (spent.assumed == 0 && spent.rate > 0 && own != buckets_.end())
            {
                spent.assumed = spent.rate * span;
                own->second.level -= spent.assumed;
            }
        }
    }
}

void shared_quota::refund(std::string const& organisation, double units)
{
    auto const known = buckets_.find(organisation);
    if (known != buckets_.end())
    {
        known->second.level += units;
        known->second.spent -= units;
        known->second.unreported -= units;
    }
}

double shared_quota::limit_in_window(quota_spec const& quota) const
{
    double const window =
        std::chrono::duration<double>(options_.window).count();
    return quota.rate_per_second * window + quota.burst;
}

double shared_quota::fill_rate(quota_spec const& quota) const
{
    return limit_in_window(quota) /
           std::chrono::duration<double>(options_.window).count();
}

// The level of a full bucket.
double shared_quota::bucket_capacity(quota_spec const& quota) const
{
    double const tolerance =
        limit_in_window(quota) * options_.overshoot + options_.slack;
    return tolerance * options_.depth_share;
}

void shared_quota::fill(time_point now, bucket& b) const
{
    double const elapsed = seconds_between(b.filled_at, now);
    b.filled_at = std::max(b.filled_at, now);
    b.level = std::min(bucket_capacity(b.quota),
                       b.level + elapsed * fill_rate(b.quota) * own_share(now));
}

// The part of a quota's rate that falls to this VM and the peers that it hears
// from.
double shared_quota::own_share(time_point now) const
{
    double heard = 1;
    double all = 1;
    for (auto const& [vm, peer] : peers_)
    {
        duration const age = now - peer.heard_at;
        all += age <= options_.peer_timeout ? 1 : 0;
        heard += age <= options_.silence_timeout ? 1 : 0;
    }
    return heard / std::max(all, static_cast<double>(listed_vms_));
}

// Estimate of what the peers that are not silent have admitted since their last
// reports.
double shared_quota::unheard(time_point now,
                             std::string const& organisation) const
{
    double units = 0;
    for (auto const& [vm, peer] : peers_)
    {
        auto const known = peer.spent.find(organisation);
        if (known != peer.spent.end() &&
            now - peer.heard_at <= options_.silence_timeout)
        {
            units += known->second.rate * seconds_between(peer.heard_at, now);
        }
    }
    return units;
}

quota_report shared_quota::report(time_point now, std::string vm,
                                  std::uint64_t incarnation)
{
    charge_silent_peers(now);
    quota_report result{std::move(vm), incarnation, ++sequence_, {}};
    for (auto& [organisation, b] : buckets_)
    {
        fill(now, b);
        b.unreported = 0;
        b.reported_level = b.level - unheard(now, organisation);
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
    double const elapsed = seconds_between(known.heard_at, now);
    for (organisation_spent const& row : peer.spent)
    {
        auto const [entry, added] = known.spent.try_emplace(row.organisation);
        peer_spent& spent = entry->second;
        // What a VM admitted before its first report is not charged.
        double const before = added || first_heard ? row.units
                              : restarted          ? 0
                                                   : spent.units;
        double const used = std::max(0.0, row.units - before);
        spent.units = row.units;
        if (elapsed > 0 && !first_heard)
        {
            spent.rate += rate_gain * (used / elapsed - spent.rate);
        }
        auto const own = buckets_.find(row.organisation);
        if (own != buckets_.end())
        {
            fill(now, own->second);
            own->second.level -= used - std::exchange(spent.assumed, 0);
        }
    }
    known.incarnation = peer.incarnation;
    known.sequence = peer.sequence;
    known.heard_at = now;
}

} // namespace amarantharch
