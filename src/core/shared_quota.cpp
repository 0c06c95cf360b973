#include "core/shared_quota.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
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
// The own reports that are kept: a sum includes one of the last few.
constexpr std::size_t kept_reports = 64;
// Between updates of the fleet's rates: sums of two relays come in turn, and
// one of them tells little that is new.
constexpr duration rate_interval = std::chrono::milliseconds(250);

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
    started_at_ = started_at_.value_or(now);
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
    charge_silent_fleet(now);
    fill(now, b);
    quota_decision decision;
    decision.level = b.level;
    decision.unheard = unheard(now, organisation);
    decision.share = own_share(now);
    double const mean = b.mean_units == 0 ? units : b.mean_units;
    b.mean_units = mean + mean_gain * (units - mean);
    double const needed = std::min(mean, bucket_capacity(b.quota));
    double const room = std::min(decision.level - decision.unheard,
                                 remaining_until_report(now, b));
    double const missing = needed - room;
    if (missing > 0 ||
        (has_relays_ &&
         !passes_by_chance(b, decision.level - decision.unheard)))
    {
        auto const wait = duration(static_cast<std::int64_t>(
            std::max(missing, 0.0) / (fill_rate(b.quota) * decision.share) *
            1e6));
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
double shared_quota::remaining_until_report(time_point now,
                                            bucket const& b) const
{
    double const vms =
        static_cast<double>(std::max(peers_.size() + 1, listed_vms_));
    bool const first_is_free = b.unreported <= 0 && !knows_no_usage(now);
    if (vms <= 1 || first_is_free || has_relays_)
    {
        return bucket_capacity(b.quota);
    }
    double const gained = b.level + b.unreported - b.reported_level;
    double const part = (b.reported_level + std::max(0.0, gained)) / vms;
    return part * options_.skew - b.unreported;
}

bool shared_quota::passes_by_chance(bucket const& b, double level)
{
    if (b.admitted_share >= 1)
    {
        return true;
    }
    double const room = level / (bucket_capacity(b.quota) * options_.low_level);
    double const chance = b.admitted_share * std::clamp(room, 0.0, 1.0);
    return std::uniform_real_distribution<>()(random_) < chance;
}

// `admitted_rate`: units a second that the fleet admits. The share is first set
// to what of the demand the quota allows, since before that the fleet admits
// all of it; then it follows slowly, as the rate shows its effect late.
void shared_quota::update_admitted_share(bucket& b, double level,
                                         double admitted_rate) const
{
    double const capacity = bucket_capacity(b.quota);
    bool const unlimited = b.admitted_share >= 1;
    if (admitted_rate <= 0 || (unlimited && level >= 0))
    {
        return;
    }
    if (level >= capacity * options_.high_level)
    {
        b.admitted_share =
            std::min(1.0, b.admitted_share * options_.share_recovery);
        return;
    }
    // Above the middle the level shows that the quota is not used up.
    double const spare = (level - capacity / 2) / capacity;
    double const wanted =
        fill_rate(b.quota) *
        (1 + options_.level_gain * std::clamp(spare, -1., 1.));
    double const ratio = wanted / admitted_rate;
    double const factor =
        unlimited ? ratio : std::pow(ratio, options_.share_gain);
    b.admitted_share =
        std::clamp(b.admitted_share * factor, options_.min_admitted_share, 1.0);
}

bool shared_quota::knows_no_usage(time_point now) const
{
    return !heard_any_ && started_at_ &&
           now - *started_at_ < options_.silence_timeout;
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
    if (hears_fleet(now))
    {
        heard = std::max(heard, static_cast<double>(fleet_.members));
    }
    all = std::max(all, heard);
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
    auto const rate = fleet_.rates.find(organisation);
    if (rate != fleet_.rates.end() && hears_fleet(now))
    {
        units += rate->second * seconds_between(fleet_.heard_at, now);
    }
    return units;
}

bool shared_quota::hears_fleet(time_point now) const
{
    return fleet_.members > 0 &&
           now - fleet_.heard_at <= options_.silence_timeout;
}

// Once the relays are silent, this VM is on its own: it keeps its even part of
// what the buckets hold, less what the others have probably admitted since the
// last sum. What they admit from now on does not concern it, since its bucket
// is filled with its own part only; sums heard later are a new series.
void shared_quota::charge_silent_fleet(time_point now)
{
    if (fleet_.members == 0 || hears_fleet(now))
    {
        return;
    }
    double const span =
        std::chrono::duration<double>(options_.silence_timeout).count();
    double const vms = static_cast<double>(
        std::max<std::size_t>({fleet_.members, listed_vms_, 1}));
    for (auto& [organisation, b] : buckets_)
    {
        fill(now, b);
        b.level -= fleet_.rates[organisation] * span;
        b.level = b.level > 0 ? b.level / vms : b.level;
    }
    fleet_ = fleet_row{};
}

quota_report shared_quota::report(time_point now, std::string vm,
                                  std::uint64_t incarnation)
{
    charge_silent_peers(now);
    charge_silent_fleet(now);
    own_key_ = quota_member_key(vm, incarnation);
    if (sequence_ == 0)
    {
        random_.seed(static_cast<std::uint32_t>(own_key_)); // unlike others
    }
    quota_report result{std::move(vm), incarnation, ++sequence_, {}};
    own_report& kept = own_reports_.emplace_back();
    kept.sequence = sequence_;
    if (own_reports_.size() > kept_reports)
    {
        own_reports_.pop_front();
    }
    for (auto& [organisation, b] : buckets_)
    {
        fill(now, b);
        b.unreported = 0;
        double const level = b.level - unheard(now, organisation);
        double const vms =
            std::max<double>(2, static_cast<double>(fleet_.members));
        update_admitted_share(b, level,
                              fleet_.rates[organisation] * vms / (vms - 1));
        b.reported_level = level;
        if (b.quota.rate_per_second > 0)
        {
            result.spent.push_back({organisation, b.spent});
            kept.spent[organisation] = b.spent;
        }
    }
    return result;
}

void shared_quota::merge(time_point now, quota_report const& peer)
{
    auto const [place, first_heard] = peers_.try_emplace(peer.vm);
    peer_row& known = place->second;
    heard_any_ = true;
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

// Subtracts what this VM itself admitted from the totals of a sum. Returns the
// version under which the rest is merged, or nothing if the own report that it
// includes is no longer known.
std::optional<relay_version>
shared_quota::subtract_own(quota_sum const& sum,
                           std::vector<organisation_spent>& totals) const
{
    auto const included =
        std::ranges::find(sum.included, own_key_, &included_report::member);
    if (included == sum.included.end())
    {
        return relay_version{sum.relay, sum.incarnation, sum.sequence};
    }
    auto const report = std::ranges::find(own_reports_, included->sequence,
                                          &own_report::sequence);
    if (report == own_reports_.end())
    {
        return std::nullopt;
    }
    for (organisation_spent& row : totals)
    {
        auto const own = report->spent.find(row.organisation);
        row.units -= own == report->spent.end() ? 0 : own->second;
    }
    // A sum that begins to include this VM is another series of totals: the
    // part before the first included report was never in it.
    return relay_version{fmt::format("{}/{}", sum.relay, included->first),
                         sum.incarnation, sum.sequence};
}

void shared_quota::merge(time_point now, quota_sum const& sum)
{
    std::vector<organisation_spent> totals = sum.spent;
    auto const version = subtract_own(sum, totals);
    if (!version)
    {
        return;
    }
    charge_silent_fleet(now);
    for (organisation_spent const& grown : fleet_.sums.merge(*version, totals))
    {
        fleet_.recent[grown.organisation] += grown.units;
        auto const own = buckets_.find(grown.organisation);
        if (own != buckets_.end())
        {
            fill(now, own->second);
            own->second.level -= grown.units;
        }
    }
    heard_any_ = true;
    has_relays_ = true;
    fleet_.members = std::max(sum.members, 1u);
    fleet_.heard_at = now;
    update_fleet_rates(now);
}

void shared_quota::update_fleet_rates(time_point now)
{
    duration const span = now - fleet_.rates_at;
    if (span < rate_interval)
    {
        return;
    }
    // After a silence the rates are unknown, not low.
    bool const continues = span <= options_.silence_timeout;
    for (auto const& [organisation, b] : buckets_)
    {
        double& rate = fleet_.rates[organisation];
        double const sample = fleet_.recent[organisation] /
                              std::chrono::duration<double>(span).count();
        rate += continues ? rate_gain * (sample - rate) : 0;
    }
    fleet_.recent.clear();
    fleet_.rates_at = now;
}

} // namespace amarantharch
