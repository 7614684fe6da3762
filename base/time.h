#pragma once

#include <chrono>
#include <cstdint>

namespace briarwharf {

// For intervals, timeouts and leases. Never goes backwards; values have no meaning outside the process.
using MonotonicTime = std::chrono::steady_clock::time_point;

// For schedules and values sent to other instances, whose clocks may differ by seconds.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

// The current time, for code that runs on an event loop. Code that makes decisions takes the time as an
// argument instead.
inline MonotonicTime clockNow() { return std::chrono::steady_clock::now(); }

// Milliseconds with a fraction, for logs and forecasts.
inline double fractionalMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline Milliseconds toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

// Milliseconds since the Unix epoch, the form in which wall time is sent to other instances.
inline std::int64_t unixMilliseconds(WallTime time)
{
    return toMilliseconds(time.time_since_epoch()).count();
}

inline WallTime fromUnixMilliseconds(std::int64_t milliseconds)
{
    return WallTime(Milliseconds(milliseconds));
}

} // namespace briarwharf
