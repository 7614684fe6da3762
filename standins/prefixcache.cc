#include "standins/prefixcache.h"

namespace briarwharf {

std::uint64_t PrefixCache::lookUp(const std::vector<PrefixSegment>& segments)
{
    std::size_t count = cachedSegments(segments);
    touch(segments, count);
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i < count; ++i)
        tokens += segments[i].tokens;
    return tokens;
}

std::size_t PrefixCache::cachedSegments(const std::vector<PrefixSegment>& segments) const
{
    std::size_t count = 0;
    while (count < segments.size() && m_index.contains(segments[count].hash))
        ++count;
    return count;
}

void PrefixCache::touch(const std::vector<PrefixSegment>& segments, std::size_t count)
{
    // The first messages are moved to the front last, so that a conversation is evicted from its end: a
    // cached message is of use only while all messages before it are cached.
    for (std::size_t i = count; i-- > 0;)
        m_order.splice(m_order.begin(), m_order, m_index[segments[i].hash]);
}

std::vector<std::uint64_t> PrefixCache::insert(const std::vector<PrefixSegment>& segments)
{
    for (const auto& segment : segments) {
        if (m_index.contains(segment.hash))
            continue;
        m_order.push_front(segment);
        m_index[segment.hash] = m_order.begin();
        m_tokens += segment.tokens;
    }
    touch(segments, segments.size());
    std::vector<std::uint64_t> removed;
    while (m_tokens > m_capacity && !m_order.empty()) {
        const auto& last = m_order.back();
        removed.push_back(last.hash);
        m_tokens -= last.tokens;
        m_index.erase(last.hash);
        m_order.pop_back();
    }
    return removed;
}

} // namespace briarwharf
