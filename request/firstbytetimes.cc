#include "request/firstbytetimes.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    constexpr double bucketGrowth = 1.1;
    constexpr double firstBoundMs = 1;

    constexpr double halfLifeSeconds = 60;
    // The buckets are scaled at most this often.
    constexpr Milliseconds decayInterval { 1000 };

    constexpr double minObservations = 20;

    // At 0.5 KB each, 0.5 MB in all.
    constexpr std::size_t maxDistributions = 1024;
    // Without an observation for this long, 1 in 1000 of the weight is left.
    constexpr Milliseconds maxIdle { 600000 };

    double upperBoundMs(std::size_t bucket)
    {
        return firstBoundMs * std::pow(bucketGrowth, static_cast<double>(bucket));
    }

} // namespace

void FirstByteTimes::observe(std::chrono::nanoseconds waited, MonotonicTime now)
{
    decay(now);
    double ms = std::max(firstBoundMs, fractionalMilliseconds(waited));
    double bucket = std::ceil(std::log(ms / firstBoundMs) / std::log(bucketGrowth));
    ++m_buckets[std::min(bucketCount - 1, static_cast<std::size_t>(bucket))];
    m_lastObserved = now;
}

std::optional<Milliseconds> FirstByteTimes::quantile(double quantile, MonotonicTime now)
{
    decay(now);
    double total = 0;
    for (float count : m_buckets)
        total += count;
    // The sum of a few scaled numbers is compared with a whole one.
    constexpr double tolerance = 0.001;
    if (total + tolerance < minObservations || total * (1 - quantile) + tolerance < 1)
        return std::nullopt;
    double below = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        below += m_buckets[bucket];
        if (below >= quantile * total)
            return Milliseconds(static_cast<std::int64_t>(std::ceil(upperBoundMs(bucket))));
    }
    return std::nullopt;
}

void FirstByteTimes::decay(MonotonicTime now)
{
    if (now - m_decayedAt < decayInterval)
        return;
    double seconds = std::chrono::duration<double>(now - m_decayedAt).count();
    auto factor = static_cast<float>(std::exp2(-seconds / halfLifeSeconds));
    for (float& count : m_buckets)
        count *= factor;
    m_decayedAt = now;
}

void RouteFirstByteTimes::observe(
    std::string_view route, std::string_view pool, std::chrono::nanoseconds waited, MonotonicTime now)
{
    Key key { route, pool };
    auto found = m_times.find(key);
    if (found == m_times.end()) {
        if (m_times.size() >= maxDistributions)
            std::erase_if(
                m_times, [now](const auto& entry) { return now - entry.second.lastObserved() > maxIdle; });
        if (m_times.size() >= maxDistributions)
            return;
        found = m_times.emplace(std::move(key), FirstByteTimes {}).first;
    }
    found->second.observe(waited, now);
}

std::optional<Milliseconds> RouteFirstByteTimes::quantile(
    std::string_view route, std::string_view pool, double quantile, MonotonicTime now)
{
    auto found = m_times.find(Key { route, pool });
    if (found == m_times.end())
        return std::nullopt;
    return found->second.quantile(quantile, now);
}

} // namespace briarwharf
