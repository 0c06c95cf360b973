// A limit on requests in flight that adapts to the measured latency.
//
// Additive increase, multiplicative decrease, by windows of samples. The limit
// shrinks after a window in which more than `late_share` of the samples missed
// the latency target, and grows after a window that met it while the limit was
// in use. After a shrink, samples of requests that had started before it are
// ignored, so that one congestion shrinks the limit only once.
// Cost: O(1) a sample, about 100 bytes.
#ifndef AMARANTHARCH_CORE_CONCURRENCY_LIMIT_HPP
#define AMARANTHARCH_CORE_CONCURRENCY_LIMIT_HPP

#include "core/time.hpp"

#include <cstdint>

namespace amarantharch
{

struct concurrency_limit_options
{
    std::uint32_t initial = 64;
    std::uint32_t floor = 4;
    std::uint32_t ceiling = 100'000;
    double late_share = 0.05;
    // The limit is in use, and may grow, from this share of it in flight.
    double used_share = 0.8;
    double shrink_factor = 0.85;
    double growth_share = 0.05; // of the limit, each window; at least 1
    std::uint32_t window_samples = 40;
};

class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options options);

    // A request that was sent at `started` got its first answer byte at `now`.
    // `late`: it missed the latency target of its class.
    void on_sample(time_point now, time_point started, bool late,
                   std::uint32_t in_flight);

    // Changes the options and clamps the limit to the new bounds.
    void set_options(concurrency_limit_options options);

    std::uint32_t limit() const;

private:
    void close_window(time_point now);

    concurrency_limit_options options_;
    double limit_;
    time_point shrunk_at_;
    std::uint32_t samples_ = 0;
    std::uint32_t late_samples_ = 0;
    std::uint32_t peak_in_flight_ = 0;
};

} // namespace amarantharch

#endif
