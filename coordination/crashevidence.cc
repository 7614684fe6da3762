#include "coordination/crashevidence.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    constexpr double roundingSlack = 1e-6; // of sums of shares

    using Upstreams = std::vector<std::uint32_t>; // in ascending order

    template <typename Crashes> Upstreams upstreamsOf(const Crashes& crashes)
    {
        Upstreams upstreams;
        upstreams.reserve(crashes.size());
        for (const auto& crash : crashes)
            upstreams.push_back(crash.upstream);
        std::sort(upstreams.begin(), upstreams.end());
        return upstreams;
    }

    // Whether all of the upstreams are among those of another segment with more crashes.
    bool isExplained(const Upstreams& upstreams, const std::set<Upstreams>& others)
    {
        return std::any_of(others.begin(), others.end(), [&](const Upstreams& other) {
            return other.size() > upstreams.size()
                && std::includes(other.begin(), other.end(), upstreams.begin(), upstreams.end());
        });
    }

} // namespace

bool CrashEvidence::add(const SegmentCrash& crash)
{
    recordEnd(crash);
    Segment& segment = findOrInsert(crash.segment);
    bool isNews = insert(crash, segment);
    updateRank(crash.segment, segment);
    return isNews;
}

// Returns false if the crash adds nothing to what is known.
bool CrashEvidence::insert(const SegmentCrash& crash, Segment& segment) const
{
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
    bool isNews = needsAnswer(answer.segment, answer.at);
    segment.answeredAt = std::max(segment.answeredAt, answer.at);
    std::size_t cleared
        = std::erase_if(segment.crashes, [&](const Crash& crash) { return crash.at <= answer.at; });
    updateRank(answer.segment, segment);
    if (cleared == 0 && !isNews)
        return false;
    recordAnswerTime(answer.at); // only of news, which reach every instance: all weigh the same evidence
    return true;
}

bool CrashEvidence::contains(const SegmentCrash& crash) const
{
    auto found = m_segments.find(crash.segment);
    return found != m_segments.end()
        && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
            [&](const Crash& known) { return known.upstream == crash.upstream; });
}

bool CrashEvidence::needsAnswer(std::uint64_t segment, MonotonicTime at) const
{
    auto found = m_segments.find(segment);
    if (found == m_segments.end() || found->second.crashes.empty())
        return false;
    // The report of a crash may come later than an answer that began after it.
    bool clearsCrash = at >= found->second.crashes.front().at;
    return clearsCrash || at >= found->second.answeredAt + m_options.answerStep;
}

void CrashEvidence::expire(MonotonicTime now)
{
    // Upstreams that ended are kept for longer than the crashes that they help to explain.
    std::erase_if(m_ends, [&](const auto& end) { return now - end.second > 2 * m_options.crashRetention; });
    Times ends = endTimes();
    for (auto entry = m_segments.begin(); entry != m_segments.end();) {
        auto& [id, segment] = *entry;
        bool isOver = expire(segment, ends, now);
        if (isOver)
            m_ranks.erase(segment.rank);
        else if (segment.rank.crashes != segment.crashes.size())
            updateRank(id, segment);
        entry = isOver ? m_segments.erase(entry) : std::next(entry);
    }
    m_answerTimes.erase(m_answerTimes.begin(), m_answerTimes.lower_bound(now - 2 * m_options.crashRetention));
}

// Returns whether nothing is left of the segment.
bool CrashEvidence::expire(Segment& segment, const Times& ends, MonotonicTime now) const
{
    if (segment.crashes.empty())
        return now - segment.answeredAt > m_options.answerRetention;
    if (now - segment.crashes.front().at <= m_options.crashRetention)
        return false;
    bool isStrong = segment.crashes.size() >= m_options.minCrashes
        && evidence(segment, ends) >= m_options.strongEvidence - roundingSlack;
    if (isStrong)
        return now - segment.crashes.back().at > m_options.suspectRetention;
    std::erase_if(
        segment.crashes, [&](const Crash& crash) { return now - crash.at > m_options.crashRetention; });
    return segment.crashes.empty() && now - segment.answeredAt > m_options.answerRetention;
}

CrashEvidence::Segment& CrashEvidence::findOrInsert(std::uint64_t id)
{
    auto found = m_segments.find(id);
    if (found != m_segments.end())
        return found->second;
    makeRoom();
    return m_segments[id];
}

void CrashEvidence::updateRank(std::uint64_t id, Segment& segment)
{
    MonotonicTime at = segment.crashes.empty() ? segment.answeredAt : segment.crashes.back().at;
    m_ranks.erase(segment.rank);
    segment.rank = { segment.crashes.size(), at, ++m_uses };
    m_ranks.emplace(segment.rank, id);
}

// Removes the segment with the least evidence, of several the one that crashed longest ago, and of these the
// one that was not accused again for the longest time: what crashes upstreams is in more than one prompt.
void CrashEvidence::makeRoom()
{
    if (m_segments.size() < m_options.maxSegments)
        return;
    m_segments.erase(m_ranks.begin()->second);
    m_ranks.erase(m_ranks.begin());
}

void CrashEvidence::recordEnd(const SegmentCrash& crash)
{
    auto found = m_ends.find(crash.upstream);
    if (found != m_ends.end())
        found->second = std::min(found->second, crash.at);
    else if (m_ends.size() < m_options.maxEndedUpstreams)
        m_ends.emplace(crash.upstream, crash.at);
}

