// Estimates the work time of upstreams relative to the usual time of their
// service: 1 as usual, 2 twice as long.
//
// Each upstream has a lasting factor, which is its mean over about 20 s, and a
// momentary one, for work that starts now.
//
// The lasting factor is a weighted mean of the work times that the upstream
// states and of those observed in its answers. A sample weighs as much as the
// time since the sample before it, at most one slow moment. So the many samples
// of one moment count no more than that moment, and one sample moves a new
// estimate by at most half of its distance. Samples and factors are clamped to
// [min_work_factor, max_work_factor]. An estimate that gets no samples returns
// to 1, so that an upstream that looked slow is tried again.
//
// The momentary factor is the newest stated value, discounted by its age: the
// difference to the lasting factor decays with the length of a slow moment.
// Without a new value it becomes the lasting factor.
//
// All inputs are advisory: a repeated or reordered one is ignored, a lost one
// leaves an older estimate. Unknown upstreams count as usual.
//
// Cost: O(1) for each function; about 60 bytes for each upstream.
#ifndef AMARANTHARCH_CORE_UPSTREAM_SPEED_HPP
#define AMARANTHARCH_CORE_UPSTREAM_SPEED_HPP

#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <optional>
#include <vector>

namespace amarantharch
{

// 5% and 20 times the usual work time.
inline constexpr double min_work_factor = 0.05;
inline constexpr double max_work_factor = 20;

struct upstream_speed_options
{
    // A slow moment of the upstreams that state their work time lasts about
    // 600 ms.
    duration moment = std::chrono::milliseconds(600);
    // Number of moments that the lasting factor is a mean of.
    double remembered_moments = 33;
    // Weight of an observed work time, while the upstream states its own.
    double observed_weight = 0.125;
    // Without a stated work time for so long, observed ones count fully.
    duration stated_lifetime = std::chrono::seconds(10);
    // Without any sample for so long, the lasting factor begins to return to
    // 1, and has come half way after the second time.
    duration sample_lifetime = std::chrono::seconds(30);
    duration return_half_time = std::chrono::seconds(30);
};

class upstream_speed
{
public:
    explicit upstream_speed(upstream_speed_options options = {})
        : options_(options)
    {
    }

    // The upstream has stated its work time. Ignored if it is not newer than
    // what it stated last.
    void on_stated(upstream_index upstream, stated_work const& work);

    // An answer took `factor` times as long as it usually does. Ignored if it
    // is not a positive finite number.
    void on_observed(time_point now, upstream_index upstream, double factor);

    // The upstream has been removed or has a new incarnation.
    void reset(upstream_index upstream);

    double lasting(time_point now, upstream_index upstream) const;
    double momentary(time_point now, upstream_index upstream) const;

    struct change
    {
        double before = 1;
        double after = 1;
    };

    // The change of the lasting factor since the last one that was returned, if
    // it is a quarter or more.
    std::optional<change> take_change(time_point now, upstream_index upstream);

private:
    struct row
    {
        double mean = 1;
        double weight = 1; // of the samples in `mean`; 1 stands for the guess
        time_point sampled_at;
        double newest = 1; // as stated
        time_point newest_at;
        bool is_sampled = false;
        bool is_stated = false;
        double reported = 1; // by take_change
    };

    void add_sample(time_point at, row& into, double factor, double weight);
    double mean_of(time_point now, row const& r) const;
    row& row_at(upstream_index upstream);
    row const* find(upstream_index upstream) const;

    upstream_speed_options options_;
    std::vector<row> rows_; // by upstream
};

} // namespace amarantharch

#endif
