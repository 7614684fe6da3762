#pragma once

#include "base/base.h"
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// One message of a conversation in a prefix cache: the hash of the conversation up to and including the
// message, and the number of tokens of the message.
struct PrefixSegment {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

// The prompt-prefix cache of an engine: an LRU cache of segments, limited by the sum of their tokens.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    // Number of tokens of the longest cached prefix of the segments; marks that prefix as used.
    std::uint64_t lookUp(const std::vector<PrefixSegment>&);

    // Number of leading segments that are cached; does not mark them as used.
    std::size_t cachedSegments(const std::vector<PrefixSegment>&) const;

    // Adds the segments, then evicts the least recently used ones until the capacity holds again. Returns the
    // hashes of the evicted segments.
    std::vector<std::uint64_t> insert(const std::vector<PrefixSegment>&);

    std::uint64_t tokens() const { return m_tokens; }

private:
    using Order = std::list<PrefixSegment>;

    void touch(const std::vector<PrefixSegment>&, std::size_t count);

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    Order m_order; // most recently used first
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
};

} // namespace briarwharf
