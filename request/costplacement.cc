#include "request/costplacement.h"

#include "base/hash.h"
#include <algorithm>
#include <limits>

namespace briarwharf {

namespace {

    // The work of those upstreams that take as much as placement sends them; of all, if there are none.
    struct PoolLoad {
        double total = 1; // requests in progress, with the request to be placed
        double mean = 0;
    };

    PoolLoad poolLoad(const std::vector<UpstreamCandidate>& candidates)
    {
        bool allLimited = std::all_of(candidates.begin(), candidates.end(),
            [](const UpstreamCandidate& candidate) { return candidate.limited; });
        PoolLoad load;
        double count = 0;
        for (const UpstreamCandidate& candidate : candidates) {
            if (candidate.limited && !allLimited)
                continue;
            load.total += candidate.requests;
            ++count;
        }
        load.mean = load.total / count;
        return load;
    }

    // The number of requests above which an upstream is used only if no candidate is within this limit.
    double minLoadLimit(const PoolLoad& load, const CostSettings& settings)
    {
        return settings.minLoadBound * load.mean + settings.minLoadBoundExtraRequests;
    }

    // The same for a request whose segment has this share of the requests.
    double loadLimit(const PoolLoad& load, double segmentShare, const CostSettings& settings)
    {
        double limit = settings.loadBound * load.mean + settings.loadBoundExtraRequests
            - settings.unseenShare * segmentShare * load.total;
        return std::max(limit, minLoadLimit(load, settings));
    }

    // Candidates in three classes: 0 is usable, 1 is over the load limit or does not admit the request, 2 is
    // to be avoided. A candidate of a lower class is preferred at any cost.
    int preferenceClass(const UpstreamCandidate& candidate, double limit, bool admitted)
    {
        if (candidate.avoid)
            return 2;
        return !admitted || candidate.requests + 1 > limit ? 1 : 0;
    }

    double jitter(const WorkItem& item, const UpstreamCandidate& candidate)
    {
        return unitInterval(combineHashes(item.hash, candidate.hash));
    }

} // namespace

std::string_view costReasonName(CostReason reason)
{
    constexpr std::string_view names[] { "home", "cheaper", "home-over-bound", "home-avoided", "service" };
    return names[static_cast<std::size_t>(reason)];
}

CostPlacement::CostPlacement(CostSettings settings)
    : m_settings(settings)
    , m_spill(settings.spill)
{
}

std::uint64_t WorkItem::affinityKey() const
{
    if (segments.empty())
        return hash;
    return segments[segments.size() > 1 ? segments.size() - 2 : 0].id;
}

std::span<const PromptSegment> WorkItem::sharedSegments() const
{
    std::span<const PromptSegment> all = segments;
    return all.empty() ? all : all.first(all.size() - 1);
}

std::int64_t WorkItem::sharedTokens() const
{
    std::int64_t tokens = 0;
    for (const PromptSegment& segment : sharedSegments())
        tokens += segment.tokens;
    return tokens;
}

std::int64_t CostPlacement::expectedCachedTokens(
    const WorkItem& item, std::uint32_t upstream, std::size_t rank) const
{
    auto found = m_cacheEstimates.find(upstream);
    std::int64_t cached = found == m_cacheEstimates.end() ? 0 : found->second.cachedTokens(item.segments);
    if (rank > 1 || item.segments.empty())
        return cached;
    std::int64_t shared = item.sharedTokens();
    if (rank == 1)
        shared = static_cast<std::int64_t>(m_settings.secondChoiceCachedShare * static_cast<double>(shared));
    return std::max(cached, shared);
}

double CostPlacement::cost(const WorkItem& item, const UpstreamCandidate& candidate, double expectedMs,
    std::int64_t tokensToRead) const
{
    double safeMs = m_settings.safeTargetShare * static_cast<double>(item.targetLatency.count());
    // A slow engine delays the whole answer, not only its first byte.
    double outputDelayMs = static_cast<double>(item.outputTokens) * m_settings.outputTokenMs
        * std::max(0.0, candidate.slowness - m_settings.slownessTolerance);
    double costMs = m_settings.readWeight * static_cast<double>(tokensToRead) / m_settings.promptTokensPerMs
        + m_settings.waitWeight * (expectedMs + outputDelayMs)
        + m_settings.lateWeight * std::max(0.0, expectedMs - safeMs)
        + (candidate.sameDomain ? 0 : m_settings.crossDomainPenaltyMs);
    return costMs * (1 + m_settings.jitter * jitter(item, candidate));
}

// Another one of the first two engines in the rendezvous order, which are the most likely to cache the shared
// segments. The home copies from the second choice, too: that one was the home before the home started, and
// gets the requests while the home is over its load bound.
std::optional<std::size_t> CostPlacement::copySource(const WorkItem& item,
    const std::vector<UpstreamCandidate>& candidates, std::span<const std::pair<double, std::size_t>> ranked,
    std::size_t chosen) const
{
    if (!item.copiesCache || item.sharedTokens() < m_settings.minCopiedTokens)
        return std::nullopt;
    for (const auto& [score, index] : ranked) {
        if (index != chosen && !candidates[index].avoid && !candidates[index].cold)
            return index;
    }
    return std::nullopt;
}

void CostPlacement::observeLoads(const std::vector<UpstreamCandidate>& candidates, MonotonicTime now)
{
    if (candidates.empty())
        return;
    double mean = poolLoad(candidates).mean;
    for (const UpstreamCandidate& candidate : candidates)
        m_spill.observe(candidate.hash, candidate.requests, mean, now);
}

std::optional<CostDecision> CostPlacement::chooseEngine(
    const WorkItem& item, const std::vector<UpstreamCandidate>& candidates) const
{
    if (candidates.empty())
        return std::nullopt;
    std::uint64_t key = item.affinityKey();
    std::vector<std::pair<double, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index)
        order.emplace_back(rendezvousScore(key, candidates[index].hash, candidates[index].homeWeight), index);
    // Only the first two ranks affect what an engine is expected to cache.
    constexpr std::size_t rankedCandidates = 2;
    std::span<const std::pair<double, std::size_t>> ranked(
        order.data(), std::min(rankedCandidates, order.size()));
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(ranked.size()), order.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });

    double limit = loadLimit(poolLoad(candidates), m_segmentShares.repeatShare(key), m_settings);
    std::optional<CostDecision> best;
    int bestClass = std::numeric_limits<int>::max();
    double bestCost = 0;
    constexpr CostReason reasons[] { CostReason::Cheaper, CostReason::HomeOverBound,
        CostReason::HomeAvoided };
    CostReason reasonIfNotHome = CostReason::Cheaper;
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const UpstreamCandidate& candidate = candidates[order[rank].second];
        if (!candidate.available)
            continue;
        std::int64_t cached = expectedCachedTokens(item, candidate.hash, rank);
        std::int64_t tokensToRead = std::max<std::int64_t>(0, item.promptTokens - cached);
        double expectedMs = (m_settings.firstTokenMs
                                + static_cast<double>(candidate.pendingPromptTokens + tokensToRead)
                                    / m_settings.promptTokensPerMs
                                + m_settings.delayPerRequestMs * candidate.requests)
            * candidate.slowness;
        double total = cost(item, candidate, expectedMs, tokensToRead);
        bool admitted = rank >= rankedCandidates || m_spill.admits(candidate.hash, item.hash);
        int candidateClass = preferenceClass(candidate, limit, admitted);
        if (rank == 0)
            reasonIfNotHome = reasons[candidateClass];
        // An upstream with a limit keeps what it takes for the segments that it caches, which for a cold one
        // are those of which it is the home.
        if (candidate.limited && rank >= (candidate.cold ? 1 : rankedCandidates))
            candidateClass = std::max(candidateClass, 1);
        if (candidateClass > bestClass || (candidateClass == bestClass && total >= bestCost))
            continue;
        bestClass = candidateClass;
        bestCost = total;
        best = CostDecision { order[rank].second, expectedMs, cached, tokensToRead,
            rank == 0 ? CostReason::Home : reasonIfNotHome, {} };
    }
    if (best)
        best->copyFrom = copySource(item, candidates, ranked, best->index);
    return best;
}

