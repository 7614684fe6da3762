#include "coordination/directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarwharf {

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
    m_revision = revision;
    std::set<std::string> present;
    bool changed = isFirstList;
    for (const auto& entry : entries) {
        present.insert(entry.id);
        changed |= addOrUpdate(entry);
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
    bool changed = false;
    for (const auto& entry : changes.entries)
        changed |= addOrUpdate(entry);
    for (const auto& removed : changes.removed)
        changed |= handleRemoval(removed.id, removed.revision, now);
    m_revision = changes.revision;
    return changed;
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
    return changed;
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

bool UpstreamDirectory::addOrUpdate(const UpstreamEntry& entry)
{
    auto held = m_held.find(entry.id);
    if (held != m_held.end() && entry.revision <= held->second.revision)
        return false;
    if (held != m_held.end())
        m_held.erase(held);
    auto found = m_upstreams.find(entry.id);
    if (found == m_upstreams.end()) {
        m_upstreams.emplace(entry.id, entry);
        return true;
    }
    if (found->second.revision > entry.revision || found->second == entry)
        return false;
    found->second = entry;
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
    if (!found->second.draining) {
        found->second.lapsed = true;
        auto [held, isNew] = m_held.emplace(id, Hold { now + m_options.lapseHold, revision });
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
