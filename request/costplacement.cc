#include "request/costplacement.h"

#include "base/hash.h"
#include <algorithm>
#include <limits>

namespace briarwharf {

namespace {

    // Requests over which no upstream of a calm pool may go.
    double loadLimit(const std::vector<UpstreamCandidate>& candidates, const CostSettings& settings)
    {
        double total = 1;
        for (const auto& candidate : candidates)
            total += candidate.requests;
        return settings.loadBound * total / static_cast<double>(candidates.size()) + settings.loadBoundExtra;
    }

    // Candidates in three classes: usable, over the load limit, to be avoided.
    int preferenceClass(const UpstreamCandidate& candidate, double limit)
    {
        if (candidate.avoid)
            return 2;
        return candidate.requests + 1 > limit ? 1 : 0;
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
{
}

// The deepest part that other requests share; the last one belongs to the request.
std::uint64_t CostPlacement::affinityKey(const WorkItem& item)
{
    if (item.segments.empty())
        return item.hash;
    return item.segments[item.segments.size() > 1 ? item.segments.size() - 2 : 0].id;
}

std::int64_t CostPlacement::expectedHeld(const WorkItem& item, std::uint32_t upstream, std::size_t rank) const
{
    auto found = m_memories.find(upstream);
    std::int64_t held = found == m_memories.end() ? 0 : found->second.cachedTokens(item.segments);
    if (rank > 1 || item.segments.empty())
        return held;
    std::int64_t shared = 0;
    for (std::size_t part = 0; part + 1 < item.segments.size(); ++part)
        shared += item.segments[part].tokens;
    if (rank == 1)
        shared = static_cast<std::int64_t>(m_settings.secondHolds * static_cast<double>(shared));
    return std::max(held, shared);
}

double CostPlacement::cost(
    const WorkItem& item, const UpstreamCandidate& candidate, double expectedMs, std::int64_t toRead) const
{
    double safe = m_settings.safePartOfTarget * static_cast<double>(item.targetLatency.count());
    // A slow engine makes the whole answer late, not only its beginning.
    double stretched = static_cast<double>(item.outputTokens) * m_settings.outputTokenMs
        * std::max(0.0, candidate.slowness - m_settings.slowFrom);
    double result = m_settings.readWeight * static_cast<double>(toRead) / m_settings.promptTokensPerMs
        + m_settings.waitWeight * (expectedMs + stretched)
        + m_settings.lateWeight * std::max(0.0, expectedMs - safe)
        + (candidate.sameDomain ? 0 : m_settings.crossDomainMs);
    return result * (1 + m_settings.jitter * jitter(item, candidate));
}

std::optional<CostDecision> CostPlacement::chooseEngine(
    const WorkItem& item, const std::vector<UpstreamCandidate>& candidates) const
{
    if (candidates.empty())
        return std::nullopt;
    std::uint64_t key = affinityKey(item);
    std::vector<std::pair<double, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index)
        order.emplace_back(rendezvousScore(key, candidates[index].hash), index);
    constexpr std::ptrdiff_t ranked = 2; // further ranks make no difference
    std::partial_sort(order.begin(),
        order.begin() + std::min(ranked, static_cast<std::ptrdiff_t>(order.size())), order.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });

    double limit = loadLimit(candidates, m_settings);
    CostDecision best;
    int bestClass = std::numeric_limits<int>::max();
    double bestCost = 0;
    constexpr CostReason reasons[] { CostReason::Cheaper, CostReason::HomeOverBound,
        CostReason::HomeAvoided };
    CostReason otherThanHome = CostReason::Cheaper;
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const UpstreamCandidate& candidate = candidates[order[rank].second];
        std::int64_t held = expectedHeld(item, candidate.hash, rank);
        std::int64_t toRead = std::max<std::int64_t>(0, item.promptTokens - held);
        double expected
            = (m_settings.firstTokenMs
                  + static_cast<double>(candidate.promptTokens + toRead) / m_settings.promptTokensPerMs
                  + m_settings.requestMs * candidate.requests)
            * candidate.slowness;
        double total = cost(item, candidate, expected, toRead);
        int preference = preferenceClass(candidate, limit);
        if (rank == 0)
            otherThanHome = reasons[preference];
        if (preference > bestClass || (preference == bestClass && total >= bestCost))
            continue;
        bestClass = preference;
        bestCost = total;
        best = { order[rank].second, expected, held, toRead, rank == 0 ? CostReason::Home : otherThanHome };
    }
    return best;
}

std::optional<CostDecision> CostPlacement::chooseService(
    const WorkItem& item, const std::vector<UpstreamCandidate>& candidates) const
{
    if (candidates.empty())
        return std::nullopt;
    double limit = loadLimit(candidates, m_settings);
    CostDecision best;
    int bestClass = std::numeric_limits<int>::max();
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamCandidate& candidate = candidates[index];
        // Requests beyond the slots wait for a whole service time; those within share what the upstream has.
        double load = static_cast<double>(candidate.requests) / std::max(1, candidate.slots);
        double expected = m_settings.serviceMs * candidate.slowness * (1 + load * load);
        double cost = (expected + (candidate.sameDomain ? 0 : m_settings.crossDomainMs))
            * (1 + m_settings.jitter * jitter(item, candidate));
        int preference = preferenceClass(candidate, limit);
        if (preference > bestClass || (preference == bestClass && cost >= bestCost))
            continue;
        bestClass = preference;
        bestCost = cost;
        best = { index, expected, 0, 0, CostReason::Service };
    }
    return best;
}

void CostPlacement::placed(const WorkItem& item, std::uint32_t upstream, std::int64_t memoryTokens)
{
    auto found = m_memories.find(upstream);
    if (found == m_memories.end())
        found = m_memories.emplace(upstream, PromptCacheEstimate(memoryTokens)).first;
    found->second.use(item.segments);
}

void CostPlacement::forget(std::uint32_t upstream) { m_memories.erase(upstream); }

} // namespace briarwharf
