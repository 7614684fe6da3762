#include "coordination/quarantine.h"

#include "base/log.h"
#include "base/number.h"
#include <algorithm>
#include <limits>

namespace briarwharf {

namespace {

    constexpr Milliseconds cleanupInterval { 1000 };
    // Records of segments that were forgotten since are removed when there are more than this, and more than
    // twice as many as were left the last time.
    constexpr std::size_t minRecordsToCleanUp = 8192;

    constexpr std::size_t maxLoggedSegments = 32;
    // More crashes than that without an answer come from many requests, so that the owner has some as well.
    constexpr std::size_t maxCrashesForOpenTrials = 4;

    // The form in which a time is sent to other instances, whose clocks have another origin.
    std::uint32_t ageMilliseconds(MonotonicTime at, MonotonicTime now)
    {
        constexpr std::int64_t oldest = std::numeric_limits<std::uint32_t>::max();
        std::int64_t age = toMilliseconds(now - at).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, oldest));
    }

    using SortedSegments = std::vector<std::uint64_t>;

    SortedSegments sorted(std::span<const std::uint64_t> segments)
    {
        SortedSegments result(segments.begin(), segments.end());
        std::sort(result.begin(), result.end());
        return result;
    }

    // Both in ascending order.
    bool containsAll(const SortedSegments& segments, const std::vector<std::uint64_t>& wanted)
    {
        return std::includes(segments.begin(), segments.end(), wanted.begin(), wanted.end());
    }

    std::string printIdentifiers(const std::vector<std::uint64_t>& segments)
    {
        std::string out;
        for (std::size_t index = 0; index < std::min(segments.size(), maxLoggedSegments); ++index)
            out += (out.empty() ? "" : ",") + printHex(segments[index]);
        return out;
    }

    void logChange(std::string_view event, const SuspectGroup& group)
    {
        LogLine(LogLevel::Warning, "quarantine", event)
            .field("segments", printIdentifiers(group.segments))
            .field("count", group.segments.size())
            .field("crashes", group.upstreams.size())
            .field("evidence", group.evidence);
    }

    bool hasGroupOf(const std::vector<SuspectGroup>& groups, const SuspectGroup& wanted)
    {
        return std::any_of(groups.begin(), groups.end(),
            [&](const SuspectGroup& group) { return group.segments == wanted.segments; });
    }

} // namespace

SegmentQuarantine::SegmentQuarantine(const Membership& membership, QuarantineOptions options)
    : m_membership(membership)
    , m_options(options)
    , m_evidence(options.evidence)
    , m_maxRecords(minRecordsToCleanUp)
{
}

template <typename Evidence> void SegmentQuarantine::add(const Evidence& evidence)
{
    if (!m_evidence.add(evidence))
        return;
    m_records.add(evidence);
    m_changed = true;
}

// Tells the fleet also when this instance has seen the segment answered before: the others may not have.
void SegmentQuarantine::addCrash(const SegmentCrash& crash)
{
    add(crash);
    auto answered = m_recentAnswers.latest(crash.segment);
    if (answered && m_evidence.needsAnswer(crash.segment, *answered))
        add(SegmentAnswer { crash.segment, *answered });
}

void SegmentQuarantine::recordCrash(
    std::span<const std::uint64_t> segments, std::uint32_t upstream, MonotonicTime at, MonotonicTime now)
{
    if (segments.empty())
        add(SegmentCrash { noSegment, upstream, at });
    for (std::uint64_t segment : segments)
        addCrash({ segment, upstream, at });
    updateGroups(now);
}

void SegmentQuarantine::recordAnswer(
    std::span<const std::uint64_t> segments, MonotonicTime began, MonotonicTime now)
{
    for (std::uint64_t segment : segments) {
        m_recentAnswers.add(segment, began);
        add(SegmentAnswer { segment, began });
    }
    for (const SuspectGroup& group : m_groups) {
        Trials& trials = trialsOf(group);
        if (trials.answering == MonotonicTime {} && began > group.lastCrash)
            trials.answering = now;
    }
    updateGroups(now);
}

// The crashes are taken to be separate incidents, the last one at `lastCrash`.
void SegmentQuarantine::restore(const std::vector<std::uint64_t>& segments,
    const std::vector<std::uint32_t>& upstreams, MonotonicTime lastCrash, MonotonicTime now)
{
    MonotonicTime at = lastCrash;
    for (std::size_t index = 0; index < std::min(upstreams.size(), m_options.maxRestoredCrashes); ++index) {
        for (std::uint64_t segment : segments)
            add(SegmentCrash { segment, upstreams[index], at });
        at -= m_options.evidence.incidentGap;
    }
    updateGroups(now);
}

SegmentQuarantine::Trials& SegmentQuarantine::trialsOf(const SuspectGroup& group)
{
    Trials& trials = m_trials[group.segments];
    if (trials.lastCrash != group.lastCrash)
        trials = Trials { group.lastCrash, {}, {} };
    return trials;
}

Milliseconds SegmentQuarantine::trialRetryDelay(const SuspectGroup& group) const
{
    return group.isStrong ? m_options.strongTrialRetryDelay : m_options.weakTrialRetryDelay;
}

