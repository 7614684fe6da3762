#include "coordination/inprogress.h"

#include "base/hash.h"
#include <algorithm>
#include <cstdlib>
#include <limits>
#include <tuple>

namespace briarwharf {

namespace {

    constexpr std::int64_t promptTokensUnit = 64; // unit of UpstreamWork::promptTokens
    constexpr std::int64_t tokensPerRequest = 1000; // that a request weighs when changes are compared

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

    UpstreamWorkload operator+(const UpstreamWorkload& left, const UpstreamWorkload& right)
    {
        return { left.requests + right.requests, left.promptTokens + right.promptTokens };
    }

    UpstreamWorkload operator-(const UpstreamWorkload& left, const UpstreamWorkload& right)
    {
        return { left.requests - right.requests, left.promptTokens - right.promptTokens };
    }

    void set(std::unordered_map<std::uint32_t, UpstreamWorkload>& workloads, std::uint32_t upstream,
        const UpstreamWorkload& work)
    {
        if (work == UpstreamWorkload {})
            workloads.erase(upstream);
        else
            workloads[upstream] = work;
    }

    std::int64_t sizeOf(const UpstreamWorkload& change)
    {
        return std::abs(change.requests) * tokensPerRequest + std::abs(change.promptTokens);
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

void InProgressTable::receive(Link& link, std::uint32_t upstream, const UpstreamWorkload& work)
{
    UpstreamWorkload change = work - workloadOf(link.received, upstream);
    set(link.received, upstream, work);
    if (link.contribution != Contribution::None)
        set(m_others, upstream, workloadOf(m_others, upstream) + change);
    if (link.contribution != Contribution::Tree)
        return;
    set(m_tree, upstream, workloadOf(m_tree, upstream) + change);
    ++m_changeCount; // to be sent on the other links of the tree
}

InProgressTable::Contribution InProgressTable::contributionOf(
    const std::string& peer, const Link& link, MonotonicTime now) const
{
    if (now - link.lastReceived > m_options.linkTtl)
        return Contribution::None;
    if (fullMesh())
        return Contribution::Own;
    return m_membership.inTree(peer) ? Contribution::Tree : Contribution::None;
}

void InProgressTable::refresh(MonotonicTime now)
{
    bool changed = false;
    for (auto& [peer, link] : m_links) {
        Contribution contribution = contributionOf(peer, link, now);
        bool sends = fullMesh() || m_membership.inTree(peer);
        changed = changed || contribution != link.contribution || sends != link.sends;
        link.contribution = contribution;
        link.sends = sends;
    }
    if (changed)
        updateSums();
}

void InProgressTable::updateSums()
{
    m_others.clear();
    m_tree.clear();
    for (const auto& [peer, link] : m_links) {
        if (link.contribution == Contribution::None)
            continue;
        for (const auto& [upstream, work] : link.received) {
            m_others[upstream] = m_others[upstream] + work;
            if (link.contribution == Contribution::Tree)
                m_tree[upstream] = m_tree[upstream] + work;
        }
    }
    ++m_changeCount;
}

// The workload to report to the peer: that of this instance and, in a partial mesh, the sum of those received
// on the other tree links.
UpstreamWorkload InProgressTable::workloadFor(const Link& link, std::uint32_t upstream) const
{
    UpstreamWorkload work = own(upstream) + workloadOf(m_tree, upstream);
    return link.contribution == Contribution::Tree ? work - workloadOf(link.received, upstream) : work;
}

// The number of changes that the next heartbeat to the peer may carry.
std::size_t InProgressTable::maxChanges(const Link& link, MonotonicTime now) const
{
    auto elapsed = toMilliseconds(now - link.sentAt);
    if (fullMesh() || elapsed >= m_options.minTreeInterval)
        return m_options.maxEntriesPerHeartbeat;
    return m_options.maxEntriesPerHeartbeat * static_cast<std::size_t>(elapsed.count())
        / static_cast<std::size_t>(m_options.minTreeInterval.count());
}

void InProgressTable::addChange(const Link& link, std::uint32_t upstream, std::vector<Change>& changes) const
{
    UpstreamWorkload work = workloadFor(link, upstream);
    UpstreamWorkload difference = work - workloadOf(link.sent, upstream);
    if (difference != UpstreamWorkload {})
        changes.push_back({ upstream, work, sizeOf(difference), combineHashes(m_changeCount, upstream) });
}

std::vector<InProgressTable::Change> InProgressTable::changesFor(const Link& link) const
{
    std::vector<Change> changes;
    for (const auto& [upstream, work] : m_own)
        addChange(link, upstream, changes);
    for (const auto& [upstream, work] : m_tree) {
        if (m_own.count(upstream) == 0)
            addChange(link, upstream, changes);
    }
    for (const auto& [upstream, work] : link.sent) {
        if (m_own.count(upstream) == 0 && m_tree.count(upstream) == 0)
            addChange(link, upstream, changes);
    }
    return changes;
}

void InProgressTable::fill(const LinkView& view, HeartbeatT& heartbeat, MonotonicTime now)
{
    Link& link = m_links[view.peer];
    refresh(now); // the sum of a link that has just left the tree must not be passed on
    if (!link.sends)
        return;
    std::vector<Change> changes = changesFor(link);
    std::size_t limit = maxChanges(link, now);
    link.changesLeft = changes.size() > limit;
    if (link.changesLeft) {
        // Of equally large changes a different selection is sent each time, so that none waits for long.
        auto end = changes.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(changes.begin(), end, changes.end(), [](const Change& left, const Change& right) {
            return std::tie(left.size, left.tieBreaker) > std::tie(right.size, right.tieBreaker);
        });
        changes.erase(end, changes.end());
    }
    link.sentAt = now;
    link.sentChangeCount = m_changeCount;
    for (const Change& change : changes) {
        heartbeat.work.emplace_back(change.upstream, saturate(change.work.requests),
            saturate((change.work.promptTokens + promptTokensUnit / 2) / promptTokensUnit));
        set(link.sent, change.upstream, change.work);
    }
}

void InProgressTable::accept(const LinkView& view, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Link& link = m_links[view.peer];
    link.lastReceived = now;
    refresh(now);
    for (const auto& entry : heartbeat.work) {
        UpstreamWorkload work { entry.requests(), entry.promptTokens() * promptTokensUnit };
        receive(link, entry.upstream(), work);
    }
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
    return due && (link->second.changesLeft || link->second.sentChangeCount != m_changeCount);
}

bool InProgressTable::hasLargeChange(const Link& link) const
{
    auto changed = [&](const auto& entry) {
        UpstreamWorkload difference = workloadFor(link, entry.first) - workloadOf(link.sent, entry.first);
        return std::abs(difference.requests) >= m_options.largeChange;
    };
    return std::any_of(m_own.begin(), m_own.end(), changed)
        || std::any_of(m_tree.begin(), m_tree.end(), changed)
        || std::any_of(link.sent.begin(), link.sent.end(), changed);
}

bool InProgressTable::urgentAtOnce(const LinkView& view, MonotonicTime) const
{
    if (fullMesh() || !view.isTreeLink)
        return false;
    auto link = m_links.find(view.peer);
    return link != m_links.end() && link->second.sentChangeCount != m_changeCount
        && hasLargeChange(link->second);
}

void InProgressTable::linkDown(const std::string& peer, MonotonicTime)
{
    m_links.erase(peer);
    updateSums();
}

} // namespace briarwharf
