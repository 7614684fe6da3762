#include "coordination/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    constexpr std::size_t evidencePerHeartbeat = 64;
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

UpstreamHealth::Upstream* UpstreamHealth::find(std::uint32_t upstream)
{
    auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        return &found->second;
    if (m_upstreams.size() >= m_options.maxUpstreams)
        return nullptr;
    return &m_upstreams[upstream];
}

double UpstreamHealth::decayed(const Upstream& upstream, MonotonicTime now) const
{
    return upstream.penalty * std::exp2(-halvings(now - upstream.updated, m_options.halfLife));
}

bool UpstreamHealth::ownBad(const Upstream& upstream, MonotonicTime now) const
{
    return upstream.bad && decayed(upstream, now) >= m_options.goodBelow;
}

void UpstreamHealth::add(std::uint32_t id, double penalty, MonotonicTime now)
{
    Upstream* upstream = find(id);
    if (!upstream)
        return;
    bool wasBad = ownBad(*upstream, now);
    upstream->penalty = std::min(decayed(*upstream, now) + penalty, m_options.maxPenalty);
    upstream->updated = now;
    upstream->bad = wasBad || upstream->penalty >= m_options.badAbove;
}

void UpstreamHealth::failed(std::uint32_t upstream, UpstreamFailure failure, MonotonicTime now)
{
    switch (failure) {
    case UpstreamFailure::ConnectionRefused:
        return add(upstream, m_options.refusedPenalty, now);
    case UpstreamFailure::Error:
        return add(upstream, m_options.errorPenalty, now);
    case UpstreamFailure::Timeout:
        return add(upstream, m_options.timeoutPenalty, now);
    case UpstreamFailure::SilentConnection:
        return add(upstream, m_options.silentPenalty, now);
    case UpstreamFailure::Broken:
        return add(upstream, m_options.brokenPenalty, now);
    }
}

void UpstreamHealth::succeeded(std::uint32_t id, MonotonicTime now)
{
    Upstream* upstream = find(id);
    if (!upstream)
        return;
    upstream->lastSuccess = now;
    // Requests that started before the upstream was taken out of use do not shorten its time out.
    if (ownBad(*upstream, now))
        return;
    upstream->penalty = decayed(*upstream, now) * m_options.successFactor;
    upstream->updated = now;
    upstream->bad = false;
}

double UpstreamHealth::penalty(std::uint32_t id, MonotonicTime now) const
{
    auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? 0 : decayed(found->second, now);
}

bool UpstreamHealth::usable(std::uint32_t id, MonotonicTime now) const
{
    auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return true;
    const Upstream& upstream = found->second;
    if (ownBad(upstream, now))
        return false;
    if (upstream.lastSuccess && now - *upstream.lastSuccess <= m_options.ownSuccessTtl)
        return true;
    auto against
        = std::count_if(upstream.peers.begin(), upstream.peers.end(), [this, now](const auto& entry) {
              return entry.second.bad && now - entry.second.at <= m_options.peerEvidenceTtl;
          });
    return static_cast<std::size_t>(against) < m_options.peersForBad;
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
    auto gone = [&sorted](const auto& entry) {
        return !std::binary_search(sorted.begin(), sorted.end(), entry.first);
    };
    std::erase_if(m_upstreams, gone);
    for (auto& [peer, sent] : m_sent)
        std::erase_if(sent, gone);
}

void UpstreamHealth::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    std::unordered_map<std::uint32_t, Sent>& sent = m_sent[link.peer];
    for (const auto& [id, upstream] : m_upstreams) {
        bool bad = ownBad(upstream, now);
        auto known = sent.find(id);
        bool wasBad = known != sent.end() && known->second.bad;
        bool repeat = bad && wasBad && now - known->second.at > m_options.repeatEvidence;
        if (bad == wasBad && !repeat)
            continue;
        if (heartbeat.evidence.size() >= evidencePerHeartbeat)
            return;
        auto hundredths = static_cast<std::uint16_t>(std::lround(decayed(upstream, now) * 100));
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
        Upstream* upstream = find(evidence.upstream());
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
        return ownBad(entry.second, now) && !wasBad;
    });
}

void UpstreamHealth::linkDown(const std::string& peer, MonotonicTime /* now */) { m_sent.erase(peer); }

} // namespace briarwharf
