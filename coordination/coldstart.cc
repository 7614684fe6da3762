#include "coordination/coldstart.h"

#include <algorithm>

namespace briarwharf {

namespace {

    // An upstream that is listed again within this time has not started anew: a registry that was unavailable
    // or restored may have lost its entry.
    constexpr std::chrono::minutes retention { 10 };

} // namespace

void ColdStarts::setUpstreams(const std::vector<ListedStart>& listed, MonotonicTime now)
{
    for (const ListedStart& entry : listed) {
        auto [known, isNew] = m_starts.try_emplace(entry.upstream);
        Start& start = known->second;
        start.listedAt = now;
        start.byEntry = entry.coldUntil.value_or(MonotonicTime {});
        if (isNew && m_isListed && !entry.coldUntil)
            start.byStart = now + entry.coldDuration;
    }
    m_isListed = true;
    std::erase_if(m_starts, [now](const auto& entry) { return now - entry.second.listedAt >= retention; });
}

void ColdStarts::answered(std::uint32_t upstream, Milliseconds remaining, MonotonicTime now)
{
    auto found = m_starts.find(upstream);
    if (found != m_starts.end())
        found->second.byAnswer = std::max(found->second.byAnswer, now + remaining);
}

MonotonicTime ColdStarts::coldUntil(std::uint32_t upstream) const
{
    auto found = m_starts.find(upstream);
    if (found == m_starts.end())
        return {};
    const Start& start = found->second;
    return std::max({ start.byEntry, start.byStart, start.byAnswer });
}

} // namespace briarwharf
