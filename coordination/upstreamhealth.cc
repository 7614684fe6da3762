#include "coordination/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    constexpr std::size_t maxEvidencePerHeartbeat = 64;
    constexpr std::size_t maxEvidencePeers = 16; // per upstream

    double halvings(std::chrono::nanoseconds duration, Milliseconds halfLife)
    {
        return std::chrono::duration<double>(duration) / std::chrono::duration<double>(halfLife);
    }

} // namespace

UpstreamHealth::UpstreamHealth(UpstreamHealthOptions options)
    : m_options(options)
{
}

UpstreamHealth::Upstream* UpstreamHealth::findOrAdd(std::uint32_t upstream)
{
    auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        return &found->second;
    if (m_upstreams.size() >= m_options.maxUpstreams)
        return nullptr;
    return &m_upstreams[upstream];
}

double UpstreamHealth::decayedPenalty(const Upstream& upstream, MonotonicTime now) const
{
    return upstream.penalty * std::exp2(-halvings(now - upstream.updated, m_options.halfLife));
}

bool UpstreamHealth::isBadByOwnEvidence(const Upstream& upstream, MonotonicTime now) const
{
    return upstream.bad && decayedPenalty(upstream, now) >= m_options.goodBelow;
}

void UpstreamHealth::addPenalty(std::uint32_t id, double penalty, MonotonicTime now)
{
    Upstream* upstream = findOrAdd(id);
    if (!upstream)
        return;
    bool wasBad = isBadByOwnEvidence(*upstream, now);
    upstream->penalty = std::min(decayedPenalty(*upstream, now) + penalty, m_options.maxPenalty);
    upstream->updated = now;
    upstream->bad = wasBad || upstream->penalty >= m_options.badAbove;
}

void UpstreamHealth::failed(std::uint32_t upstream, UpstreamFailure failure, MonotonicTime now)
{
    switch (failure) {
    case UpstreamFailure::ConnectionRefused:
        return addPenalty(upstream, m_options.refusedPenalty, now);
    case UpstreamFailure::Error:
        return addPenalty(upstream, m_options.errorPenalty, now);
    case UpstreamFailure::Timeout:
        return addPenalty(upstream, m_options.timeoutPenalty, now);
    case UpstreamFailure::SilentConnection:
        return addPenalty(upstream, m_options.silentPenalty, now);
    case UpstreamFailure::Broken:
        return addPenalty(upstream, m_options.brokenPenalty, now);
    case UpstreamFailure::Misdirected:
        return addPenalty(upstream, m_options.misdirectedPenalty, now);
    }
}

void UpstreamHealth::succeeded(std::uint32_t id, MonotonicTime now)
{
    Upstream* upstream = findOrAdd(id);
    if (!upstream)
        return;
    upstream->lastSuccess = now;
    // Successes of requests that started before the upstream became bad do not shorten the time that it is
    // out of use.
    if (isBadByOwnEvidence(*upstream, now))
        return;
    upstream->penalty = decayedPenalty(*upstream, now) * m_options.successFactor;
    upstream->updated = now;
    upstream->bad = false;
}

void UpstreamHealth::restarted(std::uint32_t id)
{
    auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.penalty = 0;
    found->second.bad = false;
}

double UpstreamHealth::penalty(std::uint32_t id, MonotonicTime now) const
{
    auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? 0 : decayedPenalty(found->second, now);
}

bool UpstreamHealth::usable(std::uint32_t id, MonotonicTime now) const
{
    auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return true;
    const Upstream& upstream = found->second;
    if (isBadByOwnEvidence(upstream, now))
        return false;
    if (upstream.lastSuccess && now - *upstream.lastSuccess <= m_options.ownSuccessTtl)
        return true;
    auto peersReportingBad
        = std::count_if(upstream.peers.begin(), upstream.peers.end(), [this, now](const auto& entry) {
              return entry.second.bad && now - entry.second.at <= m_options.peerEvidenceTtl;
          });
    return static_cast<std::size_t>(peersReportingBad) < m_options.minPeersForBad;
}

std::vector<std::uint32_t> UpstreamHealth::select(
    const std::vector<std::uint32_t>& pool, MonotonicTime now) const
{
    std::vector<std::uint32_t> chosen;
    for (std::uint32_t upstream : pool)
        if (usable(upstream, now))
            chosen.push_back(upstream);
    return chosen.empty() ? pool : chosen;
}

void UpstreamHealth::setUpstreams(const std::vector<std::uint32_t>& upstreams)
{
    std::vector<std::uint32_t> sorted = upstreams;
    std::sort(sorted.begin(), sorted.end());
    auto isRemoved = [&sorted](const auto& entry) {
        return !std::binary_search(sorted.begin(), sorted.end(), entry.first);
    };
    std::erase_if(m_upstreams, isRemoved);
    for (auto& [peer, sent] : m_sent)
        std::erase_if(sent, isRemoved);
}

void UpstreamHealth::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    std::unordered_map<std::uint32_t, Sent>& sent = m_sent[link.peer];
    for (const auto& [id, upstream] : m_upstreams) {
        bool bad = isBadByOwnEvidence(upstream, now);
        auto known = sent.find(id);
        bool wasBad = known != sent.end() && known->second.bad;
        bool repeat = bad && wasBad && now - known->second.at > m_options.evidenceRepeatInterval;
        if (bad == wasBad && !repeat)
            continue;
        if (heartbeat.evidence.size() >= maxEvidencePerHeartbeat)
            return;
        auto hundredths = static_cast<std::uint16_t>(std::lround(decayedPenalty(upstream, now) * 100));
        heartbeat.evidence.emplace_back(id, hundredths, bad);
        if (bad)
            sent[id] = { true, now };
        else
            sent.erase(id);
    }
}

void UpstreamHealth::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    for (const UpstreamEvidence& evidence : heartbeat.evidence) {
        Upstream* upstream = findOrAdd(evidence.upstream());
        if (!upstream)
            continue;
        std::erase_if(upstream->peers,
            [&](const auto& entry) { return now - entry.second.at > m_options.peerEvidenceTtl; });
        if (!evidence.bad())
            upstream->peers.erase(link.peer);
        else if (upstream->peers.size() < maxEvidencePeers || upstream->peers.count(link.peer) > 0)
            upstream->peers[link.peer] = { now, true };
    }
}

bool UpstreamHealth::urgent(const LinkView& link, MonotonicTime now) const
{
    auto sent = m_sent.find(link.peer);
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& entry) {
        bool wasBad = sent != m_sent.end() && sent->second.count(entry.first) > 0;
        return isBadByOwnEvidence(entry.second, now) && !wasBad;
    });
}

void UpstreamHealth::linkDown(const std::string& peer, MonotonicTime /* now */) { m_sent.erase(peer); }

} // namespace briarwharf
