#include "coordination/upstreamlimits.h"

#include "base/hash.h"
#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // A stated limit of 0 requests per second would count as none.
    constexpr double minLimit = 0.01;

    // A limit that no demand reaches is none.
    constexpr double maxLimit = 1e6;

    // Demand is exchanged in whole units per second.
    constexpr double unitsPerRequest = 1000;

    // The subject whose demand is that of all upstreams with limits.
    constexpr std::uint32_t allUpstreams = 0xffffffff;

    RateShareOptions shareOptions(const UpstreamLimitsOptions& limits)
    {
        RateShareOptions options;
        options.requestTokens = unitsPerRequest;
        options.demandWindow = options.fastWindow = limits.demandWindow;
        options.coveredTtl = limits.newsTtl;
        return options;
    }

    // Whether the first one takes precedence over the second.
    bool isNewer(const UpstreamLimit& left, const UpstreamLimit& right)
    {
        if (left.version != right.version)
            return left.version > right.version;
        if (left.perSecond <= 0 || right.perSecond <= 0)
            return left.perSecond > right.perSecond;
        return left.perSecond < right.perSecond;
    }

} // namespace

UpstreamLimits::UpstreamLimits(const Membership& membership, UpstreamLimitsOptions options)
    : m_membership(membership)
    , m_options(options)
    , m_shares(membership, shareOptions(options))
{
}

bool UpstreamLimits::isSignificant(double before, double after) const
{
    if ((before > 0) != (after > 0))
        return true;
    return std::abs(after - before) > m_options.significantChange * before;
}

double UpstreamLimits::usableRate(std::uint32_t upstream) const
{
    return LimitAllowance::usableRate(limit(upstream), m_membership.expectedInstances());
}

void UpstreamLimits::stated(std::uint32_t upstream, std::optional<double> perSecond, MonotonicTime now)
{
    if (perSecond && !(*perSecond >= 0))
        return; // says nothing
    if (perSecond && *perSecond > maxLimit)
        perSecond.reset();
    auto known = m_limits.find(upstream);
    if (!perSecond && known == m_limits.end())
        return; // the usual case
    UpstreamLimit before = known == m_limits.end() ? UpstreamLimit { upstream } : known->second.limit;
    double after = perSecond ? static_cast<float>(std::max(*perSecond, minLimit)) : 0; // as peers get it
    bool isRaised = before.perSecond > 0 && (after <= 0 || after > before.perSecond);
    bool isChanged = isSignificant(before.perSecond, after);
    if (isChanged && isRaised && now - known->second.statedAt < m_options.raiseDelay)
        return;
    if (!isChanged) {
        known->second.statedAt = now;
        return;
    }
    change({ upstream, before.version + 1, after }, now);
    updateLimits(now);
}

// The peers are told only of the latest limit of an upstream.
void UpstreamLimits::change(const UpstreamLimit& limit, MonotonicTime now)
{
    m_limits[limit.upstream] = { limit, now };
    m_records.removeIf([&](const UpstreamLimit& older) { return older.upstream == limit.upstream; });
    m_records.add(limit);
}

void UpstreamLimits::updateLimits(MonotonicTime now)
{
    std::vector<RateLimit> limits;
    std::erase_if(m_allowances, [this](const auto& entry) { return limit(entry.first) <= 0; });
    for (const auto& [upstream, known] : m_limits) {
        if (known.limit.perSecond <= 0)
            continue;
        limits.push_back({ upstream, known.limit.perSecond * unitsPerRequest });
        m_allowances.try_emplace(upstream, combineHashes(upstream, m_membership.selfHash()));
    }
    double sum = 0;
    for (const RateLimit& limit : limits)
        sum += limit.tokensPerSecond;
    if (!limits.empty())
        limits.push_back({ allUpstreams, sum, 1, m_options.surgeWindow });
    m_shares.setLimits(limits, now);
}

