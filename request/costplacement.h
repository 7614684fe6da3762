#pragma once

#include "base/time.h"
#include "request/partmemory.h"
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// A request as placement sees it.
struct WorkItem {
    std::vector<PromptPart> parts; // empty for plain services
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; // expected
    std::uint64_t hash = 0; // of the request, for jitter
};

// An upstream as an instance sees it when it places a request.
struct UpstreamCandidate {
    std::uint32_t hash = 0; // of the upstream's id
    bool sameDomain = false;
    bool avoid = false; // failed lately; used only if all candidates are to be avoided
    int slots = 1;
    int requests = 0; // in progress, of all instances
    std::int64_t promptTokens = 0; // of requests whose answer has not begun, of all instances
    double slowness = 1; // time to the first byte, over what was expected
};

struct CostSettings {
    double promptTokensPerMs = 60; // that an engine reads while nothing else waits
    double firstTokenMs = 10; // of an engine, without prompt or queue
    double requestMs = 1.5; // delay by each request that runs at an engine
    double serviceMs = 25; // of a plain service, for one request
    double crossDomainMs = 3; // what a byte between failure domains is worth, as time
    // No upstream gets a request while it holds more than this multiple of the mean of its pool, and a few.
    double loadBound = 1.5;
    double loadBoundExtra = 2;
    // An upstream this far down the rendezvous order of a part is assumed to hold it, as others were sent
    // there.
    std::size_t homes = 1;
    double jitter = 0.02; // share of the cost, by hash of the request
};

struct CostDecision {
    std::size_t index = 0; // of the candidate
    double expectedMs = 0; // to the first byte
    std::int64_t heldTokens = 0; // of the prompt, expected to be in the engine's memory
    std::int64_t promptTokens = 0; // to be read
    bool home = false; // first in the rendezvous order
};

// Chooses the upstream with the least expected time to the first byte, where prompt parts that an engine
// holds count as time saved: reuse and balance are one currency. All instances rank the engines of a prompt
// part by the same rendezvous order, so they agree on its home without talking.
//
//   CostPlacement placement(settings);
//   auto decision = placement.chooseEngine(item, candidates);
//   placement.placed(item, candidates[decision->index].hash, memoryTokens);
class CostPlacement {
public:
    explicit CostPlacement(CostSettings);

    // Nothing if there is no candidate.
    std::optional<CostDecision> chooseEngine(const WorkItem&, const std::vector<UpstreamCandidate>&) const;
    std::optional<CostDecision> chooseService(const WorkItem&, const std::vector<UpstreamCandidate>&) const;

    // The engine was given the prompt; it holds `memoryTokens` in all.
    void placed(const WorkItem&, std::uint32_t upstream, std::int64_t memoryTokens);

    // The upstream started anew or is gone: it holds nothing.
    void forget(std::uint32_t upstream);

    const CostSettings& settings() const { return m_settings; }

private:
    std::int64_t expectedHeld(const WorkItem&, std::uint32_t upstream, bool home) const;
    static std::uint64_t affinityKey(const WorkItem&);

    CostSettings m_settings;
    std::unordered_map<std::uint32_t, PartMemory> m_memories; // by upstream
};

} // namespace briarwharf
