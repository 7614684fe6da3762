#include "request/fleetbudget.h"

#include <algorithm>

namespace briarwharf {

namespace {

    constexpr Milliseconds bucketLength { 500 };

    // A smaller fleet is believed after this time without a sign of the larger one.
    constexpr std::chrono::seconds shrinkDelay { 20 };

    // Before any peer has been heard, the fleet may be of the usual size.
    constexpr std::size_t assumedInstances = 12;

} // namespace

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings settings)
    : m_settings(settings)
{
}

void FleetRetryBudget::setInstances(std::size_t instances, MonotonicTime now)
{
    if (instances >= m_instances || now - m_instancesAt > shrinkDelay) {
        m_instances = instances;
        m_instancesAt = now;
    }
}

void FleetRetryBudget::requestStarted(std::string_view pool, MonotonicTime now)
{
    Counts& counts = at(pool, now);
    ++counts.requests[static_cast<std::size_t>(counts.newest) % buckets];
}

bool FleetRetryBudget::allowsRepeat(std::string_view pool, MonotonicTime now)
{
    const Counts& counts = at(pool, now);
    // Requests only as far back as they are surely within the window, repeats as far as they may be.
    constexpr auto longest = static_cast<std::int64_t>(buckets) - 1;
    std::int64_t length = std::clamp<std::int64_t>(
        (m_settings.window + bucketLength - Milliseconds(1)) / bucketLength, 1, longest);
    int requests = sumOfNewest(counts.requests, counts.newest, length);
    int repeats = sumOfNewest(counts.repeats, counts.newest, length + 1);
    auto instances = static_cast<double>(m_instances > 1 ? m_instances : assumedInstances);
    double slack = std::max(1.0, m_settings.used * m_settings.slack / instances);
    return repeats + 1 <= m_settings.used * m_settings.ratio * requests + slack;
}

void FleetRetryBudget::repeatSent(std::string_view pool, MonotonicTime now)
{
    Counts& counts = at(pool, now);
    ++counts.repeats[static_cast<std::size_t>(counts.newest) % buckets];
}

int FleetRetryBudget::sumOfNewest(const Buckets& values, std::int64_t newest, std::int64_t count)
{
    int sum = 0;
    for (std::int64_t bucket = std::max<std::int64_t>(0, newest - count + 1); bucket <= newest; ++bucket)
        sum += values[static_cast<std::size_t>(bucket) % buckets];
    return sum;
}

std::int64_t FleetRetryBudget::bucketOf(MonotonicTime now) { return now.time_since_epoch() / bucketLength; }

FleetRetryBudget::Counts& FleetRetryBudget::at(std::string_view pool, MonotonicTime now)
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        found = m_pools.emplace(pool, Counts {}).first;
    Counts& counts = found->second;
    std::int64_t bucket = bucketOf(now);
    std::int64_t first = std::max(counts.newest + 1, bucket - static_cast<std::int64_t>(buckets) + 1);
    for (std::int64_t passed = first; passed <= bucket; ++passed) {
        counts.requests[static_cast<std::size_t>(passed) % buckets] = 0;
        counts.repeats[static_cast<std::size_t>(passed) % buckets] = 0;
    }
    counts.newest = std::max(counts.newest, bucket);
    return counts;
}

} // namespace briarwharf
