#include "core/warm_up_share.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace amarantharch
{

namespace
{

// The slots of one VM at several upstreams begin at different moments: each
// upstream counts from its own moment in this span.
constexpr std::uint64_t origin_span_us = 1'000'000'000;

duration seconds_of(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// The number nearest to vms / golden ratio that has no common divisor with
// `vms`: its multiples modulo `vms` are all different and spread evenly.
std::size_t stride_of(std::size_t vms)
{
    auto const ideal = static_cast<std::size_t>(
        std::lround(static_cast<double>(vms) / std::numbers::phi));
    for (std::size_t off = 0; off < vms; ++off)
    {
        for (std::size_t const stride : {ideal + off, ideal - off})
        {
            if (stride > 0 && stride < vms && std::gcd(stride, vms) == 1)
            {
                return stride;
            }
        }
    }
    return 1;
}

} // namespace

warm_up_share::warm_up_share(time_point now, std::uint64_t seed,
                             double per_second, fleet_position position,
                             time_point known_since)
    : per_second_(std::max(per_second, min_warm_up_rate)),
      origin_(duration(static_cast<std::int64_t>(seed % origin_span_us))),
      position_(position),
      usable_from_(std::max(now, known_since + settle_time))
{
}

void warm_up_share::set_position(time_point now, fleet_position position)
{
    if (position != position_)
    {
        position_ = position;
        // Half of an interval after the last request at least, as the VM's
        // slots have moved.
        usable_from_ = std::max(now + settle_time, last_sent_ + interval() / 2);
    }
}

duration warm_up_share::interval() const
{
    double const vms =
        static_cast<double>(std::max<std::size_t>(position_.vms, 1));
    return std::max(seconds_of(vms / per_second_), duration(1));
}

// The first of this VM's slots after the origin.
time_point warm_up_share::first_slot() const
{
    std::size_t const slot =
        position_.rank * stride_of(position_.vms) % position_.vms;
    return origin_ + seconds_of(static_cast<double>(slot) / per_second_);
}

time_point warm_up_share::next_turn(time_point now) const
{
    if (position_.vms == 0)
    {
        return time_point::max();
    }
    time_point const least = std::max(usable_from_, now - turn_lifetime);
    time_point const first = first_slot();
    if (first >= least)
    {
        return first;
    }
    duration const step = interval();
    return first + step * ((least - first + step - duration(1)) / step);
}

bool warm_up_share::admits(time_point now) const
{
    return next_turn(now) <= now;
}

void warm_up_share::on_sent(time_point now)
{
    time_point const turn = next_turn(now);
    last_sent_ = now;
    if (turn <= now)
    {
        usable_from_ = turn + duration(1);
    }
}

} // namespace amarantharch
