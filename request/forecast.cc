#include "request/forecast.h"

#include "request/urgency.h"
#include <algorithm>

namespace briarwharf {

namespace {

    std::size_t classOf(std::int64_t tokensToRead) { return tokensToRead > longReadTokens ? 1 : 0; }

} // namespace

void FirstByteForecast::observe(
    std::string_view pool, std::int64_t tokensToRead, double expectedMs, double waitedMs, MonotonicTime now)
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        found = m_pools.emplace(pool, Classes {}).first;
    LearnedRatio& learned = found->second[classOf(tokensToRead)];
    double ratio = std::clamp(waitedMs / std::max(1.0, expectedMs), m_settings.minRatio, m_settings.maxRatio);
    learned.ratio += m_settings.weight * (ratio - learned.ratio);
    learned.lastAnswer = now;
}

const FirstByteForecast::LearnedRatio* FirstByteForecast::find(
    std::string_view pool, std::int64_t tokensToRead) const
{
    auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second[classOf(tokensToRead)];
}

double FirstByteForecast::likelyMs(std::string_view pool, std::int64_t tokensToRead, double expectedMs) const
{
    const LearnedRatio* learned = find(pool, tokensToRead);
    return learned ? learned->ratio * expectedMs : expectedMs;
}

std::optional<Milliseconds> FirstByteForecast::refuse(std::string_view pool, std::int64_t tokensToRead,
    double expectedMs, Milliseconds timeLeft, MonotonicTime now) const
{
    const LearnedRatio* learned = find(pool, tokensToRead);
    if (!learned || now - learned->lastAnswer > m_settings.maxEvidenceAge)
        return std::nullopt;
    double predictedMs = learned->ratio * expectedMs;
    auto timeLeftMs = static_cast<double>(timeLeft.count());
    if (predictedMs <= timeLeftMs)
        return std::nullopt;
    auto lateBy = Milliseconds(static_cast<std::int64_t>(predictedMs - timeLeftMs));
    return std::clamp(lateBy, m_settings.minRetryAfter, m_settings.maxRetryAfter);
}

} // namespace briarwharf
