#include "process/quarantinearchive.h"

#include "base/base.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwharf {

namespace {

    // A quarantine is saved when its evidence has not changed for this long: several crashes often come in
    // quick succession.
    constexpr Milliseconds settleTime { 500 };
    constexpr Milliseconds retryDelay { 2000 };

    // As many of the upstreams as the evidence is worth: each counts as an incident when the quarantine is
    // restored, and all that ended in one incident together do not count for more.
    std::vector<std::uint32_t> savedUpstreamsOf(const SuspectGroup& group)
    {
        auto count = static_cast<std::size_t>(std::max(std::lround(group.evidence), 1L));
        std::vector<std::uint32_t> upstreams = group.upstreams;
        upstreams.resize(std::min(upstreams.size(), count));
        return upstreams;
    }

} // namespace

QuarantineArchive::QuarantineArchive(
    const Membership& membership, SegmentQuarantine& quarantine, DirectorySource& source)
    : m_membership(membership)
    , m_quarantine(quarantine)
    , m_source(source)
{
}

void QuarantineArchive::restore(
    const std::vector<SavedQuarantine>& saved, MonotonicTime now, WallTime wallNow)
{
    bool isFirst = !std::exchange(m_restored, true);
    for (const SavedQuarantine& quarantine : saved) {
        auto age = std::max<std::chrono::nanoseconds>(wallNow - quarantine.lastCrash, Milliseconds(0));
        if (isFirst)
            m_quarantine.restore(quarantine.segments, quarantine.upstreams, now - age, now);
        Copy& copy = m_copies[quarantine.segments];
        copy.returned = !isFirst;
        copy.savedUpstreams = copy.seenUpstreams = quarantine.upstreams;
    }
}

void QuarantineArchive::sourceRestored()
{
    ++m_sourceRestores;
    for (auto& [segments, copy] : m_copies)
        copy.savedUpstreams.clear();
}

const SuspectGroup* QuarantineArchive::inForce(const Segments& segments) const
{
    const auto& groups = m_quarantine.groups();
    auto found = std::find_if(
        groups.begin(), groups.end(), [&](const SuspectGroup& group) { return group.segments == segments; });
    return found == groups.end() ? nullptr : &*found;
}

void QuarantineArchive::tick(MonotonicTime now, WallTime wallNow)
{
    for (const SuspectGroup& group : m_quarantine.groups()) {
        Copy& copy = m_copies[group.segments];
        if (copy.seenUpstreams == group.upstreams)
            continue;
        copy.seenUpstreams = group.upstreams;
        copy.changedAt = now;
    }
    for (auto entry = m_copies.begin(); entry != m_copies.end();) {
        auto& [segments, copy] = *entry++;
        if (copy.writing || now < copy.nextAttempt)
            continue;
        const SuspectGroup* group = inForce(segments);
        bool isOwner = m_membership.owns(segments.front());
        bool isSettled = now - copy.changedAt >= settleTime;
        if (group && isOwner && isSettled && copy.savedUpstreams != savedUpstreamsOf(*group))
            save(copy, *group, now, wallNow);
        else if (!group && (isOwner || copy.returned))
            remove(copy, segments, now);
        else if (!group)
            m_copies.erase(std::prev(entry));
    }
}

void QuarantineArchive::save(Copy& copy, const SuspectGroup& group, MonotonicTime now, WallTime wallNow)
{
    copy.writing = true;
    copy.nextAttempt = now + retryDelay;
    auto age = std::chrono::duration_cast<WallTime::duration>(now - group.lastCrash);
    std::vector<std::uint32_t> upstreams = savedUpstreamsOf(group);
    m_source.save({ group.segments, upstreams, wallNow - age },
        [this, segments = group.segments, saved = upstreams, restores = m_sourceRestores](
            const Status& status) {
            bool isLost = status && restores != m_sourceRestores;
            written(segments, status, isLost ? std::vector<std::uint32_t>() : saved);
        });
}

void QuarantineArchive::remove(Copy& copy, const Segments& segments, MonotonicTime now)
{
    copy.writing = true;
    copy.nextAttempt = now + retryDelay;
    m_source.remove({ segments, {}, {} }, [this, segments](const Status& status) {
        if (status)
            m_copies.erase(segments);
        else
            written(segments, status, {});
    });
}

void QuarantineArchive::written(
    const Segments& segments, const Status& status, std::vector<std::uint32_t> saved)
{
    auto found = m_copies.find(segments);
    if (found == m_copies.end())
        return;
    found->second.writing = false;
    if (status)
        found->second.savedUpstreams = std::move(saved);
    else
        LogLine(LogLevel::Warning, "quarantine", "not-saved").field("message", status.error().message);
}

} // namespace briarwharf
