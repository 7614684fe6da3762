#include "request/hedging.h"

#include "request/urgency.h"
#include <algorithm>

namespace briarwharf {

namespace {

    // Largest share of the slots, of the pool and of the hedge's upstream, that may be in use with the hedge.
    // News of others' requests may be over a second old, and what is left must take them too.
    constexpr double maxUsedShare = 0.6;

    // The hedge's upstream has at most this many requests more than the mean of the pool, so that hedges add
    // nothing to an upstream that is over its part.
    constexpr double maxOverMean = 1;

    // An upstream whose slowness is above this multiple of the pool's mean is no remedy against a slow one.
    // The slowness itself has no absolute meaning: the expected time is the same for all plain services.
    constexpr double maxRelativeSlowness = 1.5;

    FleetRetryBudgetSettings budgetOf(const HedgeSettings& settings)
    {
        FleetRetryBudgetSettings budget;
        budget.ratio = settings.ratio;
        budget.window = settings.window;
        budget.slack = 0;
        budget.fractionSeed = settings.seed;
        return budget;
    }

    struct PoolUse {
        double requests = 0;
        double slots = 0;
        double slowness = 0;
        double upstreams = 0;

        double mean(double sum) const { return sum / std::max(1.0, upstreams); }
    };

    PoolUse poolUse(const std::vector<UpstreamCandidate>& candidates)
    {
        PoolUse use;
        for (const UpstreamCandidate& candidate : candidates) {
            if (!candidate.available || candidate.avoid)
                continue;
            use.requests += candidate.requests;
            use.slots += std::max(1, candidate.slots);
            use.slowness += candidate.slowness;
            ++use.upstreams;
        }
        return use;
    }

    bool isTarget(const UpstreamCandidate& candidate, const HedgeTarget& target, const PoolUse& use)
    {
        if (!candidate.available || candidate.avoid || candidate.limited || candidate.cold || target.tried)
            return false;
        bool isFree = candidate.requests + 1 <= maxUsedShare * std::max(1, candidate.slots)
            && candidate.requests <= use.mean(use.requests) + maxOverMean;
        return isFree && candidate.slowness <= maxRelativeSlowness * use.mean(use.slowness);
    }

} // namespace

Hedging::Hedging(const HedgeSettings& settings)
    : m_settings(settings)
    , m_budget(budgetOf(settings))
{
}

void Hedging::setSettings(const HedgeSettings& settings)
{
    m_settings = settings;
    m_budget.setSettings(budgetOf(settings));
}

void Hedging::requestStarted(std::string_view pool, MonotonicTime now)
{
    if (isEnabled())
        m_budget.requestStarted(pool, now);
}

void Hedging::observe(
    std::string_view route, std::string_view pool, std::chrono::nanoseconds waited, MonotonicTime now)
{
    if (isEnabled())
        m_times.observe(route, pool, waited, now);
}

void Hedging::hedgeSent(std::string_view pool, MonotonicTime now) { m_budget.repeatSent(pool, now); }

std::optional<Milliseconds> Hedging::delay(std::string_view route, std::string_view pool, MonotonicTime now)
{
    if (!isEnabled())
        return std::nullopt;
    return m_times.quantile(route, pool, m_settings.quantile, now);
}

bool Hedging::allows(
    const HedgeSituation& situation, std::string_view route, std::string_view pool, MonotonicTime now)
{
    bool isCandidate = situation.repeatable && situation.written && !situation.answerStarted
        && !situation.hedgedBefore && situation.attempts < situation.maxAttempts;
    if (!isEnabled() || !isCandidate || !situation.retryBudgetLeft || situation.poolIsScarce)
        return false;
    auto wait = delay(route, pool, now);
    return wait && situation.waited >= *wait && situation.timeLeft > Milliseconds(0)
        && m_budget.allowsRepeat(pool, now);
}

bool keepHedgeTargets(std::vector<UpstreamCandidate>& candidates, std::span<const HedgeTarget> targets,
    std::string_view firstDomain)
{
    PoolUse use = poolUse(candidates);
    bool isShort = use.requests + 1 > maxUsedShare * use.slots;
    bool otherDomain = false;
    bool any = false;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        UpstreamCandidate& candidate = candidates[index];
        candidate.available = !isShort && isTarget(candidate, targets[index], use);
        any = any || candidate.available;
        otherDomain = otherDomain || (candidate.available && targets[index].failureDomain != firstDomain);
    }
    for (std::size_t index = 0; otherDomain && index < candidates.size(); ++index) {
        if (targets[index].failureDomain == firstDomain)
            candidates[index].available = false;
    }
    return any;
}

bool isWorthHedging(const CostDecision& decision, Milliseconds timeLeft)
{
    return decision.tokensToRead <= longReadTokens
        && decision.expectedMs < static_cast<double>(timeLeft.count());
}

} // namespace briarwharf
