#include "coordination/poolcapacity.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // Occupancy up to which few requests wait for a slot, whatever the scatter of the arrivals.
    constexpr double calmOccupancy = 0.75;
    // Bounds of the occupancy at which a pool is full. Requests are not spread evenly, so that some wait
    // while slots of other upstreams are free.
    constexpr double minFullOccupancy = 1.5;
    constexpr double maxFullOccupancy = 3;
    // A pool is full when the answers take this share of the target latency.
    constexpr double usedTargetShare = 0.5;
    // While requests are refused, the pool is used at least to this share of the occupancy at which it is
    // full.
    constexpr double wantedShare = 0.6;

    // Occupancy up to which nothing is refused. The counts of other instances are up to a second old, in
    // which half of the slots may become free.
    constexpr double refuseFrom = 0.8;

    // Time constants in seconds.
    constexpr double occupancyTime = 0.5;
    constexpr double fullTime = 2; // as long as the demand is averaged
    constexpr double recoveryTime = 10;
    constexpr double growthKeptTime = 60; // a pool that served more than estimated can do so again

    // Growth of the factor per second while slots are free although requests are refused.
    constexpr double growth = 0.15;
    constexpr double minFactor = 0.1;
    constexpr double maxFactor = 16; // upstreams that state fewer slots than they have
    // A pool that serves this multiple of the estimate has more slots than its upstreams state, so that
    // requests in progress do not show that it is full. It may serve somewhat more.
    constexpr double unstatedSlots = 2;
    constexpr double servedMargin = 1.1;

    constexpr Milliseconds holdingInterval { 1000 };
    constexpr std::size_t holdingCount = 30;

    // Relative change of the estimated quartile with each answer.
    constexpr double quartileStep = 0.1;
    constexpr double longestInQuartiles = 1.6;

    double smoothing(double elapsed, double timeConstant) { return 1 - std::exp(-elapsed / timeConstant); }

} // namespace

bool HoldingFilter::accepts(double seconds)
{
    if (m_quartile <= 0)
        m_quartile = seconds;
    m_quartile *= seconds < m_quartile ? 1 - 0.75 * quartileStep : 1 + 0.25 * quartileStep;
    return seconds <= longestInQuartiles * m_quartile;
}

void PoolCapacity::update(const PoolObservation& observed, MonotonicTime now)
{
    constexpr double longestStep = 1; // second; after a pause of this process
    double elapsed = m_updatedAt == MonotonicTime {}
        ? 0
        : std::min(std::chrono::duration<double>(now - m_updatedAt).count(), longestStep);
    m_updatedAt = now;
    m_places = observed.places;
    m_inProgress = observed.inProgress;
    m_scarce = observed.scarce;
    m_occupancy += (latestOccupancy() - m_occupancy) * smoothing(elapsed, occupancyTime);
    if (isCalm() && observed.meanHolding > 0)
        recordHolding(observed.meanHolding, now);
    double nominal = holdingSeconds() > 0 ? m_places / holdingSeconds() : 0;
    if (nominal > 0) {
        correct(observed, nominal, elapsed);
        m_perSecond = nominal * m_factor;
    } else {
        bool isFull = observed.complete && m_occupancy > fullOccupancy(observed.targetSeconds);
        m_perSecond = isFull ? observed.servedPerSecond : 0;
    }
}

bool PoolCapacity::isCalm() const { return !m_scarce && m_occupancy < calmOccupancy; }

void PoolCapacity::recordHolding(double meanHolding, MonotonicTime now)
{
    if (now - m_holdingRecordedAt < holdingInterval)
        return;
    m_holdingRecordedAt = now;
    m_holdings.push_back(meanHolding);
    if (m_holdings.size() > holdingCount)
        m_holdings.pop_front();
}

double PoolCapacity::fullOccupancy(double targetSeconds) const
{
    double holding = holdingSeconds();
    if (holding <= 0 || targetSeconds <= 0)
        return minFullOccupancy;
    return std::clamp(usedTargetShare * targetSeconds / holding, minFullOccupancy, maxFullOccupancy);
}

void PoolCapacity::correct(const PoolObservation& observed, double nominal, double elapsed)
{
    double full = fullOccupancy(observed.targetSeconds);
    m_fullOccupancy = full;
    m_wantedOccupancy = wantedShare * full;
    if (!observed.complete)
        return;
    if (m_occupancy > full && observed.servedPerSecond > 0) {
        double target = observed.servedPerSecond / nominal;
        target *= target > unstatedSlots ? servedMargin : 1;
        m_factor += (target - m_factor) * smoothing(elapsed, fullTime);
    } else if (observed.scarce && m_occupancy < m_wantedOccupancy) {
        m_factor += growth * elapsed;
    } else if (!observed.scarce) {
        m_factor += (1 - m_factor) * smoothing(elapsed, m_factor > 1 ? growthKeptTime : recoveryTime);
    }
    m_factor = std::clamp(m_factor, minFactor, maxFactor);
}

double PoolCapacity::holdingSeconds() const
{
    return m_holdings.empty() ? 0 : *std::min_element(m_holdings.begin(), m_holdings.end());
}

double PoolCapacity::refusedShare() const
{
    double wanted = std::max(m_wantedOccupancy, refuseFrom + 0.1);
    return std::clamp((latestOccupancy() - refuseFrom) / (wanted - refuseFrom), 0.0, 1.0);
}

// The counts of requests at other instances may be out of date, so the lower of the latest and the averaged
// count is used.
double PoolCapacity::expectedSeconds() const
{
    double waiting = std::min(m_inProgress, m_occupancy * m_places) - m_places;
    if (waiting <= 0 || m_perSecond <= 0)
        return 0;
    return waiting / m_perSecond + holdingSeconds();
}

} // namespace briarwharf
