#include "coordination/crashevidence.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace briarwharf {

namespace {

    template <typename Crashes> std::set<std::uint32_t> upstreamsOf(const Crashes& crashes)
    {
        std::set<std::uint32_t> upstreams;
        for (const auto& crash : crashes)
            upstreams.insert(crash.upstream);
        return upstreams;
    }

} // namespace

bool CrashEvidence::add(const SegmentCrash& crash)
{
    auto found = m_segments.find(crash.segment);
    if (found == m_segments.end()) {
        makeRoom();
        found = m_segments.try_emplace(crash.segment).first;
    }
    Segment& segment = found->second;
    bool isKnown = std::any_of(segment.crashes.begin(), segment.crashes.end(),
        [&](const Crash& known) { return known.upstream == crash.upstream; });
    if (isKnown || crash.at <= segment.answeredAt)
        return false;
    auto later = std::find_if(segment.crashes.begin(), segment.crashes.end(),
        [&](const Crash& known) { return known.at > crash.at; });
    bool isFull = segment.crashes.size() >= m_options.maxCrashesPerSegment;
    if (isFull && later == segment.crashes.begin())
        return false;
    segment.crashes.insert(later, { crash.upstream, crash.at });
    if (isFull)
        segment.crashes.erase(segment.crashes.begin());
    return true;
}

bool CrashEvidence::add(const SegmentAnswer& answer)
{
    auto found = m_segments.find(answer.segment);
    if (found == m_segments.end())
        return false;
    Segment& segment = found->second;
    segment.answeredAt = std::max(segment.answeredAt, answer.at);
    return std::erase_if(segment.crashes, [&](const Crash& crash) { return crash.at <= answer.at; }) > 0;
}

bool CrashEvidence::contains(const SegmentCrash& crash) const
{
    auto found = m_segments.find(crash.segment);
    return found != m_segments.end()
        && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
            [&](const Crash& known) { return known.upstream == crash.upstream; });
}

void CrashEvidence::expire(MonotonicTime now)
{
    std::erase_if(m_segments, [&](const auto& entry) {
        const Segment& segment = entry.second;
        if (segment.crashes.empty())
            return now - segment.answeredAt > m_options.answerRetention;
        bool suspect = segment.crashes.size() >= m_options.minCrashes;
        return now - segment.crashes.back().at
            > (suspect ? m_options.suspectRetention : m_options.crashRetention);
    });
}

// Removes the segment with the least evidence, and of several the one that crashed longest ago.
void CrashEvidence::makeRoom()
{
    if (m_segments.size() < m_options.maxSegments)
        return;
    auto weight = [](const auto& entry) {
        const Segment& segment = entry.second;
        MonotonicTime at = segment.crashes.empty() ? segment.answeredAt : segment.crashes.back().at;
        return std::tuple(segment.crashes.size(), at);
    };
    m_segments.erase(std::min_element(m_segments.begin(), m_segments.end(),
        [&](const auto& left, const auto& right) { return weight(left) < weight(right); }));
}

std::size_t CrashEvidence::incidents(const Segment& segment) const
{
    std::size_t count = 0;
    MonotonicTime lastCounted;
    for (const Crash& crash : segment.crashes) {
        if (count > 0 && crash.at - lastCounted < m_options.incidentGap)
            continue;
        ++count;
        lastCounted = crash.at;
    }
    return count;
}

bool CrashEvidence::isSuspect(const Segment& segment, MonotonicTime now) const
{
    if (segment.crashes.size() < m_options.minCrashes)
        return false;
    return incidents(segment) >= m_options.minCrashes
        || now - segment.crashes.front().at >= m_options.settleTime;
}

bool CrashEvidence::isExplained(const Segment& segment) const
{
    std::set<std::uint32_t> upstreams = upstreamsOf(segment.crashes);
    return std::any_of(m_segments.begin(), m_segments.end(), [&](const auto& entry) {
        if (entry.second.crashes.size() <= segment.crashes.size())
            return false;
        std::set<std::uint32_t> others = upstreamsOf(entry.second.crashes);
        return std::includes(others.begin(), others.end(), upstreams.begin(), upstreams.end());
    });
}

Milliseconds CrashEvidence::termAfter(std::size_t crashes) const
{
    Milliseconds term = m_options.firstTerm;
    for (std::size_t count = m_options.minCrashes; count < crashes && term < m_options.maxTerm; ++count)
        term *= 2;
    return std::min(term, m_options.maxTerm);
}

std::vector<SuspectGroup> CrashEvidence::suspects(MonotonicTime now) const
{
    std::map<std::set<std::uint32_t>, SuspectGroup> groups; // by the upstreams that crashed
    for (const auto& [id, segment] : m_segments) {
        if (!isSuspect(segment, now) || isExplained(segment))
            continue;
        SuspectGroup& group = groups[upstreamsOf(segment.crashes)];
        group.segments.push_back(id);
        group.lastCrash = std::max(group.lastCrash, segment.crashes.back().at);
    }
    std::vector<SuspectGroup> result;
    for (auto& [upstreams, group] : groups) {
        std::sort(group.segments.begin(), group.segments.end());
        group.upstreams.assign(upstreams.begin(), upstreams.end());
        group.termEnd = group.lastCrash + termAfter(upstreams.size());
        result.push_back(std::move(group));
    }
    return result;
}

} // namespace briarwharf
