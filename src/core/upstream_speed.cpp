#include "core/upstream_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace amarantharch
{

namespace
{

constexpr double percent = 100;
// Ratio of two lasting factors whose difference is reported.
constexpr double reported_ratio = 1.25;

double bounded(double factor)
{
    return std::clamp(factor, min_work_factor, max_work_factor);
}

double ratio_of(duration part, duration whole)
{
    return std::chrono::duration<double>(part) /
           std::chrono::duration<double>(whole);
}

} // namespace

void upstream_speed::on_stated(upstream_index upstream, stated_work const& work)
{
    if (work.newest_percent == 0 || work.mean_percent == 0)
    {
        return;
    }
    row& r = row_at(upstream);
    if (r.is_stated && work.measured_at <= r.newest_at)
    {
        return;
    }
    r.is_stated = true;
    r.newest = bounded(work.newest_percent / percent);
    r.newest_at = work.measured_at;
    add_sample(work.measured_at, r, bounded(work.mean_percent / percent), 1);
}

void upstream_speed::on_observed(time_point now, upstream_index upstream,
                                 double factor)
{
    if (!std::isfinite(factor) || factor <= 0)
    {
        return;
    }
    row& r = row_at(upstream);
    bool const is_stated =
        r.is_stated && now - r.newest_at < options_.stated_lifetime;
    add_sample(now, r, bounded(factor),
               is_stated ? options_.observed_weight : 1);
}

void upstream_speed::add_sample(time_point at, row& into, double factor,
                                double weight)
{
    double const moments =
        into.is_sampled
            ? std::clamp(ratio_of(at - into.sampled_at, options_.moment), 0.0,
                         1.0)
            : 1;
    double const added = moments * weight;
    into.mean = mean_of(at, into);
    into.weight = std::min(into.weight, options_.remembered_moments);
    into.mean += (factor - into.mean) * added / (into.weight + added);
    into.weight += added;
    into.sampled_at = into.is_sampled ? std::max(into.sampled_at, at) : at;
    into.is_sampled = true;
}

double upstream_speed::mean_of(time_point now, row const& r) const
{
    duration const silence = now - r.sampled_at;
    if (!r.is_sampled || silence <= options_.sample_lifetime)
    {
        return r.mean;
    }
    double const half_times =
        ratio_of(silence - options_.sample_lifetime, options_.return_half_time);
    return 1 + (r.mean - 1) * std::exp2(-half_times);
}

void upstream_speed::reset(upstream_index upstream)
{
    if (upstream < rows_.size())
    {
        rows_[upstream] = row();
    }
}

double upstream_speed::lasting(time_point now, upstream_index upstream) const
{
    row const* const r = find(upstream);
    return r == nullptr ? 1 : mean_of(now, *r);
}

double upstream_speed::momentary(time_point now, upstream_index upstream) const
{
    row const* const r = find(upstream);
    if (r == nullptr)
    {
        return 1;
    }
    double const mean = mean_of(now, *r);
    if (!r->is_stated)
    {
        return mean;
    }
    // A value from the future, after a message of a VM whose clock runs ahead,
    // counts as new.
    double const moments =
        std::max(ratio_of(now - r->newest_at, options_.moment), 0.0);
    return mean + (r->newest - mean) * std::exp(-moments);
}

std::optional<upstream_speed::change>
upstream_speed::take_change(time_point now, upstream_index upstream)
{
    if (find(upstream) == nullptr)
    {
        return std::nullopt;
    }
    row& r = rows_[upstream];
    double const mean = mean_of(now, r);
    if (std::max(mean, r.reported) / std::min(mean, r.reported) <
        reported_ratio)
    {
        return std::nullopt;
    }
    change const found{r.reported, mean};
    r.reported = mean;
    return found;
}

upstream_speed::row& upstream_speed::row_at(upstream_index upstream)
{
    if (upstream >= rows_.size())
    {
        rows_.resize(upstream + 1);
    }
    return rows_[upstream];
}

upstream_speed::row const* upstream_speed::find(upstream_index upstream) const
{
    return upstream < rows_.size() ? &rows_[upstream] : nullptr;
}

} // namespace amarantharch
