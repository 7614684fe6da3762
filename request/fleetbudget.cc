#include "request/fleetbudget.h"

#include "base/hash.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr Milliseconds bucketLength { 500 };

    // A lower number of instances takes effect only after this time without an update with the higher one.
    constexpr std::chrono::seconds shrinkDelay { 20 };

    // Used while no peer is known, because the fleet may have its usual size then.
    constexpr std::size_t assumedInstances = 12;

} // namespace

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings settings)
    : m_settings(settings)
{
}

void FleetRetryBudget::setInstances(std::size_t instances, MonotonicTime now)
{
    if (instances >= m_instances || now - m_instancesUpdated > shrinkDelay) {
        m_instances = instances;
        m_instancesUpdated = now;
    }
}

void FleetRetryBudget::requestStarted(std::string_view pool, MonotonicTime now)
{
    Counts& counts = countsAt(pool, now);
    ++counts.requests[static_cast<std::size_t>(counts.newestBucket) % bucketCount];
}

bool FleetRetryBudget::allowsRepeat(std::string_view pool, MonotonicTime now)
{
    const Counts& counts = countsAt(pool, now);
    // Counts requests only as far back as they are certainly within the window, and repeats as far back as
    // they may be within the window.
    constexpr auto maxLength = static_cast<std::int64_t>(bucketCount) - 1;
    std::int64_t length = std::clamp<std::int64_t>(
        (m_settings.window + bucketLength - Milliseconds(1)) / bucketLength, 1, maxLength);
    int requests = sumOfNewest(counts.requests, counts.newestBucket, length);
    int repeats = sumOfNewest(counts.repeats, counts.newestBucket, length + 1);
    auto instances = static_cast<double>(m_instances > 1 ? m_instances : assumedInstances);
    double slack = m_settings.usedShare * m_settings.slack / instances;
    if (instances <= m_settings.slack) // a whole repeat for each instance is within the slack
        slack = std::max(1.0, slack);
    double allowed = m_settings.usedShare * m_settings.ratio * requests + slack;
    if (allowed < 1 && m_settings.fractionSeed != 0 && allowsFraction(pool, allowed, now))
        allowed = 1;
    return repeats + 1 <= allowed;
}

// Any window overlaps two of the fixed windows that are drawn here, so each counts half.
bool FleetRetryBudget::allowsFraction(std::string_view pool, double allowed, MonotonicTime now) const
{
    constexpr double fixedWindows = 2;
    Milliseconds length = std::max(m_settings.window, bucketLength);
    auto window = static_cast<std::uint64_t>(now.time_since_epoch() / length);
    std::uint64_t draw = combineHashes(hash64(pool, m_settings.fractionSeed), window);
    return unitInterval(draw) < allowed / fixedWindows;
}

void FleetRetryBudget::repeatSent(std::string_view pool, MonotonicTime now)
{
    Counts& counts = countsAt(pool, now);
    ++counts.repeats[static_cast<std::size_t>(counts.newestBucket) % bucketCount];
}

int FleetRetryBudget::sumOfNewest(const Buckets& values, std::int64_t newestBucket, std::int64_t count)
{
    int sum = 0;
    for (std::int64_t bucket = std::max<std::int64_t>(0, newestBucket - count + 1); bucket <= newestBucket;
         ++bucket)
        sum += values[static_cast<std::size_t>(bucket) % bucketCount];
    return sum;
}

std::int64_t FleetRetryBudget::bucketOf(MonotonicTime now) { return now.time_since_epoch() / bucketLength; }

FleetRetryBudget::Counts& FleetRetryBudget::countsAt(std::string_view pool, MonotonicTime now)
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        found = m_pools.emplace(pool, Counts {}).first;
    Counts& counts = found->second;
    std::int64_t bucket = bucketOf(now);
    std::int64_t first
        = std::max(counts.newestBucket + 1, bucket - static_cast<std::int64_t>(bucketCount) + 1);
    for (std::int64_t passed = first; passed <= bucket; ++passed) {
        counts.requests[static_cast<std::size_t>(passed) % bucketCount] = 0;
        counts.repeats[static_cast<std::size_t>(passed) % bucketCount] = 0;
    }
    counts.newestBucket = std::max(counts.newestBucket, bucket);
    return counts;
}

} // namespace briarwharf
