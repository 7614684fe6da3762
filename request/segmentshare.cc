#include "request/segmentshare.h"

#include <algorithm>

namespace briarwharf {

void SegmentShares::record(std::uint64_t segment)
{
    if (m_total >= m_window)
        halve();
    ++m_counts[segment];
    ++m_total;
}

double SegmentShares::repeatShare(std::uint64_t segment) const
{
    auto found = m_counts.find(segment);
    if (found == m_counts.end())
        return 0;
    return static_cast<double>(found->second - 1) / static_cast<double>(std::max(m_total, m_window / 2));
}

void SegmentShares::halve()
{
    m_total = 0;
    for (auto entry = m_counts.begin(); entry != m_counts.end();) {
        entry->second /= 2;
        m_total += entry->second;
        entry = entry->second == 0 ? m_counts.erase(entry) : std::next(entry);
    }
}

} // namespace briarwharf
