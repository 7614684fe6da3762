#pragma once

#include "base/time.h"
#include <algorithm>
#include <cstdint>
#include <limits>

namespace briarwharf {

// The form in which a time is sent to other instances, whose clocks have another origin.
inline std::uint32_t ageMilliseconds(MonotonicTime at, MonotonicTime now)
{
    constexpr std::int64_t oldest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(toMilliseconds(now - at).count(), 0, oldest));
}

} // namespace briarwharf
