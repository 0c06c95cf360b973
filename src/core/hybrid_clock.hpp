// A hybrid logical clock: timestamps that respect causality between processes
// and stay close to physical time.
//
// Each local event and each received timestamp advances the clock to the
// greatest of the present time, its own last value and the received one; the
// logical part breaks ties. So if event a can have caused event b, a's
// timestamp is the smaller, whatever the skew between the processes' clocks,
// as long as the skew is below `max_clock_skew`. Constant time and memory.
#ifndef AMARANTHARCH_CORE_HYBRID_CLOCK_HPP
#define AMARANTHARCH_CORE_HYBRID_CLOCK_HPP

#include "core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace amarantharch
{

struct hybrid_time
{
    std::int64_t physical_us = 0;
    std::uint32_t logical = 0;
    bool operator==(hybrid_time const&) const = default;
};

constexpr bool operator<(hybrid_time a, hybrid_time b)
{
    return a.physical_us != b.physical_us ? a.physical_us < b.physical_us
                                          : a.logical < b.logical;
}

// Received timestamps further ahead than this are ignored, so that one broken
// clock cannot advance the clocks of all processes.
inline constexpr duration max_clock_skew = std::chrono::minutes(1);

class hybrid_clock
{
public:
    // The timestamp of a local event, or of a message about to be sent.
    hybrid_time tick(time_point now)
    {
        advance(now, {});
        return last_;
    }

    // Advances past the timestamp of a received message. Returns false if the
    // timestamp was ignored.
    bool observe(time_point now, hybrid_time received)
    {
        bool const plausible =
            received.physical_us <= to_micros(now + max_clock_skew);
        advance(now, plausible ? received : hybrid_time{});
        return plausible;
    }

    hybrid_time last() const
    {
        return last_;
    }

private:
    void advance(time_point now, hybrid_time received)
    {
        hybrid_time const before = std::max(last_, received);
        last_ = to_micros(now) > before.physical_us
                    ? hybrid_time{to_micros(now), 0}
                    : hybrid_time{before.physical_us, before.logical + 1};
    }

    hybrid_time last_; // greater than every timestamp returned or accepted
};

} // namespace amarantharch

#endif
