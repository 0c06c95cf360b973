#include "core/concurrency_limit.hpp"

#include <algorithm>

namespace amarantharch
{

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_(options), limit_(options.initial)
{
}

void concurrency_limit::on_sample(time_point now, time_point started, bool late,
                                  std::uint32_t in_flight)
{
    if (started < shrunk_at_)
    {
        return;
    }
    ++samples_;
    late_samples_ += late ? 1 : 0;
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
    // A window ends early once it is certain to miss the target.
    bool const missed =
        late_samples_ > options_.late_share * options_.window_samples;
    if (samples_ >= options_.window_samples || missed)
    {
        close_window(now);
    }
}

void concurrency_limit::set_options(concurrency_limit_options options)
{
    // A limit at its ceiling moves with the ceiling.
    bool const at_ceiling = limit() >= options_.ceiling;
    options_ = options;
    limit_ = at_ceiling
                 ? options_.ceiling
                 : std::clamp<double>(limit_, options_.floor, options_.ceiling);
}

std::uint32_t concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(limit_);
}

void concurrency_limit::close_window(time_point now)
{
    if (late_samples_ > options_.late_share * options_.window_samples)
    {
        limit_ *= options_.shrink_factor;
        shrunk_at_ = now;
    }
    else if (peak_in_flight_ >= limit_ * options_.used_share)
    {
        limit_ += std::max(1.0, limit_ * options_.growth_share);
    }
    limit_ = std::clamp(limit_, static_cast<double>(options_.floor),
                        static_cast<double>(options_.ceiling));
    samples_ = 0;
    late_samples_ = 0;
    peak_in_flight_ = 0;
}

} // namespace amarantharch
