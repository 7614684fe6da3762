#include "request/partmemory.h"

namespace briarwharf {

std::int64_t PromptCacheEstimate::cachedTokens(const std::vector<PromptSegment>& segments) const
{
    std::int64_t held = 0;
    for (const PromptSegment& part : segments) {
        auto found = m_entries.find(part.id);
        if (found == m_entries.end())
            break;
        held += part.tokens;
    }
    return held;
}

void PromptCacheEstimate::use(const std::vector<PromptSegment>& segments)
{
    // From the last to the first: a part without those before it is useless, so it must yield earlier.
    for (auto part = segments.rbegin(); part != segments.rend(); ++part) {
        auto found = m_entries.find(part->id);
        if (found != m_entries.end()) {
            m_order.splice(m_order.end(), m_order, found->second.position);
            continue;
        }
        m_entries.emplace(part->id, Entry { part->tokens, m_order.insert(m_order.end(), part->id) });
        m_tokens += part->tokens;
    }
    while (m_tokens > m_capacity && !m_order.empty()) {
        auto oldest = m_entries.find(m_order.front());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_order.pop_front();
    }
}

void PromptCacheEstimate::clear()
{
    m_entries.clear();
    m_order.clear();
    m_tokens = 0;
}

} // namespace briarwharf