std::optional<CostDecision> CostPlacement::chooseService(
    const WorkItem& item, const std::vector<UpstreamCandidate>& candidates) const
{
    if (candidates.empty())
        return std::nullopt;
    PoolLoad pool = poolLoad(candidates);
    double limit = minLoadLimit(pool, m_settings);
    std::optional<CostDecision> best;
    int bestClass = std::numeric_limits<int>::max();
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamCandidate& candidate = candidates[index];
        if (!candidate.available)
            continue;
        // Requests beyond the slots wait for a whole service time; requests within the slots share the
        // capacity of the upstream.
        double requests = candidate.requests;
        if (candidate.cold) // its few requests attract no others
            requests = std::max(requests, pool.mean);
        double load = requests / std::max(1, candidate.slots);
        double expectedMs = m_settings.serviceTimeMs * candidate.slowness * (1 + load * load);
        double cost = (expectedMs + (candidate.sameDomain ? 0 : m_settings.crossDomainPenaltyMs))
            * (1 + m_settings.jitter * jitter(item, candidate));
        int candidateClass = preferenceClass(candidate, limit, true);
        if (candidateClass > bestClass || (candidateClass == bestClass && cost >= bestCost))
            continue;
        bestClass = candidateClass;
        bestCost = cost;
        best = CostDecision { index, expectedMs, 0, 0, CostReason::Service, {} };
    }
    return best;
}

void CostPlacement::recordPlacement(const WorkItem& item, std::uint32_t upstream, std::int64_t cacheTokens)
{
    m_segmentShares.record(item.affinityKey());
    auto found = m_cacheEstimates.find(upstream);
    if (found == m_cacheEstimates.end())
        found = m_cacheEstimates.emplace(upstream, PromptCacheEstimate(cacheTokens)).first;
    found->second.recordUse(item.segments, maxCachedSegments());
}

// Of one upstream, so that the estimates together stay within a bound, whatever prompts callers send.
std::size_t CostPlacement::maxCachedSegments() const
{
    constexpr std::size_t maxSegments = 128 * 1024; // of all upstreams, about 90 bytes each
    constexpr std::size_t minSegments = 64; // of one upstream
    return std::max(minSegments, maxSegments / m_cacheEstimates.size());
}

std::size_t CostPlacement::cachedSegments() const
{
    std::size_t segments = 0;
    for (const auto& [upstream, estimate] : m_cacheEstimates)
        segments += estimate.segments();
    return segments;
}

void CostPlacement::removeUpstream(std::uint32_t upstream)
{
    m_cacheEstimates.erase(upstream);
    m_spill.remove(upstream);
}

} // namespace briarwharf
