#pragma once

#include "base/time.h"
#include "request/partmemory.h"
#include "request/segmentshare.h"
#include "request/spillcontrol.h"
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwharf {

// The properties of a request by which it is placed.
struct WorkItem {
    std::vector<PromptSegment> segments; // empty for plain services
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; // expected
    Milliseconds targetLatency { 1000 }; // until the first byte
    bool copiesCache = false; // an engine can copy cached segments from another one faster than it reads them
    std::uint64_t hash = 0; // of the request, for jitter

    // The segment by which engines are ranked: the last one that other requests share, which is the last but
    // one, since the last belongs to this request alone. Without segments: the request itself.
    std::uint64_t affinityKey() const;

    // The segments that other requests may share: all but the last.
    std::span<const PromptSegment> sharedSegments() const;
    std::int64_t sharedTokens() const;
};

// What an instance knows about an upstream when it places a request.
struct UpstreamCandidate {
    std::uint32_t hash = 0; // of the upstream's identifier
    bool sameDomain = false;
    bool avoid = false; // failed recently; chosen only if all candidates are to be avoided
    int slots = 1;
    int requests = 0; // in progress from all instances
    std::int64_t pendingPromptTokens = 0; // of requests from all instances whose answer has not begun
    double homeWeight = 1; // in the rendezvous order of prompt segments
    bool limited = false; // states how many requests it takes, or is cold
    // Has just started. It keeps its rank and gets the requests of its own segments, but no others because it
    // has few requests in progress.
    bool cold = false;
    // Takes a request now. An upstream that does not is never chosen, but keeps its rank in the rendezvous
    // order, so that the segments of the others keep theirs.
    bool available = true;
    double slowness = 1; // measured time to the first byte, divided by the expected time
};

struct CostSettings {
    double promptTokensPerMs = 60; // reading rate of an engine while no other prompt waits
    double firstTokenMs = 10; // time to the first token of an engine, without prompt or queue
    double outputTokenMs = 3.5; // time between two output tokens of an engine
    double delayPerRequestMs = 0.2; // delay of the first token by each request that runs at the engine
    double serviceTimeMs = 25; // time that a plain service takes for one request
    double crossDomainPenaltyMs = 3; // cost of the traffic to another failure domain, expressed as time
    // Weights of a millisecond in the cost: readWeight for the time that the engine reads the prompt, which
    // delays all other requests there; waitWeight for the time that the caller waits; lateWeight for the wait
    // beyond safeTargetShare of the route's target latency, after which the answer may be late.
    double readWeight = 1;
    double waitWeight = 0.2;
    double lateWeight = 5;
    double safeTargetShare = 0.5;
    double slownessTolerance = 2; // slowness up to this value is within the scatter of single answers
    // An upstream is over the load bound if the request would raise its number of requests above loadBound
    // times the mean of the pool plus loadBoundExtraRequests, less the requests for the same segment that
    // other instances are likely to have placed without this instance knowing: unseenShare of the segment's
    // part of the requests in progress. It then gets the request only if no candidate is below the bound. The
    // bound is never below minLoadBound times the mean plus minLoadBoundExtraRequests, which also applies to
    // plain services.
    double loadBound = 1.9;
    double loadBoundExtraRequests = 2.5;
    double minLoadBound = 1.6;
    double minLoadBoundExtraRequests = 2;
    double unseenShare = 0.25;
    // The first engine in the rendezvous order of a prompt is assumed to cache the prompt's shared segments,
    // since all instances send them there. The second engine gets them when the first is busy, and is assumed
    // to cache this share of them.
    double secondChoiceCachedShare = 0.5;
    // Shorter shared parts of a prompt are not copied: reading them takes no longer than arranging a copy.
    std::int64_t minCopiedTokens = 512;
    SpillSettings spill; // for observeLoads()
    // Maximum random addition to the cost, as a share of it; derived from the hashes of request and upstream.
    double jitter = 0.02;
};

// Why the request goes to the chosen upstream.
enum class CostReason {
    Home, // the engine is first in the rendezvous order of the prompt
    Cheaper, // another engine costs less than the home, because of what it caches or of its shorter queue
    HomeOverBound, // the home has too large a share of the pool's requests
    HomeAvoided, // the home failed or refused a request recently, or its entry lapsed
    Service, // a plain service, which has no home
};

std::string_view costReasonName(CostReason);

struct CostDecision {
    std::size_t index = 0; // of the chosen candidate
    double expectedMs = 0; // expected time to the first byte
    std::int64_t cachedTokens = 0; // of the prompt, expected to be in the engine's cache
    std::int64_t tokensToRead = 0; // of the prompt, expected not to be in the engine's cache
    CostReason reason = CostReason::Service;
    // The candidate from which the chosen one can copy what it does not cache of the prompt itself.
    std::optional<std::size_t> copyFrom;
};

// Chooses the upstream with the lowest cost, which is based on the expected time to the first byte. Prompt
// segments that an engine caches count as time saved, so that cache reuse and load balance are weighed in the
// same unit. All instances rank the engines for a prompt segment by the same rendezvous order, so they agree
// on the segment's home without communicating.
//
//   CostPlacement placement(settings);
//   auto decision = placement.chooseEngine(item, candidates);
//   placement.recordPlacement(item, candidates[decision->index].hash, cacheTokens);
class CostPlacement {
public:
    explicit CostPlacement(CostSettings);

    // For a fleet whose news of the other instances' requests are old: takes the loads that decide which
    // share of the requests the first two engines in their order get. Call it with the candidates
    // of the next chooseEngine(), or never.
    void observeLoads(const std::vector<UpstreamCandidate>&, MonotonicTime now);
    // Must be called when the instances form a full mesh again, whose news are recent.
    void forgetLoads() { m_spill.clear(); }

    // Both return an empty value if no candidate is available.
    std::optional<CostDecision> chooseEngine(const WorkItem&, const std::vector<UpstreamCandidate>&) const;
    std::optional<CostDecision> chooseService(const WorkItem&, const std::vector<UpstreamCandidate>&) const;

    // Records that the engine was sent the prompt. `cacheTokens` is the capacity of the engine's cache.
    void recordPlacement(const WorkItem&, std::uint32_t upstream, std::int64_t cacheTokens);

    // Must be called when the upstream has restarted or was removed, since it no longer caches anything.
    void removeUpstream(std::uint32_t upstream);

    const CostSettings& settings() const { return m_settings; }
    // Entries of the estimates of what the upstreams cache.
    std::size_t cachedSegments() const;

private:
    std::size_t maxCachedSegments() const;
    std::int64_t expectedCachedTokens(const WorkItem&, std::uint32_t upstream, std::size_t rank) const;
    std::optional<std::size_t> copySource(const WorkItem&, const std::vector<UpstreamCandidate>&,
        std::span<const std::pair<double, std::size_t>> ranked, std::size_t chosen) const;
    double cost(
        const WorkItem&, const UpstreamCandidate&, double expectedMs, std::int64_t tokensToRead) const;

    CostSettings m_settings;
    SegmentShares m_segmentShares;
    SpillControl m_spill;
    std::unordered_map<std::uint32_t, PromptCacheEstimate> m_cacheEstimates; // by upstream
};

} // namespace briarwharf