void UpstreamLimits::tick(MonotonicTime now)
{
    m_shares.tick(now);
    LimitedDemand demand;
    demand.covered = m_shares.covered();
    demand.instances = std::max<std::size_t>(m_membership.expectedInstances(), 1);
    demand.surge = surge();
    for (auto& [upstream, allowance] : m_allowances) {
        demand.own = m_shares.ownDemand(upstream) / unitsPerRequest;
        demand.total = m_shares.totalDemand(upstream) / unitsPerRequest;
        allowance.update(limit(upstream), demand, now);
    }
    tickCold(now);
}

// By how much the demand of the fleet exceeds what the estimates for the single upstreams show yet.
double UpstreamLimits::surge() const
{
    double averaged = 0;
    for (const auto& [upstream, allowance] : m_allowances)
        averaged += m_shares.totalDemand(upstream);
    return averaged > 0 ? std::max(1.0, m_shares.totalDemand(allUpstreams) / averaged) : 1;
}

bool UpstreamLimits::admit(std::uint32_t upstream, MonotonicTime now)
{
    ColdLimit* cold = coldLimit(upstream, now);
    bool isColdLimitReached = cold && !cold->allowance.isReady();
    auto allowance = m_allowances.find(upstream);
    if (allowance != m_allowances.end()) {
        m_shares.recordDemand(upstream, unitsPerRequest);
        m_shares.recordDemand(allUpstreams, unitsPerRequest);
        if (isColdLimitReached || !allowance->second.take(now))
            return false;
    }
    return !isColdLimitReached && (!cold || cold->allowance.take(now));
}

Milliseconds UpstreamLimits::retryAfter(std::uint32_t upstream, MonotonicTime now) const
{
    auto allowance = m_allowances.find(upstream);
    Milliseconds wait = allowance == m_allowances.end() ? Milliseconds(0) : allowance->second.retryAfter();
    if (const ColdLimit* cold = coldLimit(upstream, now))
        wait = std::max(wait, std::min(cold->allowance.retryAfter(), coldTimeLeft(upstream, now)));
    return wait;
}

void UpstreamLimits::setUpstreams(const std::vector<std::uint32_t>& upstreams, MonotonicTime now)
{
    if (m_limits.empty())
        return;
    std::vector<std::uint32_t> sorted = upstreams;
    std::sort(sorted.begin(), sorted.end());
    auto isRemoved = [&sorted](std::uint32_t upstream) {
        return !std::binary_search(sorted.begin(), sorted.end(), upstream);
    };
    std::erase_if(m_limits, [&](const auto& entry) { return isRemoved(entry.first); });
    m_records.removeIf([&](const UpstreamLimit& record) { return isRemoved(record.upstream); });
    updateLimits(now);
}

double UpstreamLimits::limit(std::uint32_t upstream) const
{
    auto found = m_limits.find(upstream);
    return found == m_limits.end() ? 0 : found->second.limit.perSecond;
}

void UpstreamLimits::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    m_records.send(link.peer, m_options.maxRecordsPerHeartbeat, [&](const UpstreamLimit& record) {
        heartbeat.upstreamLimits.emplace_back(
            record.upstream, record.version, static_cast<float>(record.perSecond));
    });
    m_shares.fill(link, heartbeat, now);
}

// The limits come first: the demand for an upstream counts only where its limit is known.
void UpstreamLimits::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    bool changed = false;
    for (const PeerUpstreamLimit& received : heartbeat.upstreamLimits) {
        UpstreamLimit limit { received.upstream(), received.version(), received.perSecond() };
        auto known = m_limits.find(limit.upstream);
        if (known != m_limits.end() && !isNewer(limit, known->second.limit))
            continue;
        change(limit, now);
        changed = true;
    }
    if (changed)
        updateLimits(now);
    m_shares.accept(link, heartbeat, now);
}

bool UpstreamLimits::urgent(const LinkView& link, MonotonicTime now) const
{
    return m_records.hasNewsFor(link.peer) || m_shares.urgent(link, now);
}

void UpstreamLimits::linkUp(const std::string& peer, MonotonicTime now) { m_shares.linkUp(peer, now); }

void UpstreamLimits::linkDown(const std::string& peer, MonotonicTime now)
{
    m_records.linkDown(peer);
    m_shares.linkDown(peer, now);
}

} // namespace briarwharf
