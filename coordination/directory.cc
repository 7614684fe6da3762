#include "coordination/directory.h"

#include "base/hash.h"
#include "coordination/registryrevision.h"
#include <algorithm>
#include <set>
#include <utility>

namespace briarwharf {

namespace {

    // End of a doubt that only a change of the entry resolves.
    constexpr MonotonicTime noEnd = MonotonicTime::max();

    // Whether the upstream wrote the entry after its departure.
    bool isNewer(const UpstreamEntry& entry, const UpstreamDeparture& departure)
    {
        if (departure.draining)
            return precedes(departure.order(), entry.order());
        return departure.started != 0 && entry.started > departure.started;
    }

    // Whether the entry is known from a later report than the listed one.
    bool isLaterReport(const UpstreamEntry& entry, const UpstreamEntry& listed)
    {
        return precedes(listed.order(), entry.order()) || entry.draining != listed.draining;
    }

    bool isSameReport(const UpstreamEntry& entry, const UpstreamDeparture& departure)
    {
        return entry.sequence && entry.order() == departure.order();
    }

    // Whether two reports differ in nothing but their order.
    bool isSameState(const UpstreamEntry& one, const UpstreamEntry& other)
    {
        return one.started == other.started && one.draining == other.draining
            && one.endpoint == other.endpoint && one.pool == other.pool && one.slots == other.slots
            && one.failureDomain == other.failureDomain;
    }

} // namespace

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
    for (auto doubt = m_doubts.begin(); doubt != m_doubts.end();) {
        if (now < doubt->second.until) {
            ++doubt;
            continue;
        }
        const UpstreamEntry& listed = doubt->second.listed;
        m_departures.erase(hash64(listed.id));
        accept(listed);
        m_upstreams.insert_or_assign(listed.id, listed);
        doubt = m_doubts.erase(doubt);
        changed = true;
    }
    return changed;
}

void UpstreamDirectory::extendDoubts(MonotonicTime now)
{
    for (auto& [id, doubt] : m_doubts) {
        if (doubt.until != noEnd)
            doubt.until = now + m_options.doubtPeriod;
    }
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
        if (m_held.count(id) || entry.revision <= changes.from)
            continue;
        // The peer judges for itself, by the later report and what the registry lists.
        auto doubt = m_doubts.find(id);
        if (doubt == m_doubts.end() || isLaterReport(entry, doubt->second.listed))
            changes.entries.push_back(entry);
        if (doubt != m_doubts.end())
            changes.entries.push_back(doubt->second.listed);
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
    if (isOutdated(listed))
        return false;
    m_held.erase(listed.id);
    auto found = m_upstreams.find(listed.id);
    const UpstreamEntry* known = found == m_upstreams.end() ? nullptr : &found->second;
    UpstreamEntry entry = listed;
    entry.coldUntil = entry.coldRemaining ? now + *entry.coldRemaining : MonotonicTime {};
    // A remaining time that was read before has been running out since then.
    if (known && known->revision == listed.revision) {
        entry.coldRemaining = known->coldRemaining;
        entry.coldUntil = known->coldUntil;
    }
    Verdict verdict = judge(entry, known, now);
    if (verdict.departure && !isInDoubt(entry))
        m_contradicted.push_back(*verdict.departure);
    return enforce(entry, verdict);
}

// Whether a later revision of the entry, or its removal at a later one, is known.
bool UpstreamDirectory::isOutdated(const UpstreamEntry& listed) const
{
    auto held = m_held.find(listed.id);
    if (held != m_held.end() && listed.revision <= held->second.revision)
        return true;
    auto found = m_upstreams.find(listed.id);
    return found != m_upstreams.end() && found->second.revision > listed.revision;
}

UpstreamDirectory::Verdict UpstreamDirectory::judge(
    const UpstreamEntry& listed, const UpstreamEntry* known, MonotonicTime now) const
{
    const UpstreamDeparture* departure = contradictedDeparture(listed, now);
    Verdict verdict { listed, departure, std::nullopt };
    UpstreamEntry& entry = verdict.entry;
    bool isOlderReport = known && precedes(listed.order(), known->order());
    if (isOlderReport) {
        entry = *known;
        entry.revision = listed.revision;
    }
    entry.lapsed = departure && !departure->draining;
    entry.draining = entry.draining || (departure && departure->draining);
    bool isOlderThanDeparture = departure && precedes(listed.order(), departure->order());
    // The drain may be one that another writer set, which a restored registry does not have.
    bool isReportOfDeparture = departure && departure->draining && isSameReport(listed, *departure);
    if (isOlderThanDeparture || isReportOfDeparture || (isOlderReport && !isSameState(listed, entry)))
        verdict.doubtUntil = now + m_options.doubtPeriod;
    else if (departure)
        verdict.doubtUntil = entry.lapsed ? m_doubtEnd : noEnd;
    return verdict;
}

