#include "core/service_demand.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void service_demand::on_admitted(time_point now, std::string const& service,
                                 std::uint64_t tokens)
{
    auto const [entry, added] = own_.try_emplace(service);
    if (added)
    {
        entry->second.sampled_at = now;
    }
    entry->second.tokens += tokens;
    estimates_.try_emplace(service, estimate{now, 0});
}

void service_demand::sample(time_point now, counter& c) const
{
    double const span = seconds_between(c.sampled_at, now);
    if (span <= 0)
    {
        return;
    }
    double const newest = static_cast<double>(c.tokens - c.sampled) / span;
    // The plain mean of the first few samples, a moving average later.
    double const gain = std::max(options_.rate_gain, 1.0 / ++c.samples);
    c.rate += gain * (newest - c.rate);
    c.sampled = c.tokens;
    c.sampled_at = now;
}

// What remains of an estimate after a time.
double service_demand::decay(double seconds) const
{
    return std::exp(-seconds /
                    std::chrono::duration<double>(options_.decay_time).count());
}

void service_demand::tick(time_point now)
{
    if (now < sampled_at_ + options_.sample_interval)
    {
        return;
    }
    double const span = seconds_between(sampled_at_, now);
    sampled_at_ = now;
    for (auto& [service, own] : own_)
    {
        sample(now, own);
    }
    std::erase_if(
        peers_, [&](auto const& entry)
        { return now - entry.second.heard_at > options_.peer_timeout; });
    double const kept = decay(span);
    for (auto& [service, known] : estimates_)
    {
        known.rate = std::max(known.rate * kept, current_rate(now, service));
    }
}

// The sum over this VM and the peers with recent reports, scaled up to the
// number of listed VMs.
double service_demand::current_rate(time_point now,
                                    std::string const& service) const
{
    double sum = 0;
    std::size_t heard = 1;
    if (auto const own = own_.find(service); own != own_.end())
    {
        sum += own->second.rate;
    }
    for (auto const& [vm, peer] : peers_)
    {
        heard += now - peer.heard_at <= options_.peer_timeout ? 1 : 0;
        if (auto const row = peer.services.find(service);
            row != peer.services.end())
        {
            sum += row->second.rate;
        }
    }
    double const listed = static_cast<double>(std::max(listed_vms_, heard));
    return sum * listed / static_cast<double>(heard);
}

std::optional<double> service_demand::rate(time_point now,
                                           std::string const& service) const
{
    auto const known = estimates_.find(service);
    if (known == estimates_.end() ||
        now - known->second.first_at < options_.warm_up)
    {
        return std::nullopt;
    }
    return known->second.rate;
}

std::vector<service_rate> service_demand::rates(time_point now) const
{
    std::vector<service_rate> result;
    for (auto const& [service, known] : estimates_)
    {
        if (auto const tokens = rate(now, service))
        {
            result.push_back(
                {service, static_cast<std::uint64_t>(std::llround(*tokens))});
        }
    }
    return result;
}

void service_demand::restore(time_point now, time_point made_at,
                             std::vector<service_rate> const& earlier)
{
    // The clocks of two VMs may differ.
    duration const age = std::max(now - made_at, duration::zero());
    if (age > options_.max_restored_age)
    {
        return;
    }
    if (sampled_at_ == time_point{})
    {
        sampled_at_ = now; // the next tick decays only from here on
    }
    double const kept = decay(std::chrono::duration<double>(age).count());
    for (service_rate const& row : earlier)
    {
        if (!rate(now, row.service))
        {
            estimates_[row.service] = {
                now - options_.warm_up,
                static_cast<double>(row.tokens_per_second) * kept};
        }
    }
}

demand_report service_demand::report(std::string vm,
                                     std::uint64_t incarnation) const
{
    demand_report result{std::move(vm), incarnation, {}};
    for (auto const& [service, own] : own_)
    {
        result.work.push_back({service, own.tokens});
    }
    return result;
}

void service_demand::merge(time_point now, demand_report const& peer)
{
    peer_row& known = peers_[peer.vm];
    if (peer.incarnation < known.incarnation)
    {
        return;
    }
    if (peer.incarnation > known.incarnation)
    {
        known = {peer.incarnation, now, {}};
    }
    known.heard_at = now;
    for (service_work const& row : peer.work)
    {
        auto const [entry, added] = known.services.try_emplace(row.service);
        counter& c = entry->second;
        if (added)
        {
            c = {row.tokens, row.tokens, now, 0, 0};
            continue;
        }
        c.tokens = std::max(c.tokens, row.tokens);
        if (now - c.sampled_at >= options_.sample_interval)
        {
            sample(now, c);
        }
        estimates_.try_emplace(row.service, estimate{now, 0});
    }
}

} // namespace amarantharch
