#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// A segment of a prompt: either one that several requests share, or the last one, which belongs to a single
// request.
struct PromptSegment {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const PromptSegment&) const = default;
};

// Estimates what an engine caches of the prompts that this instance sent to it. The least recently used
// segments are evicted when the capacity of the engine's cache is exceeded, or when there are more of them
// than may be kept: callers choose how many segments a prompt has, and how short they are. The engine also
// serves other instances, whose prompts are not known here, so the estimate can differ from the real cache.
class PromptCacheEstimate {
public:
    explicit PromptCacheEstimate(std::int64_t capacityTokens = 0)
        : m_capacity(capacityTokens)
    {
    }

    // Returns the number of tokens at the start of the prompt that are cached. A segment counts only if all
    // segments before it are cached.
    std::int64_t cachedTokens(const std::vector<PromptSegment>&) const;

    // `maxSegments`: how many may be kept from now on.
    void recordUse(const std::vector<PromptSegment>&, std::size_t maxSegments);
    void clear();
    std::int64_t tokens() const { return m_cachedTokens; }
    std::size_t segments() const { return m_entries.size(); }

private:
    struct Entry {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    std::int64_t m_capacity;
    std::int64_t m_cachedTokens = 0;
    std::list<std::uint64_t> m_order; // least recently used first
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace briarwharf
