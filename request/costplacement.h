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
    std::vector<PromptSegment> segments; // empty for plain services
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; // expected
    Milliseconds targetLatency { 1000 }; // to the first byte
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
    double outputTokenMs = 3.5; // between two tokens of an engine
    double requestMs = 0.2; // delay of a first token by each request that runs at an engine
    double serviceMs = 25; // of a plain service, for one request
    double crossDomainMs = 3; // what a byte between failure domains is worth, as time
    // Weights of a millisecond: of an engine's reading, which delays all others there; of the caller's wait;
    // and of the wait beyond a part of the route's target, after which the answer may be late.
    double readWeight = 1;
    double waitWeight = 0.2;
    double lateWeight = 5;
    double safePartOfTarget = 0.5;
    double slowFrom = 2; // slowness below this is within what single answers scatter
    // No upstream gets a request while it holds more than this multiple of the mean of its pool, and a few.
    double loadBound = 1.6;
    double loadBoundExtra = 2;
    // The first of the rendezvous order of a prompt is assumed to hold its shared parts, since all instances
    // send them there; the second gets them when the first is busy, and is assumed to hold this part of them.
    double secondHolds = 0.5;
    double jitter = 0.02; // share of the cost, by hash of the request
};

// Why a request goes where it goes.
enum class CostReason {
    Home, // first in the rendezvous order of its prompt
    Cheaper, // another engine costs less, its own memory or its short queue counted
    HomeOverBound, // the home holds too large a part of the pool's requests
    HomeAvoided, // the home failed or refused lately, or its entry lapsed
    Service, // a plain service: no home
};

std::string_view costReasonName(CostReason);

struct CostDecision {
    std::size_t index = 0; // of the candidate
    double expectedMs = 0; // to the first byte
    std::int64_t cachedTokens = 0; // of the prompt, expected to be in the engine's memory
    std::int64_t promptTokens = 0; // to be read
    CostReason reason = CostReason::Service;
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
    std::int64_t expectedHeld(const WorkItem&, std::uint32_t upstream, std::size_t rank) const;
    double cost(const WorkItem&, const UpstreamCandidate&, double expectedMs, std::int64_t toRead) const;
    static std::uint64_t affinityKey(const WorkItem&);

    CostSettings m_settings;
    std::unordered_map<std::uint32_t, PromptCacheEstimate> m_memories; // by upstream
};

} // namespace briarwharf
