#include "coordination/inprogress.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarwharf {

namespace {

    constexpr std::int64_t promptTokensUnit = 64; // of UpstreamWork::promptTokens

    std::uint16_t saturate(std::int64_t value)
    {
        return static_cast<std::uint16_t>(
            std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
    }

    UpstreamWorkload find(
        const std::unordered_map<std::uint32_t, UpstreamWorkload>& work, std::uint32_t upstream)
    {
        auto found = work.find(upstream);
        return found == work.end() ? UpstreamWorkload {} : found->second;
    }

} // namespace

InProgressTable::InProgressTable(const Membership& membership, InProgressOptions options)
    : m_membership(membership)
    , m_options(options)
{
}

void InProgressTable::started(std::uint32_t upstream, std::int64_t promptTokens)
{
    UpstreamWorkload& work = m_own[upstream];
    ++work.requests;
    work.promptTokens += promptTokens;
    ++m_changes;
}

void InProgressTable::answering(std::uint32_t upstream, std::int64_t promptTokens)
{
    m_own[upstream].promptTokens -= promptTokens;
    ++m_changes;
}

void InProgressTable::ended(std::uint32_t upstream)
{
    auto found = m_own.find(upstream);
    if (found == m_own.end())
        return;
    ++m_changes;
    if (--found->second.requests <= 0)
        m_own.erase(found);
}

UpstreamWorkload InProgressTable::own(std::uint32_t upstream) const { return find(m_own, upstream); }

UpstreamWorkload InProgressTable::others(std::uint32_t upstream) const
{
    UpstreamWorkload work = find(m_others, upstream);
    work.requests = static_cast<int>(std::lround(work.requests * m_scale));
    work.promptTokens = std::llround(static_cast<double>(work.promptTokens) * m_scale);
    return work;
}

void InProgressTable::refresh(MonotonicTime now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        bool silent = now - peer->second.heard > m_options.peerTtl;
        m_stale = m_stale || silent;
        peer = silent ? m_peers.erase(peer) : std::next(peer);
    }
    if (!m_stale)
        return;
    m_stale = false;
    m_others.clear();
    for (const auto& [id, peer] : m_peers) {
        for (const auto& [upstream, work] : peer.work) {
            UpstreamWorkload& sum = m_others[upstream];
            sum.requests += work.requests;
            sum.promptTokens += work.promptTokens;
        }
    }
    auto others = static_cast<double>(std::max<std::size_t>(m_membership.usable().size(), 1) - 1);
    auto heard = static_cast<double>(m_peers.size());
    m_scale = heard > 0 ? std::max(1.0, others / heard) : 1;
}

void InProgressTable::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime)
{
    for (const auto& [upstream, work] : m_own)
        heartbeat.work.emplace_back(upstream, saturate(work.requests),
            saturate((work.promptTokens + promptTokensUnit / 2) / promptTokensUnit));
    m_sent[link.peer] = m_changes;
}

void InProgressTable::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    peer.heard = now;
    peer.work.clear();
    for (const auto& work : heartbeat.work)
        peer.work[work.upstream()] = { work.requests(), work.promptTokens() * promptTokensUnit };
    m_stale = true;
}

// Only a full mesh hears of each change early: in a large fleet that would cost more than it tells.
bool InProgressTable::urgent(const LinkView& link, MonotonicTime) const
{
    if (m_membership.usable().size() > MembershipOptions {}.fullMeshLimit)
        return false;
    auto sent = m_sent.find(link.peer);
    return sent == m_sent.end() || sent->second != m_changes;
}

void InProgressTable::linkDown(const std::string& peer, MonotonicTime)
{
    m_peers.erase(peer);
    m_sent.erase(peer);
    m_stale = true;
}

} // namespace briarwharf