void CrashEvidence::recordAnswerTime(MonotonicTime at)
{
    m_answerTimes.insert(at);
    if (m_answerTimes.size() > m_options.maxAnswerTimes)
        m_answerTimes.erase(m_answerTimes.begin());
}

CrashEvidence::Times CrashEvidence::endTimes() const
{
    Times times;
    times.reserve(m_ends.size());
    for (const auto& [upstream, at] : m_ends)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    return times;
}

bool CrashEvidence::wasAnsweredBefore(const Segment& segment) const
{
    return segment.answeredAt != MonotonicTime {}
    && segment.crashes.front().at - segment.answeredAt <= m_options.recentAnswerTime;
}

bool CrashEvidence::startsIncident(const Crash& crash, MonotonicTime lastCounted) const
{
    auto gap = crash.at - lastCounted;
    if (gap >= m_options.incidentGap)
        return true;
    auto answer = m_answerTimes.upper_bound(lastCounted);
    return gap >= m_options.minIncidentGap && answer != m_answerTimes.end() && *answer < crash.at;
}

// Of the upstreams that ended together with this one, the share at which the segment waited.
double CrashEvidence::explainedShare(const Segment& segment, const Crash& crash, const Times& ends) const
{
    MonotonicTime from = crash.at - m_options.incidentGap;
    MonotonicTime to = crash.at + m_options.incidentGap;
    auto with = std::count_if(segment.crashes.begin(), segment.crashes.end(),
        [&](const Crash& other) { return other.at >= from && other.at <= to; });
    auto all = std::distance(
        std::lower_bound(ends.begin(), ends.end(), from), std::upper_bound(ends.begin(), ends.end(), to));
    return all <= with ? 1.0 : static_cast<double>(with) / static_cast<double>(all);
}

// In incidents that only the segment explains.
double CrashEvidence::evidence(const Segment& segment, const Times& ends) const
{
    double sum = wasAnsweredBefore(segment) ? -m_options.recentAnswerEvidence : 0;
    const Crash* lastCounted = nullptr;
    for (const Crash& crash : segment.crashes) {
        if (lastCounted && !startsIncident(crash, lastCounted->at))
            continue;
        double share = explainedShare(segment, crash, ends);
        sum += share < m_options.minExplainedShare ? 0 : share;
        lastCounted = &crash;
    }
    // Many upstreams in two incidents, without an answer, make a strong suspicion.
    constexpr std::size_t manyCrashes = 5;
    constexpr double minIncidents = 2;
    if (sum >= minIncidents - roundingSlack && segment.crashes.size() >= manyCrashes)
        return std::max(sum, m_options.strongEvidence);
    return sum;
}

bool CrashEvidence::isSuspect(const Segment& segment, double evidence, MonotonicTime now) const
{
    if (segment.crashes.size() < m_options.minCrashes)
        return false;
    if (evidence >= m_options.strongEvidence - roundingSlack)
        return true;
    return evidence >= m_options.weakEvidence && now - segment.crashes.front().at >= m_options.settleTime;
}

Milliseconds CrashEvidence::term(double evidence) const
{
    if (evidence < m_options.strongEvidence - roundingSlack)
        return m_options.weakTerm;
    Milliseconds term = m_options.strongTerm;
    double further = std::floor(evidence + roundingSlack - m_options.strongEvidence);
    for (; further >= 1 && term < m_options.maxTerm; further -= 1)
        term *= m_options.termFactor;
    return std::min(term, m_options.maxTerm);
}

std::vector<SuspectGroup> CrashEvidence::suspects(MonotonicTime now) const
{
    struct Suspect {
        std::uint64_t id = 0;
        const Segment* segment = nullptr;
        double evidence = 0;
        Upstreams upstreams;
    };
    std::vector<Suspect> suspects;
    std::set<Upstreams> explaining; // the upstreams of each segment that may explain the crashes of others
    Times ends = endTimes();
    for (const auto& [id, segment] : m_segments) {
        if (id == noSegment || segment.crashes.size() < m_options.minCrashes)
            continue;
        double found = evidence(segment, ends);
        if (found < m_options.weakEvidence)
            continue;
        Upstreams upstreams = upstreamsOf(segment.crashes);
        explaining.insert(upstreams);
        if (isSuspect(segment, found, now))
            suspects.push_back({ id, &segment, found, std::move(upstreams) });
    }
    std::map<Upstreams, SuspectGroup> groups; // by the upstreams that crashed
    for (const Suspect& suspect : suspects) {
        SuspectGroup& group = groups[suspect.upstreams];
        group.segments.push_back(suspect.id);
        group.lastCrash = std::max(group.lastCrash, suspect.segment->crashes.back().at);
        group.evidence = std::max(group.evidence, suspect.evidence);
    }
    std::erase_if(groups, [&](const auto& group) { return isExplained(group.first, explaining); });
    std::vector<SuspectGroup> result;
    for (auto& [upstreams, group] : groups) {
        std::sort(group.segments.begin(), group.segments.end());
        group.upstreams = upstreams;
        group.termEnd = group.lastCrash + term(group.evidence);
        group.isStrong = group.evidence >= m_options.strongEvidence - roundingSlack;
        result.push_back(std::move(group));
    }
    return result;
}

} // namespace briarwharf
