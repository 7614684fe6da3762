#include "coordination/inprogress.h"

#include <algorithm>
#include <limits>

namespace briarwharf {

namespace {

    constexpr std::int64_t promptTokensUnit = 64; // unit of UpstreamWork::promptTokens

    std::uint16_t saturate(std::int64_t value)
    {
        return static_cast<std::uint16_t>(
            std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
    }

    UpstreamWorkload workloadOf(
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
    ++m_changeCount;
}

void InProgressTable::answerStarted(std::uint32_t upstream, std::int64_t promptTokens)
{
    m_own[upstream].promptTokens -= promptTokens;
    ++m_changeCount;
}

void InProgressTable::ended(std::uint32_t upstream)
{
    auto found = m_own.find(upstream);
    if (found == m_own.end())
        return;
    ++m_changeCount;
    if (--found->second.requests <= 0)
        m_own.erase(found);
}

UpstreamWorkload InProgressTable::own(std::uint32_t upstream) const { return workloadOf(m_own, upstream); }

UpstreamWorkload InProgressTable::others(std::uint32_t upstream) const
{
    return workloadOf(m_others, upstream);
}

bool InProgressTable::fullMesh() const
{
    return m_membership.usable().size() <= MembershipOptions {}.fullMeshLimit;
}

void InProgressTable::refresh(MonotonicTime now)
{
    bool changed = false;
    for (auto& [peer, link] : m_links) {
        bool counted = now - link.lastReceived <= m_options.linkTtl;
        changed = changed || counted != link.counted;
        link.counted = counted;
    }
    if (changed)
        updateOthers();
}

void InProgressTable::updateOthers()
{
    m_others.clear();
    for (const auto& [peer, link] : m_links) {
        if (!link.counted)
            continue;
        for (const auto& [upstream, work] : link.received) {
            m_others[upstream].requests += work.requests;
            m_others[upstream].promptTokens += work.promptTokens;
        }
    }
}

// The workloads to send to a peer: those of this instance and, in a partial mesh, those received on the other
// tree links.
InProgressTable::Workloads InProgressTable::sumForPeer(const std::string& peer) const
{
    Workloads sum = m_own;
    if (fullMesh())
        return sum;
    for (const auto& [other, link] : m_links) {
        if (other == peer || !link.counted || !m_membership.inTree(other))
            continue;
        for (const auto& [upstream, work] : link.received) {
            sum[upstream].requests += work.requests;
            sum[upstream].promptTokens += work.promptTokens;
        }
    }
    return sum;
}

void InProgressTable::fill(const LinkView& view, HeartbeatT& heartbeat, MonotonicTime now)
{
    Link& link = m_links[view.peer];
    link.sentChangeCount = m_changeCount;
    link.sentAt = now;
    Workloads sum = view.isTreeLink || fullMesh() ? sumForPeer(view.peer) : Workloads {};
    for (const auto& [upstream, work] : link.sent)
        sum.try_emplace(upstream); // work that has ended is sent as zero
    for (const auto& [upstream, work] : sum) {
        if (heartbeat.work.size() >= m_options.maxEntriesPerHeartbeat)
            break;
        if (workloadOf(link.sent, upstream) == work)
            continue;
        heartbeat.work.emplace_back(upstream, saturate(work.requests),
            saturate((work.promptTokens + promptTokensUnit / 2) / promptTokensUnit));
        if (work == UpstreamWorkload {})
            link.sent.erase(upstream);
        else
            link.sent[upstream] = work;
    }
}

void InProgressTable::accept(const LinkView& view, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Link& link = m_links[view.peer];
    link.lastReceived = now;
    link.counted = true;
    for (const auto& entry : heartbeat.work) {
        UpstreamWorkload work { entry.requests(), entry.promptTokens() * promptTokensUnit };
        if (work == UpstreamWorkload {})
            link.received.erase(entry.upstream());
        else
            link.received[entry.upstream()] = work;
    }
    if (heartbeat.work.empty())
        return;
    updateOthers();
    if (!fullMesh())
        ++m_changeCount; // to be sent on the other links of the tree
}

bool InProgressTable::urgent(const LinkView& view, MonotonicTime now) const
{
    bool full = fullMesh();
    if (!full && !view.isTreeLink)
        return false;
    auto link = m_links.find(view.peer);
    if (link == m_links.end())
        return true;
    bool due = full || now - link->second.sentAt >= m_options.minTreeInterval;
    return due && link->second.sentChangeCount != m_changeCount;
}

void InProgressTable::linkDown(const std::string& peer, MonotonicTime)
{
    m_links.erase(peer);
    updateOthers();
}

} // namespace briarwharf
