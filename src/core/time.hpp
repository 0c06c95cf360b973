// Time types of the core. Its code reads no clock: callers pass the time in.
#ifndef AMARANTHARCH_CORE_TIME_HPP
#define AMARANTHARCH_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace amarantharch
{

using duration = std::chrono::microseconds;

// A point in time in microseconds since the Unix epoch.
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>;

// The time point that lies `micros` microseconds after the Unix epoch.
constexpr time_point from_micros(std::int64_t micros)
{
    return time_point(duration(micros));
}

constexpr std::int64_t to_micros(time_point t)
{
    return t.time_since_epoch().count();
}

constexpr std::int64_t to_millis(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace amarantharch

#endif
