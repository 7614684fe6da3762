#include "coordination/upstreamlimits.h"

#include "base/hash.h"
#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // A stated limit of 0 requests per second would count as none.
    constexpr double minLimit = 0.01;

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
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
{
}

bool UpstreamLimits::isSignificant(double before, double after) const
{
    if ((before > 0) != (after > 0))
        return true;
    return std::abs(after - before) > m_options.significantChange * before;
}

void UpstreamLimits::stated(std::uint32_t id, std::optional<double> perSecond)
{
    auto known = m_upstreams.find(id);
    if (!perSecond && known == m_upstreams.end())
        return; // the usual case
    UpstreamLimit before = known == m_upstreams.end() ? UpstreamLimit { id } : known->second.limit;
    double after = perSecond ? static_cast<float>(std::max(*perSecond, minLimit)) : 0; // as peers get it
    if (isSignificant(before.perSecond, after))
        change(m_upstreams[id], { id, before.version + 1, after });
}

// The peers are told only of the latest limit of an upstream.
void UpstreamLimits::change(Upstream& upstream, const UpstreamLimit& limit)
{
    upstream.limit = limit;
    upstream.share.sharers = 0;
    m_records.removeIf([&](const UpstreamLimit& older) { return older.upstream == limit.upstream; });
    m_records.add(limit);
}

std::size_t UpstreamLimits::sharersOf(double perSecond) const
{
    return static_cast<std::size_t>(std::ceil(m_options.sharersPerRequest * perSecond))
        + m_options.minSharers;
}

bool UpstreamLimits::isAmongFirst(std::uint32_t upstream, std::size_t count) const
{
    double own = rendezvousScore(upstream, m_membership.selfHash());
    std::size_t before = 0;
    for (const std::string& instance : m_membership.usable()) {
        if (instance != m_membership.self().id && rendezvousScore(upstream, hash64(instance)) > own)
            ++before;
    }
    return before < count;
}

void UpstreamLimits::updateShare(Upstream& upstream, MonotonicTime now)
{
    Share& share = upstream.share;
    double perSecond = upstream.limit.perSecond;
    if (share.sharers == 0 || share.epoch != m_membership.epoch()) {
        share.epoch = m_membership.epoch();
        share.sharers = std::min(sharersOf(perSecond), m_membership.usable().size());
        std::uint32_t id = upstream.limit.upstream;
        bool wasIncluded = std::exchange(share.included, isAmongFirst(id, share.sharers));
        if (!wasIncluded) {
            // Each begins at another moment, so that the sharers do not send at the same time.
            share.tokens = unitInterval(combineHashes(id, m_membership.selfHash()));
            share.updatedAt = now;
        }
    }
    auto sharers = static_cast<double>(share.sharers);
    double burst = std::max(1.0, (m_options.burstSeconds * perSecond + m_options.burstRequests) / sharers);
    double earned = perSecond / sharers * seconds(now - share.updatedAt);
    share.tokens = std::min(share.tokens + earned, burst);
    share.updatedAt = now;
}

UpstreamLimits::Upstream* UpstreamLimits::findLimited(std::uint32_t id)
{
    auto found = m_upstreams.find(id);
    return found == m_upstreams.end() || found->second.limit.perSecond <= 0 ? nullptr : &found->second;
}

std::optional<Milliseconds> UpstreamLimits::wait(std::uint32_t id, MonotonicTime now)
{
    Upstream* upstream = findLimited(id);
    if (!upstream)
        return Milliseconds(0);
    updateShare(*upstream, now);
    const Share& share = upstream->share;
    if (!share.included)
        return std::nullopt;
    if (share.tokens >= 1)
        return Milliseconds(0);
    double rate = upstream->limit.perSecond / static_cast<double>(share.sharers);
    return Milliseconds(static_cast<std::int64_t>(std::ceil((1 - share.tokens) / rate * 1000)));
}

void UpstreamLimits::sent(std::uint32_t id, MonotonicTime now)
{
    Upstream* upstream = findLimited(id);
    if (!upstream)
        return;
    updateShare(*upstream, now);
    upstream->share.tokens -= 1;
}

void UpstreamLimits::setUpstreams(const std::vector<std::uint32_t>& upstreams)
{
    std::vector<std::uint32_t> sorted = upstreams;
    std::sort(sorted.begin(), sorted.end());
    auto isRemoved
        = [&sorted](std::uint32_t id) { return !std::binary_search(sorted.begin(), sorted.end(), id); };
    std::erase_if(m_upstreams, [&](const auto& entry) { return isRemoved(entry.first); });
    m_records.removeIf([&](const UpstreamLimit& record) { return isRemoved(record.upstream); });
}

double UpstreamLimits::limit(std::uint32_t id) const
{
    auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? 0 : found->second.limit.perSecond;
}

std::size_t UpstreamLimits::limitedUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
        [](const auto& entry) { return entry.second.limit.perSecond > 0; }));
}

void UpstreamLimits::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime)
{
    m_records.send(link.peer, m_options.maxRecordsPerHeartbeat, [&](const UpstreamLimit& record) {
        heartbeat.upstreamLimits.emplace_back(
            record.upstream, record.version, static_cast<float>(record.perSecond));
    });
}

void UpstreamLimits::accept(const LinkView&, const HeartbeatT& heartbeat, MonotonicTime)
{
    for (const PeerUpstreamLimit& received : heartbeat.upstreamLimits) {
        UpstreamLimit limit { received.upstream(), received.version(), received.perSecond() };
        auto known = m_upstreams.find(limit.upstream);
        if (known == m_upstreams.end() || isNewer(limit, known->second.limit))
            change(m_upstreams[limit.upstream], limit);
    }
}

bool UpstreamLimits::urgent(const LinkView& link, MonotonicTime) const
{
    return m_records.hasNewsFor(link.peer);
}

void UpstreamLimits::linkDown(const std::string& peer, MonotonicTime) { m_records.linkDown(peer); }

} // namespace briarwharf
