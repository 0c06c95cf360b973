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
    auto const [place, added] = accounts_.try_emplace(organisation);
    account& a = place->second;
    a.quota = quota;
    if (added)
    {
        assume_used(now, a);
    }
}

// Takes the quota for used evenly in the window that ends now.
void shared_quota::assume_used(time_point now, account& a) const
{
    std::int64_t const slots = options_.window / slot_length;
    double const each = limit_in_window(a.quota) / static_cast<double>(slots);
    for (std::int64_t i = slots; i > 0; --i)
    {
        a.slots.push_back({now - i * slot_length, each});
        a.used += each;
    }
}

quota_decision shared_quota::spend(time_point now,
                                   std::string const& organisation,
                                   double units)
{
    auto const known = accounts_.find(organisation);
    if (known == accounts_.end() || known->second.quota.rate_per_second <= 0)
    {
        return {};
    }
    account& a = known->second;
    forget_old(now, a);
    quota_decision decision;
    decision.used = a.used;
    decision.unheard = unheard(now, organisation);
    decision.limit = (limit_in_window(a.quota) +
                      options_.overdraft * tolerance(a.quota)) *
                     own_share(now);
    double const excess =
        decision.used + decision.unheard + units - decision.limit;
    if (excess > 0)
    {
        decision.allowed = false;
        decision.retry_after = room_after(now, a, excess);
        return decision;
    }
    add(now, a, units);
    a.spent += units;
    return decision;
}

// When `excess` units of the use will have left the window.
duration shared_quota::room_after(time_point now, account const& a,
                                  double excess) const
{
    for (slot const& s : a.slots)
    {
        excess -= s.units;
        if (excess <= 0)
        {
            duration const wait =
                s.start + slot_length + options_.window - now;
            return std::clamp(wait, min_retry_after, max_retry_after);
        }
    }
    return max_retry_after;
}

void shared_quota::refund(time_point now, std::string const& organisation,
                          double units)
{
    auto const known = accounts_.find(organisation);
    if (known != accounts_.end() && units > 0)
    {
        add(now, known->second, -units);
        known->second.spent -= units;
    }
}

double shared_quota::limit_in_window(quota_spec const& quota) const
{
    double const window =
        std::chrono::duration<double>(options_.window).count();
    return quota.rate_per_second * window + quota.burst;
}

// What may be used beyond the quota in a window.
double shared_quota::tolerance(quota_spec const& quota) const
{
    return limit_in_window(quota) * options_.overshoot + options_.slack;
}

void shared_quota::add(time_point now, account& a, double units)
{
    if (a.slots.empty() || now >= a.slots.back().start + slot_length)
    {
        a.slots.push_back({now, 0});
    }
    a.slots.back().units += units;
    a.used += units;
}

void shared_quota::forget_old(time_point now, account& a) const
{
    while (!a.slots.empty() &&
           a.slots.front().start + slot_length + options_.window <= now)
    {
        a.used -= a.slots.front().units;
        a.slots.pop_front();
    }
    if (a.slots.empty())
    {
        a.used = 0; // drops what rounding has left
    }
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
    for (auto const& [organisation, a] : accounts_)
    {
        if (a.quota.rate_per_second > 0)
        {
            result.spent.push_back({organisation, a.spent});
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
        auto const own = accounts_.find(row.organisation);
        if (own != accounts_.end() && used > 0)
        {
            add(now, own->second, used);
        }
    }
    known.incarnation = peer.incarnation;
    known.sequence = peer.sequence;
    known.heard_at = now;
}

} // namespace amarantharch
