// The member functions of UpstreamLimits for upstreams that are cold.

#include "base/hash.h"
#include "coordination/upstreamlimits.h"
#include <algorithm>

namespace briarwharf {

namespace {

    // The allowance of an upstream is kept for this long after it was cold last, so that one which becomes
    // cold again soon gets no second first request from each instance.
    constexpr Milliseconds coldRetention { 10000 };

    // A limit that no demand reaches is none.
    constexpr double maxColdLimit = 1e6;

} // namespace

void UpstreamLimits::setCold(const ColdUpstream& cold, MonotonicTime now)
{
    bool isLimited = cold.perSecond > 0 && cold.perSecond <= maxColdLimit;
    auto known = m_cold.find(cold.upstream);
    if (!isLimited || (cold.until <= now && known == m_cold.end())) {
        if (known != m_cold.end())
            known->second.until = std::min(known->second.until, now);
        return;
    }
    if (known == m_cold.end()) {
        ColdLimit added { 0, {}, placeFor(cold.upstream), LimitAllowance(cold.upstream) };
        known = m_cold.emplace(cold.upstream, std::move(added)).first;
    }
    known->second.perSecond = cold.perSecond;
    known->second.until = cold.until;
    updateCold(known->second, now);
}

UpstreamLimits::ColdLimit* UpstreamLimits::coldLimit(std::uint32_t upstream, MonotonicTime now)
{
    auto found = m_cold.find(upstream);
    return found == m_cold.end() || now >= found->second.until ? nullptr : &found->second;
}

const UpstreamLimits::ColdLimit* UpstreamLimits::coldLimit(std::uint32_t upstream, MonotonicTime now) const
{
    auto found = m_cold.find(upstream);
    return found == m_cold.end() || now >= found->second.until ? nullptr : &found->second;
}

bool UpstreamLimits::isCold(std::uint32_t upstream, MonotonicTime now) const
{
    return coldLimit(upstream, now) != nullptr;
}

Milliseconds UpstreamLimits::coldTimeLeft(std::uint32_t upstream, MonotonicTime now) const
{
    const ColdLimit* cold = coldLimit(upstream, now);
    return cold ? std::max(Milliseconds(1), toMilliseconds(cold->until - now)) : Milliseconds(0);
}

std::size_t UpstreamLimits::coldUpstreams(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_cold.begin(), m_cold.end(), [now](const auto& entry) { return now < entry.second.until; }));
}

bool UpstreamLimits::isWithinColdLimit(std::uint32_t upstream, MonotonicTime now) const
{
    const ColdLimit* cold = coldLimit(upstream, now);
    return !cold || cold->allowance.isReady();
}

void UpstreamLimits::setColdBound(double factor, double extra)
{
    m_options.coldBound.factor = factor;
    m_options.coldBound.extra = extra;
}

void UpstreamLimits::tickCold(MonotonicTime now)
{
    watchInstances(now);
    std::erase_if(m_cold, [now](const auto& entry) { return now >= entry.second.until + coldRetention; });
    if (m_cold.empty())
        return;
    std::uint64_t digest = m_membership.expectedDigest();
    bool hasChanged = std::exchange(m_placedDigest, digest) != digest;
    for (auto& [upstream, cold] : m_cold) {
        if (hasChanged)
            cold.place = placeFor(upstream);
        updateCold(cold, now);
    }
}

void UpstreamLimits::watchInstances(MonotonicTime now)
{
    if (m_firstTick == MonotonicTime {})
        m_firstTick = now;
    std::size_t instances = m_membership.expectedInstances();
    if (instances > m_knownInstances)
        m_lastGrowth = now;
    m_knownInstances = instances;
}

// Whether this instance can be expected to know all others.
bool UpstreamLimits::hasSettled(MonotonicTime now) const
{
    if (m_firstTick == MonotonicTime {})
        return false;
    return now - m_firstTick >= m_options.startPeriod || now - m_lastGrowth >= m_options.settleTime;
}

void UpstreamLimits::updateCold(ColdLimit& cold, MonotonicTime now) const
{
    InstanceRank place = cold.place;
    if (!hasSettled(now))
        place.rank = place.instances; // behind all others
    cold.allowance.updateAlone(cold.perSecond, m_options.coldBound, place, now);
}

// By a hash that differs between upstreams, so that each instance is among the first for some of them.
// Instances that cannot be reached keep their places.
InstanceRank UpstreamLimits::placeFor(std::uint32_t upstream) const
{
    std::uint64_t own = combineHashes(upstream, m_membership.selfHash());
    InstanceRank place;
    for (const std::string& peer : m_membership.expectedPeers()) {
        ++place.instances;
        if (combineHashes(upstream, m_membership.members().find(peer)->second.hash) < own)
            ++place.rank;
    }
    return place;
}

} // namespace briarwharf
