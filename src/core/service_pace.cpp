#include "core/service_pace.hpp"

#include <algorithm>
#include <cmath>

namespace amarantharch
{

namespace
{

// Step of a median, as a part of its value: of the first sample, and the least.
constexpr double first_step = 0.3;
constexpr double least_step = 0.02;

// Bound of a median, as a multiple of the guess.
constexpr double most_ratio = 20;

// Weight of the newest prompt in the mean.
constexpr double mean_gain = 0.02;

} // namespace

void followed_median::add(double sample)
{
    if (!std::isfinite(sample) || sample <= 0)
    {
        return;
    }
    samples_ += 1;
    double const step = std::max(first_step / std::sqrt(samples_), least_step);
    value_ *= sample > value_ ? 1 + step : 1 / (1 + step);
    value_ = std::clamp(value_, guess_ / most_ratio, guess_ * most_ratio);
}

void service_pace::on_prompt(double tokens)
{
    prompt_ += mean_gain * (tokens - prompt_);
}

} // namespace amarantharch
