#include "coordination/limitallowance.h"

#include "base/hash.h"
#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // The bound on a stated limit that the sum over all instances keeps to.
    constexpr LimitBound statedBound;
    constexpr double boundWindow = 4; // seconds; that of the bound

    // Share of a limit that the instances use at most.
    constexpr double maxUsedShare = 0.95;
    // The mean number of requests in a window is this many standard deviations below the bound.
    constexpr double boundDeviations = 5;

    // Time until a change of an instance's demand is part of the totals of the others.
    constexpr Milliseconds passOnTime { 1000 };
    // The demand of an instance is known from few requests. As many as this are added to those in its window.
    constexpr double priorRequests = 1;
    constexpr double demandWindow = 4; // seconds

    // Size of a bucket, as time at its rate, beyond one request.
    constexpr double bucketTime = 2; // seconds

    // Requests of all instances in a span if each of them knows nothing of the others.
    constexpr double aloneFactor = 0.25; // of those that the limit allows
    constexpr double aloneExtra = 0.5;

    constexpr Milliseconds maxRetryAfter { 60000 };

    // Share of a bound that instances without messages use. For some seconds after an instance has joined or
    // was removed, the others may disagree on its rank.
    constexpr double aloneUsedShare = 0.9;
    // Requests that are sent further apart than the window may arrive within it. This is the window, as a
    // multiple of its length, in which an instance keeps to its part.
    constexpr double arrivalScatter = 1.25;
    // A bucket holds less than one request more than this, so that it never passes on another one.
    constexpr double partOfNextRequest = 0.99;

    double boundOf(double limit) { return statedBound.requests(limit); }

    // Requests that all buckets together may hold.
    double bucketSum(double limit) { return boundOf(limit) - maxUsedShare * limit * boundWindow; }

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    bool hasOwnBuckets(double limit, std::size_t instances)
    {
        return bucketSum(limit) >= static_cast<double>(instances);
    }

} // namespace

double LimitBound::windowSeconds() const { return seconds(window); }

LimitAllowance::LimitAllowance(std::uint64_t phase)
    : m_phase(phase)
    , m_credit(unitInterval(phase))
{
}

// The number of requests that independent instances send in a window has a variance of its mean.
double LimitAllowance::usableRate(double limit, std::size_t instances)
{
    if (limit <= 0)
        return 0;
    if (hasOwnBuckets(limit, instances))
        return maxUsedShare * limit;
    double root = (std::sqrt(boundDeviations * boundDeviations + 4 * boundOf(limit)) - boundDeviations) / 2;
    return std::min(root * root / boundWindow, maxUsedShare * limit);
}

// The lowest recent demand of this instance: all that the totals of the others contain of it at least.
double LimitAllowance::passedOnDemand(double own, MonotonicTime now)
{
    m_samples.push_back({ now, own });
    while (m_samples.front().at < now - passOnTime)
        m_samples.pop_front();
    return std::min_element(m_samples.begin(), m_samples.end(),
        [](const DemandSample& left, const DemandSample& right) { return left.demand < right.demand; })
        ->demand;
}

void LimitAllowance::update(double limit, const LimitedDemand& demand, MonotonicTime now)
{
    auto instances = static_cast<double>(demand.instances);
    double coveredShare = std::min(1.0, static_cast<double>(demand.covered) / instances);
    double rate = usableRate(limit, demand.instances) * coveredShare;
    double total = std::max(demand.total, demand.own) * std::max(1.0, demand.surge);
    m_ratio = total > rate ? rate / total : 1;
    m_ownBucket = hasOwnBuckets(limit, demand.instances);
    m_alone = demand.covered <= 1 && demand.instances > 1;
    m_openShare = std::min(1.0, (aloneFactor * limit * boundWindow + aloneExtra) / instances);
    updateBucket(limit, demand, now);
}

void LimitAllowance::updateBucket(double limit, const LimitedDemand& demand, MonotonicTime now)
{
    auto instances = static_cast<double>(demand.instances);
    auto covered = std::min(static_cast<double>(demand.covered), instances);
    double share = 1;
    if (m_ownBucket) {
        double passedOn = passedOnDemand(demand.own, now);
        double others = std::max(demand.total - demand.own, 0.0);
        share = (passedOn * demandWindow + priorRequests)
            / ((std::max(passedOn, demand.own) + others) * demandWindow + priorRequests * covered) * covered
            / instances;
    }
    m_rate = usableRate(limit, demand.instances) * share;
    m_size = 1 + bucketTime * m_rate;
    if (m_ownBucket)
        m_size = std::min(m_size, 1 + (bucketSum(limit) - instances) * share);
    refill(now);
}

void LimitAllowance::refill(MonotonicTime now)
{
    double elapsed = m_updated == MonotonicTime {} ? 0 : seconds(now - m_updated);
    m_updated = now;
    m_tokens = std::min(m_tokens + m_rate * elapsed, m_size);
}

void LimitAllowance::updateAlone(
    double limit, const LimitBound& bound, const InstanceRank& place, MonotonicTime now)
{
    double usable = std::floor(aloneUsedShare * bound.requests(limit));
    double participants = std::min(usable, static_cast<double>(place.instances));
    bool isFirstUpdate = m_updated == MonotonicTime {};
    m_ownBucket = true;
    m_rate = m_size = 0;
    if (static_cast<double>(place.rank) < participants) {
        // A bucket passes on at most its size and what flows in during the window.
        double perWindow = std::floor(usable / participants) + partOfNextRequest;
        double window = arrivalScatter * bound.windowSeconds();
        m_size = std::max(1.0, perWindow - limit / participants * window);
        m_rate = std::min(limit / participants, (perWindow - m_size) / window);
    }
    refill(now);
    if (isFirstUpdate)
        m_tokens = m_size;
}

bool LimitAllowance::takeFromBucket()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool LimitAllowance::takeAlone(MonotonicTime now)
{
    double position = seconds(now.time_since_epoch()) / boundWindow + unitInterval(m_phase);
    auto span = static_cast<std::int64_t>(position);
    bool isOpen = unitInterval(combineHashes(m_phase, static_cast<std::uint64_t>(span))) < m_openShare;
    if (!isOpen || span == m_lastOpenSpan)
        return false;
    m_lastOpenSpan = span;
    return true;
}

bool LimitAllowance::take(MonotonicTime now)
{
    if (m_ownBucket)
        return takeFromBucket();
    if (m_alone)
        return takeAlone(now);
    m_credit += m_ratio;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return takeFromBucket();
}

Milliseconds LimitAllowance::retryAfter() const
{
    double missing = std::max(0.0, 1 - m_tokens);
    double wait = m_rate > 0 ? missing / m_rate : seconds(maxRetryAfter);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(wait, seconds(maxRetryAfter)) * 1000)));
}

} // namespace briarwharf
