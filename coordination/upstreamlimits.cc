#include "coordination/upstreamlimits.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // A stated limit of 0 requests per second would count as none.
    constexpr double minLimit = 0.01;

    // Demand is exchanged in whole units per second.
    constexpr double unitsPerRequest = 1000;

    RateShareOptions shareOptions(const UpstreamLimitsOptions& limits)
    {
        RateShareOptions options;
        options.requestTokens = unitsPerRequest;
        options.demandWindow = options.fastWindow = limits.demandWindow;
        options.startShare = 0.5;
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

double UpstreamLimits::usableRate(double limit) const
{
    double window = std::chrono::duration<double>(m_options.demandWindow).count();
    double requestsPerInstance = limit * window / static_cast<double>(m_membership.expectedInstances());
    return limit
        * std::min(m_options.minUsedShare + m_options.usedSharePerRequest * requestsPerInstance,
            m_options.maxUsedShare);
}

void UpstreamLimits::stated(std::uint32_t upstream, std::optional<double> perSecond, MonotonicTime now)
{
    auto known = m_limits.find(upstream);
    if (!perSecond && known == m_limits.end())
        return; // the usual case
    UpstreamLimit before = known == m_limits.end() ? UpstreamLimit { upstream } : known->second;
    double after = perSecond ? static_cast<float>(std::max(*perSecond, minLimit)) : 0; // as peers get it
    if (!isSignificant(before.perSecond, after))
        return;
    change({ upstream, before.version + 1, after });
    updateShares(now);
}

// The peers are told only of the latest limit of an upstream.
void UpstreamLimits::change(const UpstreamLimit& limit)
{
    m_limits[limit.upstream] = limit;
    m_records.removeIf([&](const UpstreamLimit& older) { return older.upstream == limit.upstream; });
    m_records.add(limit);
}

void UpstreamLimits::updateShares(MonotonicTime now)
{
    std::vector<RateLimit> limits;
    for (const auto& [upstream, limit] : m_limits) {
        if (limit.perSecond > 0)
            limits.push_back({ upstream, usableRate(limit.perSecond) * unitsPerRequest });
    }
    m_limitedUpstreams = limits.size();
    m_shares.setLimits(limits, now);
}

bool UpstreamLimits::admit(std::uint32_t upstream, MonotonicTime now)
{
    return limit(upstream) <= 0 || m_shares.admit(upstream, unitsPerRequest, now);
}

Milliseconds UpstreamLimits::retryAfter(std::uint32_t upstream, MonotonicTime now) const
{
    return limit(upstream) <= 0 ? Milliseconds(0) : m_shares.retryAfter(upstream, now);
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
    updateShares(now);
}

double UpstreamLimits::limit(std::uint32_t upstream) const
{
    auto found = m_limits.find(upstream);
    return found == m_limits.end() ? 0 : found->second.perSecond;
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
        if (known != m_limits.end() && !isNewer(limit, known->second))
            continue;
        change(limit);
        changed = true;
    }
    if (changed)
        updateShares(now);
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
