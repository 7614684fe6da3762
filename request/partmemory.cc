#include "request/partmemory.h"

namespace briarwharf {

std::int64_t PromptCacheEstimate::cachedTokens(const std::vector<PromptSegment>& segments) const
{
    std::int64_t cached = 0;
    for (const PromptSegment& segment : segments) {
        auto found = m_entries.find(segment.id);
        if (found == m_entries.end())
            break;
        cached += segment.tokens;
    }
    return cached;
}

void PromptCacheEstimate::recordUse(const std::vector<PromptSegment>& segments, std::size_t maxSegments)
{
    // From the last segment to the first: a segment is useless without those before it, so it must be evicted
    // before them.
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        auto found = m_entries.find(segment->id);
        if (found != m_entries.end()) {
            m_order.splice(m_order.end(), m_order, found->second.position);
            continue;
        }
        m_entries.emplace(segment->id, Entry { segment->tokens, m_order.insert(m_order.end(), segment->id) });
        m_cachedTokens += segment->tokens;
    }
    while ((m_cachedTokens > m_capacity || m_entries.size() > maxSegments) && !m_order.empty()) {
        auto oldest = m_entries.find(m_order.front());
        m_cachedTokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_order.pop_front();
    }
}

void PromptCacheEstimate::clear()
{
    m_entries.clear();
    m_order.clear();
    m_cachedTokens = 0;
}

} // namespace briarwharf