// Returns true if the upstream in force changed. The doubt period of an entry that was in doubt before goes
// on.
bool UpstreamDirectory::enforce(const UpstreamEntry& listed, const Verdict& verdict)
{
    const UpstreamEntry& entry = verdict.entry;
    if (!verdict.doubtUntil) {
        m_doubts.erase(entry.id);
        accept(entry);
    } else if (!isInDoubt(listed)) {
        m_doubts.insert_or_assign(entry.id, Doubt { listed, *verdict.doubtUntil });
    }
    auto found = m_upstreams.find(entry.id);
    if (found != m_upstreams.end() && found->second == entry)
        return false;
    m_upstreams.insert_or_assign(entry.id, entry);
    return true;
}

bool UpstreamDirectory::isInDoubt(const UpstreamEntry& listed) const
{
    auto doubt = m_doubts.find(listed.id);
    return doubt != m_doubts.end() && doubt->second.listed.revision == listed.revision;
}

const UpstreamDeparture* UpstreamDirectory::contradictedDeparture(
    const UpstreamEntry& entry, MonotonicTime now) const
{
    auto known = m_departures.find(hash64(entry.id));
    if (known == m_departures.end() || !contradicts(entry, known->second, now))
        return nullptr;
    return &known->second;
}

// Whether the upstream may have written the entry before its departure. An entry that the order of its
// reports does not place may be from an older copy of the registry, unless it changed after the restore. But
// an upstream that announced its draining does not become ready again before it restarts.
bool UpstreamDirectory::contradicts(
    const UpstreamEntry& entry, const UpstreamDeparture& departure, MonotonicTime now) const
{
    if (entry.draining && departure.draining)
        return false;
    if (precedes(entry.order(), departure.order()))
        return true;
    if (isNewer(entry, departure))
        return false;
    bool isOlder = generationOf(departure.revision) < generationOf(entry.revision)
        || (departure.draining && entry.revision <= departure.revision);
    bool changedSinceRestore = entry.revision > m_generationStart;
    bool isFinal = departure.draining && departure.started != 0;
    bool isResolved = changedSinceRestore || (!departure.draining && isGenerationDoubtOver(now));
    return isOlder && (isFinal || !isResolved);
}

// Makes the entry's report the last one of its upstream.
void UpstreamDirectory::accept(const UpstreamEntry& entry)
{
    if (entry.draining)
        recordDeparture(entry, entry.revision);
    else
        m_departures.erase(hash64(entry.id));
}

void UpstreamDirectory::recordDeparture(const UpstreamEntry& entry, std::uint64_t revision)
{
    insertDeparture({ hash64(entry.id), entry.started, revision, entry.draining, entry.sequence });
}

void UpstreamDirectory::insertDeparture(const UpstreamDeparture& departure)
{
    auto [known, isNew] = m_departures.try_emplace(departure.upstream, departure);
    if (isNew)
        m_departureOrder.push_back(departure.upstream);
    else if (!precedes(departure.order(), known->second.order()))
        known->second = departure;
    while (m_departureOrder.size() > m_options.maxDepartures) {
        m_departures.erase(m_departureOrder.front());
        m_departureOrder.pop_front();
    }
}

// Whether the departure says more of its upstream than the one that is known.
bool UpstreamDirectory::isNews(const UpstreamDeparture& departure) const
{
    auto known = m_departures.find(departure.upstream);
    if (known == m_departures.end())
        return true;
    const UpstreamDeparture& before = known->second;
    if (departure.started != before.started || (departure.draining && before.draining))
        return precedes(before.order(), departure.order());
    return departure.draining && !before.draining;
}

std::map<std::string, UpstreamEntry>::const_iterator UpstreamDirectory::findByHash(std::uint64_t hash) const
{
    return std::find_if(m_upstreams.begin(), m_upstreams.end(),
        [hash](const auto& upstream) { return hash64(upstream.first) == hash; });
}

bool UpstreamDirectory::learn(const UpstreamDeparture& departure, MonotonicTime now)
{
    if (!isNews(departure))
        return false;
    auto found = findByHash(departure.upstream);
    if (found == m_upstreams.end() || m_held.count(found->first)) {
        insertDeparture(departure);
        m_contradicted.push_back(departure);
        return false;
    }
    auto doubt = m_doubts.find(found->first);
    UpstreamEntry listed = doubt == m_doubts.end() ? found->second : doubt->second.listed;
    bool isContradicted = contradicts(listed, departure, now);
    bool cameBack = !departure.draining && listed.revision > departure.revision;
    if (isNewer(found->second, departure) || (cameBack && !isContradicted))
        return false;
    insertDeparture(departure);
    m_contradicted.push_back(departure);
    return isContradicted && enforce(listed, judge(listed, &found->second, now));
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
    m_doubts.erase(id);
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
