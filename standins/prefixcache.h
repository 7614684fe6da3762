#pragma once

#include "base/base.h"
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// A part of a conversation in a prefix cache: the hash of everything up to and including one message, and the
// tokens of that message.
struct PrefixSegment {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

// The prompt-prefix cache of an engine: segments in least-recently-used order, bounded by their tokens.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    // Tokens of the longest cached prefix of the segments; its parts count as used.
    std::uint64_t lookUp(const std::vector<PrefixSegment>&);

    // Number of leading segments that are cached, without counting as use.
    std::size_t cachedSegments(const std::vector<PrefixSegment>&) const;

    // Keeps the segments and removes the least recently used ones until the bound holds again; returns the
    // hashes that were removed.
    std::vector<std::uint64_t> insert(const std::vector<PrefixSegment>&);

    std::uint64_t tokens() const { return m_tokens; }

private:
    using Order = std::list<PrefixSegment>;

    void touch(const std::vector<PrefixSegment>&, std::size_t count);

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    Order m_order; // the most recently used first
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
};

} // namespace briarwharf