bool SegmentQuarantine::mayTry(const SuspectGroup& group, const Trials& trials, MonotonicTime now) const
{
    if (trials.latest != MonotonicTime {} && now - trials.latest < trialRetryDelay(group))
        return false;
    if (m_membership.owns(group.segments.front()))
        return true;
    auto ownerTime = group.isStrong ? m_options.strongOwnerTime : m_options.weakOwnerTime;
    bool isRare = group.upstreams.size() <= maxCrashesForOpenTrials;
    return isRare && trials.answering != MonotonicTime {}
    && now - std::max(trials.answering, group.termEnd) >= ownerTime;
}

std::optional<Milliseconds> SegmentQuarantine::refuse(
    std::span<const std::uint64_t> segments, MonotonicTime now)
{
    if (m_groups.empty())
        return std::nullopt;
    SortedSegments prompt = sorted(segments);
    for (const SuspectGroup& group : m_groups) {
        if (!containsAll(prompt, group.segments))
            continue;
        if (now < group.termEnd)
            return toMilliseconds(group.termEnd - now);
        Trials& trials = trialsOf(group);
        if (!mayTry(group, trials, now))
            return trialRetryDelay(group);
        trials.latest = now;
        logChange("trial", group);
    }
    return std::nullopt;
}

void SegmentQuarantine::withdrawTrial(std::span<const std::uint64_t> segments, MonotonicTime admittedAt)
{
    if (m_trials.empty())
        return;
    SortedSegments prompt = sorted(segments);
    for (auto& [tried, trials] : m_trials) {
        if (trials.latest == admittedAt && containsAll(prompt, tried))
            trials.latest = MonotonicTime {};
    }
}

bool SegmentQuarantine::isQuarantined(std::span<const std::uint64_t> segments) const
{
    if (m_groups.empty())
        return false;
    SortedSegments prompt = sorted(segments);
    return std::any_of(m_groups.begin(), m_groups.end(),
        [&](const SuspectGroup& group) { return containsAll(prompt, group.segments); });
}

void SegmentQuarantine::tick(MonotonicTime now)
{
    m_recentAnswers.expire(now);
    if (m_evidence.empty())
        return;
    m_evidence.expire(now);
    m_changed = true; // the passing of time matters as well
    updateGroups(now);
    if (now - m_lastCleanup < cleanupInterval)
        return;
    m_lastCleanup = now;
    dropOutdatedRecords(now);
}

void SegmentQuarantine::updateGroups(MonotonicTime now)
{
    if (m_records.size() > m_maxRecords)
        dropOutdatedRecords(now);
    if (!std::exchange(m_changed, false))
        return;
    std::vector<SuspectGroup> groups = m_evidence.suspects(now);
    for (const SuspectGroup& group : groups) {
        if (!hasGroupOf(m_groups, group))
            logChange("started", group);
    }
    for (const SuspectGroup& group : m_groups) {
        if (!hasGroupOf(groups, group))
            logChange("ended", group);
    }
    m_groups = std::move(groups);
    std::erase_if(m_trials, [&](const auto& trials) {
        return std::none_of(m_groups.begin(), m_groups.end(),
            [&](const SuspectGroup& group) { return group.segments == trials.first; });
    });
}

// Peers with a new link need only what still counts.
void SegmentQuarantine::dropOutdatedRecords(MonotonicTime now)
{
    m_records.removeIf([&](const Record& record) {
        if (const auto* crash = std::get_if<SegmentCrash>(&record))
            return !m_evidence.contains(*crash);
        return now - std::get<SegmentAnswer>(record).at > m_options.evidence.answerRetention;
    });
    m_maxRecords = std::max(minRecordsToCleanUp, 2 * m_records.size());
}

void SegmentQuarantine::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    m_records.send(link.peer, m_options.maxRecordsPerHeartbeat, [&](const Record& record) {
        if (const auto* crash = std::get_if<SegmentCrash>(&record))
            heartbeat.segmentCrashes.emplace_back(
                crash->segment, crash->upstream, ageMilliseconds(crash->at, now));
        else if (const auto* answer = std::get_if<SegmentAnswer>(&record))
            heartbeat.segmentAnswers.emplace_back(answer->segment, ageMilliseconds(answer->at, now));
    });
}

void SegmentQuarantine::accept(const LinkView&, const HeartbeatT& heartbeat, MonotonicTime now)
{
    for (const PeerSegmentCrash& crash : heartbeat.segmentCrashes)
        addCrash({ crash.segment(), crash.upstream(), now - Milliseconds(crash.ageMs()) });
    for (const PeerSegmentAnswer& sent : heartbeat.segmentAnswers) {
        SegmentAnswer answer { sent.segment(), now - Milliseconds(sent.ageMs()) };
        m_evidence.addAnswerTime(answer.at);
        m_changed = true;
        add(answer);
    }
    updateGroups(now);
}

bool SegmentQuarantine::urgent(const LinkView& link, MonotonicTime) const
{
    return m_records.hasNewsFor(link.peer);
}

void SegmentQuarantine::linkDown(const std::string& peer, MonotonicTime) { m_records.linkDown(peer); }

} // namespace briarwharf
