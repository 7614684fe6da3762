#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// A part of a prompt that several requests share, or the request's own last part.
struct PromptSegment {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const PromptSegment&) const = default;
};

// What this instance believes an engine to hold of the prompts that it sent there: least recently used parts
// yield when the engine's memory is full. The engine serves other instances too, so this is an estimate.
class PromptCacheEstimate {
public:
    explicit PromptCacheEstimate(std::int64_t capacityTokens = 0)
        : m_capacity(capacityTokens)
    {
    }

    // A part counts as held only with all parts before it. Tokens at the start of the prompt that are held.
    std::int64_t cachedTokens(const std::vector<PromptSegment>&) const;

    void use(const std::vector<PromptSegment>&);
    void clear();
    std::int64_t tokens() const { return m_tokens; }

private:
    struct Entry {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    std::int64_t m_capacity;
    std::int64_t m_tokens = 0;
    std::list<std::uint64_t> m_order; // least recently used first
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace briarwharf
