#include "core/load_shedding.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace amarantharch
{

namespace
{

// Callers come back only within a third of the time that they have left; a
// quarter leaves time for the way.
constexpr int useful_wait_divisor = 4;
// Retry-After exceeds its base by up to this part, by the request id.
constexpr double retry_spread = 0.5;

// Between two samples of occupancy; loads change each 0.3 s.
constexpr duration sample_interval = std::chrono::milliseconds(250);
// Older samples say nothing about the present trend.
constexpr duration sample_memory = std::chrono::seconds(2);
constexpr double trend_gain = 0.4;
// A slower fall is no trend, and would predict waits without bound.
constexpr double least_fall_per_second = 0.1;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// Maps an id to [0, 1), deterministically; seeds give independent values.
double fraction_of(request_id const& id, std::uint64_t seed)
{
    std::uint64_t const hash = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    return static_cast<double>(hash >> 11) / static_cast<double>(1ull << 53);
}

constexpr std::uint64_t threshold_seed = 1;
constexpr std::uint64_t retry_seed = 2;
constexpr std::uint64_t ageing_seed = 3;

// Weight of the newest request in the moving average of target_use_.
constexpr double target_use_gain = 0.1;

// The occupancy that is compared with the thresholds.
double compared_occupancy(shedding_question const& what, double error)
{
    return std::min(what.service_occupancy.value_or(0),
                    what.upstream_occupancy + error);
}

} // namespace

load_shedding::load_shedding(load_shedding_options options) : options_(options)
{
}

void load_shedding::set_ranks(std::vector<std::uint8_t> ranks)
{
    ranks_ = std::move(ranks);
    std::ranges::sort(ranks_);
    ranks_.erase(std::unique(ranks_.begin(), ranks_.end()), ranks_.end());
}

void load_shedding::on_occupancy(time_point now, double occupancy)
{
    if (!sampled_at_ || now < *sampled_at_ ||
        now - *sampled_at_ > sample_memory)
    {
        sampled_at_ = now;
        sampled_ = occupancy;
        falls_per_second_ = 0;
        return;
    }
    duration const passed = now - *sampled_at_;
    if (passed < sample_interval)
    {
        return;
    }
    double const falls = (sampled_ - occupancy) / seconds_of(passed);
    falls_per_second_ += trend_gain * (falls - falls_per_second_);
    sampled_at_ = now;
    sampled_ = occupancy;
}

void load_shedding::on_rejection(double occupancy)
{
    // With free slots the cause is not a want of room.
    if (occupancy > 1)
    {
        limit_ = occupancy;
    }
}

void load_shedding::on_first_event(std::uint8_t rank, double occupancy,
                                   duration after, duration latency_target)
{
    bool const counts = has_priorities() && rank == ranks_.front() &&
                        latency_target > duration::zero() &&
                        occupancy >= options_.least_urgent_occupancy;
    if (!counts)
    {
        return;
    }
    double const use =
        seconds_of(after) / seconds_of(latency_target) / occupancy;
    target_use_ +=
        target_use_ == 0 ? use : target_use_gain * (use - target_use_);
}

std::size_t load_shedding::position_of(time_point now,
                                       shedding_question const& what) const
{
    auto const found = std::ranges::lower_bound(ranks_, what.rank);
    std::size_t const position = std::min(
        static_cast<std::size_t>(found - ranks_.begin()), least_urgent());
    if (!what.held_since || now <= *what.held_since)
    {
        return position;
    }
    auto const steps =
        static_cast<std::size_t>((now - *what.held_since) / options_.ageing);
    bool const rises_to_first =
        fraction_of(what.id, ageing_seed) < options_.aged_share;
    std::size_t const highest =
        rises_to_first ? 0 : std::min<std::size_t>(position, 1);
    return std::max(highest, position - std::min(position, steps));
}

double load_shedding::rank_threshold(std::size_t position) const
{
    double const least = options_.least_urgent_occupancy;
    auto const stepped = [&](std::size_t at)
    {
        return least * (1 + options_.rank_step *
                                static_cast<double>(least_urgent() - at));
    };
    double const highest = std::max(limit(), stepped(0));
    if (position > 0 || least_urgent() == 0)
    {
        return std::min(stepped(position), highest);
    }
    double const in_time =
        target_use_ > 0 ? options_.target_share / target_use_ : highest;
    return std::clamp(in_time, stepped(0), highest);
}

// The band of the least urgent rank lies above its threshold, since nothing is
// held below that; the bands of the others lie below theirs. The most urgent
// rank has none, since nothing else uses the room that it leaves.
double load_shedding::threshold_of(std::size_t position,
                                   request_id const& id) const
{
    double const threshold = rank_threshold(position);
    if (position == 0)
    {
        return threshold;
    }
    double const part = options_.band * fraction_of(id, threshold_seed);
    if (position + 1 >= ranks_.size())
    {
        return threshold + part * (rank_threshold(position - 1) - threshold);
    }
    return threshold - part * (threshold - rank_threshold(position + 1));
}

duration load_shedding::hold_time(time_point now,
                                  shedding_question const& what) const
{
    duration const slack = what.deadline - now - what.predicted;
    auto const halvings = std::min<std::size_t>(position_of(now, what), 8);
    return std::clamp(slack / options_.hold_divisor, duration::zero(),
                      options_.max_hold / (1 << halvings));
}

shedding_decision load_shedding::decide(time_point now,
                                        shedding_question const& what) const
{
    shedding_decision decision;
    if (!has_priorities() || !what.service_occupancy)
    {
        decision.reason = has_priorities() ? shedding_reason::loads_unknown
                                           : shedding_reason::no_priorities;
        return decision;
    }
    decision.occupancy = compared_occupancy(what, options_.estimate_error);
    decision.threshold = options_.least_urgent_occupancy;
    if (!what.upstream_full && decision.occupancy < decision.threshold)
    {
        decision.reason = shedding_reason::no_overload;
        return decision;
    }
    bool const misses_target = what.latency_target > duration::zero() &&
                               now > what.received + what.latency_target;
    std::size_t const position = std::min(
        position_of(now, what) + (misses_target ? 1 : 0), least_urgent());
    decision.threshold = threshold_of(position, what.id);
    if (now + what.predicted >= what.deadline)
    {
        decision.action = shedding_action::reject;
        decision.reason = shedding_reason::past_deadline;
        decision.retry_after = retry_after(now, what);
        return decision;
    }
    // Delaying the most urgent rank helps to meet its target, but only a full
    // upstream is a reason to reject it.
    bool const is_first = what.rank == ranks_.front();
    bool const first_was_held =
        is_first && what.held_since && now >= what.held_until;
    bool const unbounded =
        position == 0 && !limit_ &&
        options_.target_share >= target_use_ * options_.assumed_limit;
    bool const upstream_full =
        what.upstream_full || (limit_ && what.upstream_occupancy >= *limit_);
    bool const has_room =
        decision.occupancy < decision.threshold || unbounded || first_was_held;
    if (!upstream_full && has_room)
    {
        return decision;
    }
    decision.reason = upstream_full ? shedding_reason::upstream_full
                                    : shedding_reason::no_room;
    decision.held_until =
        what.held_since ? what.held_until : now + hold_time(now, what);
    decision.action = now < decision.held_until ? shedding_action::hold
                                                : shedding_action::reject;
    if (decision.action == shedding_action::reject)
    {
        decision.retry_after = retry_after(now, what);
    }
    return decision;
}

duration load_shedding::retry_after(time_point now,
                                    shedding_question const& what) const
{
    std::size_t const ranks = std::max<std::size_t>(ranks_.size(), 1);
    shedding_question as_new = what;
    as_new.held_since.reset(); // a caller that comes back has not aged
    std::size_t const position = position_of(now, as_new);
    double const occupancy =
        what.upstream_full
            ? std::max(what.service_occupancy.value_or(0), limit())
            : what.service_occupancy.value_or(limit());
    double const excess = occupancy - rank_threshold(position);
    double const slot_seconds = seconds_of(what.slot_time > duration::zero()
                                               ? what.slot_time
                                               : options_.assumed_slot_time);
    double const falls = falls_per_second_ > least_fall_per_second
                             ? falls_per_second_
                             : 1 / slot_seconds;
    // Room for one request at least: a slot of many becomes free.
    duration const until_room = std::max(
        from_seconds(std::max(excess, 0.0) / falls), options_.min_retry_after);
    double const spread = 1 + retry_spread * fraction_of(what.id, retry_seed);
    duration const left = what.deadline - now;
    // Callers ignore what is beyond the part of their time that is useful, so
    // it is given only if they would come back for nothing otherwise.
    bool const has_chance = until_room + what.predicted < left;
    double const useful =
        seconds_of(left / useful_wait_divisor) / (1 + retry_spread);
    double base = seconds_of(until_room);
    if (has_chance && base > useful)
    {
        // The least urgent rank comes back last.
        base = useful * static_cast<double>(ranks + position) /
               static_cast<double>(2 * ranks - 1);
    }
    return from_seconds(base * spread);
}

} // namespace amarantharch
