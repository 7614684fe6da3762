#pragma once

#include "base/time.h"
#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace briarwharf {

// Distribution of the times to the first byte of one route at one pool: a histogram whose bucket bounds grow
// by a tenth, from 1 ms to 84 s. Older observations count less: half after a minute. An instance sees a few
// requests of a route each second, so that a shorter memory would not hold enough of them.
class FirstByteTimes {
public:
    // Times that were still waiting when the attempt was given up are observed as well: without them, the
    // longest times would be missing.
    void observe(std::chrono::nanoseconds waited, MonotonicTime now);

    // Upper bound of the bucket that contains the quantile (0 to 1). Empty while there are too few
    // observations for at least one of them to lie above it.
    std::optional<Milliseconds> quantile(double, MonotonicTime now);

    MonotonicTime lastObserved() const { return m_lastObserved; }

private:
    static constexpr std::size_t bucketCount = 120;

    void decay(MonotonicTime now);

    std::array<float, bucketCount> m_buckets {};
    MonotonicTime m_decayedAt;
    MonotonicTime m_lastObserved;
};

// The distributions of all routes and pools that were used recently. Their number is limited; beyond the
// limit nothing is known of a route, which makes callers of this class more careful.
class RouteFirstByteTimes {
public:
    void observe(
        std::string_view route, std::string_view pool, std::chrono::nanoseconds waited, MonotonicTime now);
    std::optional<Milliseconds> quantile(
        std::string_view route, std::string_view pool, double quantile, MonotonicTime now);
    std::size_t size() const { return m_times.size(); }

private:
    using Key = std::pair<std::string, std::string>; // route and pool

    std::map<Key, FirstByteTimes> m_times;
};

} // namespace briarwharf
