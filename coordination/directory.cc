#include "coordination/directory.h"

#include "base/hash.h"
#include "coordination/registryrevision.h"
#include <algorithm>
#include <set>
#include <utility>

namespace briarwharf {

void updateColdRemaining(DirectoryChanges& changes, MonotonicTime now)
{
    for (UpstreamEntry& entry : changes.entries) {
        if (entry.coldRemaining)
            entry.coldRemaining = std::max(Milliseconds(0), toMilliseconds(entry.coldUntil - now));
    }
}

UpstreamDirectory::UpstreamDirectory(DirectoryOptions options)
    : m_options(options)
{
}

bool UpstreamDirectory::replace(
    const std::vector<UpstreamEntry>& entries, std::uint64_t revision, MonotonicTime now)
{
    if (revision < m_revision)
        return false;
    bool isFirstList = !loaded();
    if (isFirstList)
        m_removalsKnownSince = revision;
    else if (revision > m_revision)
        recordListGap(m_revision, revision);
    setRevision(revision, now);
    std::set<std::string> present;
    bool changed = isFirstList;
    for (const auto& entry : entries) {
        present.insert(entry.id);
        changed |= addOrUpdate(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_upstreams) {
        if (!present.count(id) && !m_held.count(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        changed |= handleRemoval(id, revision, now);
    return changed;
}

bool UpstreamDirectory::apply(const DirectoryChanges& changes, MonotonicTime now)
{
    if (changes.from == 0)
        return replace(changes.entries, changes.revision, now);
    if (!loaded() || changes.from > m_revision || changes.revision < m_revision)
        return false;
    setRevision(changes.revision, now);
    bool changed = false;
    for (const auto& entry : changes.entries)
        changed |= addOrUpdate(entry, now);
    for (const auto& removed : changes.removed)
        changed |= handleRemoval(removed.id, removed.revision, now);
    return changed;
}

void UpstreamDirectory::setRevision(std::uint64_t revision, MonotonicTime now)
{
    if (!loaded() || generationOf(revision) > generationOf(m_revision)) {
        m_generationStart = revision;
        m_doubtEnd = now + m_options.doubtPeriod;
    }
    m_revision = revision;
}

bool UpstreamDirectory::expire(MonotonicTime now)
{
    bool changed = false;
    for (auto held = m_held.begin(); held != m_held.end();) {
        auto current = held++;
        if (now < current->second.until)
            continue;
        removeNow(current->first, current->second.revision);
        m_held.erase(current);
        changed = true;
    }
    if (m_doubted.empty() || !isDoubtOver(now))
        return changed;
    for (const std::string& id : std::exchange(m_doubted, {}))
        m_upstreams.at(id).lapsed = false;
    return true;
}

DirectoryChanges UpstreamDirectory::changesSince(std::uint64_t from) const
{
    DirectoryChanges changes;
    changes.revision = m_revision;
    auto gap = m_gaps.upper_bound(from);
    bool inGap = gap != m_gaps.end() && from > gap->second;
    changes.from = from >= m_removalsKnownSince && from > 0 && !inGap ? from : 0;
    for (const auto& [id, entry] : m_upstreams) {
        // A held entry is missing from the registry. It must not be sent as present, or a peer would restore
        // it.
        if (!m_held.count(id) && entry.revision > changes.from)
            changes.entries.push_back(entry);
    }
    if (changes.from == 0)
        return changes;
    for (const auto& [id, hold] : m_held) {
        if (hold.revision > from)
            changes.removed.push_back({ id, hold.revision });
    }
    for (auto removed = m_removed.upper_bound(from); removed != m_removed.end(); ++removed) {
        for (const auto& id : removed->second)
            changes.removed.push_back({ id, removed->first });
    }
    return changes;
}

bool UpstreamDirectory::addOrUpdate(const UpstreamEntry& listed, MonotonicTime now)
{
    auto held = m_held.find(listed.id);
    if (held != m_held.end() && listed.revision <= held->second.revision)
        return false;
    if (held != m_held.end())
        m_held.erase(held);
    auto found = m_upstreams.find(listed.id);
    if (found != m_upstreams.end() && found->second.revision > listed.revision)
        return false;
    UpstreamEntry entry = listed;
    entry.coldUntil = entry.coldRemaining ? now + *entry.coldRemaining : MonotonicTime {};
    // A remaining time that was read before has been running out since then.
    if (found != m_upstreams.end() && found->second.revision == listed.revision) {
        entry.coldRemaining = found->second.coldRemaining;
        entry.coldUntil = found->second.coldUntil;
    }
    bool isEarlierStart = found != m_upstreams.end() && listed.started < found->second.started
        && generationOf(listed.revision) > generationOf(found->second.revision);
    if (isEarlierStart && listed.started != 0) {
        entry = found->second;
        entry.revision = listed.revision;
    }
    applyDepartures(entry, now);
    if (found != m_upstreams.end() && found->second == entry)
        return false;
    m_upstreams.insert_or_assign(entry.id, entry);
    return true;
}

// The departure that the entry contradicts, if the entry may be from an older copy of the registry. An entry
// that changed after the restore is not, but an upstream that announced its draining does not become ready
// again before it restarts.
const UpstreamDeparture* UpstreamDirectory::contradictedDeparture(
    const UpstreamEntry& entry, MonotonicTime now) const
{
    auto known = m_departures.find(hash64(entry.id));
    if (known == m_departures.end())
        return nullptr;
    const UpstreamDeparture& departure = known->second;
    bool isOlder = generationOf(departure.revision) < generationOf(entry.revision)
        || (departure.draining && entry.revision <= departure.revision);
    bool hasRestarted = departure.started != 0 && entry.started > departure.started;
    bool changedSinceRestore = entry.revision > m_generationStart;
    bool isFinal = departure.draining && departure.started != 0;
    bool isResolved = changedSinceRestore || (!departure.draining && isDoubtOver(now));
    if (!isOlder || hasRestarted || (isResolved && !isFinal))
        return nullptr;
    return departure.draining && entry.draining ? nullptr : &departure;
}

void UpstreamDirectory::applyDepartures(UpstreamEntry& entry, MonotonicTime now)
{
    const UpstreamDeparture* departure = contradictedDeparture(entry, now);
    entry.lapsed = departure && !departure->draining;
    if (!departure) {
        m_doubted.erase(entry.id);
        if (entry.draining)
            recordDeparture(entry, entry.revision);
        else
            m_departures.erase(hash64(entry.id));
        return;
    }
    m_contradicted.push_back(*departure);
    if (departure->draining)
        entry.draining = true;
    else
        m_doubted.insert(entry.id);
}

void UpstreamDirectory::recordDeparture(const UpstreamEntry& entry, std::uint64_t revision)
{
    insertDeparture({ hash64(entry.id), entry.started, revision, entry.draining });
}

void UpstreamDirectory::insertDeparture(const UpstreamDeparture& departure)
{
    if (m_departures.insert_or_assign(departure.upstream, departure).second)
        m_departureOrder.push_back(departure.upstream);
    while (m_departureOrder.size() > m_options.maxDepartures) {
        m_departures.erase(m_departureOrder.front());
        m_departureOrder.pop_front();
    }
}

bool UpstreamDirectory::learn(const UpstreamDeparture& departure, MonotonicTime now)
{
    auto known = m_departures.find(departure.upstream);
    bool isNew = known == m_departures.end() || departure.started > known->second.started
        || (departure.started == known->second.started && departure.draining && !known->second.draining);
    if (!isNew || (!departure.draining && isDoubtOver(now)))
        return false;
    insertDeparture(departure);
    m_contradicted.push_back(departure);
    auto found = std::find_if(m_upstreams.begin(), m_upstreams.end(),
        [&](const auto& upstream) { return hash64(upstream.first) == departure.upstream; });
    if (found == m_upstreams.end() || m_held.count(found->first)
        || !contradictedDeparture(found->second, now))
        return false;
    applyDepartures(found->second, now);
    return true;
}

bool UpstreamDirectory::handleRemoval(const std::string& id, std::uint64_t revision, MonotonicTime now)
{
    auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        // The entry was added and removed within one batch of changes; a peer may have received it in
        // between.
        recordRemoval(id, revision);
        return false;
    }
    if (found->second.revision > revision)
        return false;
    bool isLost = generationOf(revision) > generationOf(found->second.revision);
    if (!isLost)
        recordDeparture(found->second, revision);
    m_doubted.erase(id);
    if (!found->second.draining) {
        found->second.lapsed = true;
        Milliseconds hold = isLost ? m_options.restoreHold : m_options.lapseHold;
        auto [held, isNew] = m_held.emplace(id, Hold { now + hold, revision });
        held->second.revision = std::max(held->second.revision, revision);
        return isNew;
    }
    m_held.erase(id);
    removeNow(id, revision);
    return true;
}

void UpstreamDirectory::removeNow(const std::string& id, std::uint64_t revision)
{
    m_upstreams.erase(id);
    recordRemoval(id, revision);
}

void UpstreamDirectory::recordRemoval(const std::string& id, std::uint64_t revision)
{
    if (revision <= m_removalsKnownSince)
        return;
    m_removed[revision].push_back(id);
    ++m_removedCount;
    while (m_removedCount > m_options.maxKeptRemovals) {
        auto oldest = m_removed.begin();
        m_removalsKnownSince = oldest->first;
        m_removedCount -= oldest->second.size();
        m_removed.erase(oldest);
    }
}

// A complete list does not show which entries were added and removed again since the previous revision.
void UpstreamDirectory::recordListGap(std::uint64_t from, std::uint64_t to)
{
    constexpr std::size_t maxGaps = 64;
    m_gaps[to] = from;
    while (m_gaps.size() > maxGaps) {
        m_removalsKnownSince = std::max(m_removalsKnownSince, m_gaps.begin()->first);
        m_gaps.erase(m_gaps.begin());
    }
}

} // namespace briarwharf
