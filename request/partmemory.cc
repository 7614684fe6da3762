#include "request/partmemory.h"

namespace briarwharf {

std::int64_t PartMemory::heldTokens(const std::vector<PromptPart>& parts) const
{
    std::int64_t held = 0;
    for (const PromptPart& part : parts) {
        auto found = m_entries.find(part.id);
        if (found == m_entries.end())
            break;
        held += part.tokens;
    }
    return held;
}

void PartMemory::use(const std::vector<PromptPart>& parts)
{
    // From the last to the first: a part without those before it is useless, so it must yield earlier.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
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

void PartMemory::clear()
{
    m_entries.clear();
    m_order.clear();
    m_tokens = 0;
}

} // namespace briarwharf
