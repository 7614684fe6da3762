#include "coordination/poolcapacity.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // Occupancy up to which few requests wait for a slot, whatever the scatter of the arrivals.
    constexpr double calmOccupancy = 0.75;
    // Occupancy from which requests wait at all upstreams.
    constexpr double fullOccupancy = 1.25;
    // While requests are refused, the slots are used at least to this share.
    constexpr double wantedOccupancy = 0.85;

    // Time constants in seconds.
    constexpr double occupancyTime = 0.5;
    constexpr double fullTime = 2; // as long as the demand is averaged
    constexpr double recoveryTime = 10;

    // Growth of the factor per second while slots are free although requests are refused.
    constexpr double growth = 0.1;
    constexpr double minFactor = 0.25;
    constexpr double maxFactor = 16; // upstreams that state fewer slots than they have
    // A pool that serves more than estimated, with requests waiting, may serve this much more.
    constexpr double servedMargin = 1.1;

    constexpr Milliseconds holdingInterval { 1000 };
    constexpr std::size_t holdingCount = 30;

    double smoothing(double elapsed, double timeConstant) { return 1 - std::exp(-elapsed / timeConstant); }

} // namespace

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
    double occupancy = m_places > 0 ? m_inProgress / m_places : 0;
    m_occupancy += (occupancy - m_occupancy) * smoothing(elapsed, occupancyTime);
    if (isCalm() && observed.meanHolding > 0)
        recordHolding(observed.meanHolding, now);
    double nominal = holdingSeconds() > 0 ? m_places / holdingSeconds() : 0;
    if (nominal > 0) {
        correct(observed, nominal, elapsed);
        m_perSecond = nominal * m_factor;
    } else {
        bool isFull = observed.complete && m_occupancy > fullOccupancy;
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

void PoolCapacity::correct(const PoolObservation& observed, double nominal, double elapsed)
{
    if (!observed.complete)
        return;
    if (m_occupancy > fullOccupancy && observed.servedPerSecond > 0) {
        double target = observed.servedPerSecond / nominal;
        target *= target > 1 ? servedMargin : 1;
        m_factor += (target - m_factor) * smoothing(elapsed, fullTime);
    } else if (observed.scarce && m_occupancy < wantedOccupancy) {
        m_factor += growth * elapsed;
    } else if (!observed.scarce) {
        m_factor += (1 - m_factor) * smoothing(elapsed, recoveryTime);
    }
    m_factor = std::clamp(m_factor, minFactor, maxFactor);
}

double PoolCapacity::holdingSeconds() const
{
    return m_holdings.empty() ? 0 : *std::min_element(m_holdings.begin(), m_holdings.end());
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
