#include "core/usage_windows.hpp"

#include <algorithm>

namespace amarantharch
{

namespace
{

// Past windows that a VM reports besides the present one; older ones no longer
// change.
constexpr window_number reported_windows = 2;

} // namespace

window_number usage_windows::window_at(time_point now) const
{
    return length_ == duration::zero() ? 0 : now.time_since_epoch() / length_;
}

time_point usage_windows::end_of(window_number window) const
{
    return time_point((window + 1) * length_);
}

void usage_windows::on_request_started(time_point now,
                                       std::string const& organisation)
{
    if (length_ == duration::zero() || organisation.empty())
    {
        return;
    }
    ++own_[window_at(now)][organisation];
    forget_old_windows(now);
}

std::vector<window_counts>
usage_windows::report(time_point now, std::string const& vm,
                      std::uint64_t incarnation) const
{
    std::vector<window_counts> rows;
    for (auto row = own_.lower_bound(window_at(now) - reported_windows);
         row != own_.end(); ++row)
    {
        rows.push_back({vm, incarnation, row->first, row->second});
    }
    return rows;
}

void usage_windows::merge(time_point now, window_counts const& peer)
{
    window_number const present = window_at(now);
    constexpr auto kept = static_cast<window_number>(kept_windows);
    if (peer.window > present + 1 || peer.window <= present - kept)
    {
        return;
    }
    organisation_counts& known =
        peers_[peer.window][{peer.vm, peer.incarnation}];
    for (auto const& [organisation, count] : peer.counts)
    {
        std::uint64_t& greatest = known[organisation];
        greatest = std::max(greatest, count);
    }
    forget_old_windows(now);
}

std::vector<window_counts>
usage_windows::by_process(window_number window, std::string const& vm,
                          std::uint64_t incarnation) const
{
    std::vector<window_counts> rows;
    if (auto const own = own_.find(window); own != own_.end())
    {
        rows.push_back({vm, incarnation, window, own->second});
    }
    if (auto const peers = peers_.find(window); peers != peers_.end())
    {
        for (auto const& [name, counts] : peers->second)
        {
            rows.push_back({name.first, name.second, window, counts});
        }
    }
    return rows;
}

organisation_counts usage_windows::total(window_number window) const
{
    organisation_counts sum;
    auto const add = [&sum](organisation_counts const& counts)
    {
        for (auto const& [organisation, count] : counts)
        {
            sum[organisation] += count;
        }
    };
    if (auto const own = own_.find(window); own != own_.end())
    {
        add(own->second);
    }
    if (auto const peers = peers_.find(window); peers != peers_.end())
    {
        for (auto const& [vm, counts] : peers->second)
        {
            add(counts);
        }
    }
    return sum;
}

void usage_windows::forget_old_windows(time_point now)
{
    window_number const oldest =
        window_at(now) - static_cast<window_number>(kept_windows);
    own_.erase(own_.begin(), own_.upper_bound(oldest));
    peers_.erase(peers_.begin(), peers_.upper_bound(oldest));
}

} // namespace amarantharch
