#pragma once

#include "base/time.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

struct ForecastSettings {
    double weight = 0.1; // of one answer in the learned ratio
    double minRatio = 0.1;
    double maxRatio = 4;
    // Without an answer for this time nothing is refused, so that the next request shows the current state.
    Milliseconds maxEvidenceAge { 1000 };
    Milliseconds minRetryAfter { 100 };
    Milliseconds maxRetryAfter { 5000 };
};

// Learns from answers the ratio of the actual time to the first byte to the time that placement expects, and
// refuses requests that cannot be answered before their deadline. The ratio is kept separately for prompts
// with few and with many tokens to read, because engines read the former first.
//
//   forecast.observe(pool, tokensToRead, expectedMs, waitedMs, now);   // first byte, or no longer waited for
//   if (auto retryAfter = forecast.refuse(pool, tokensToRead, expectedMs, timeLeft, now))
//       ... answer 503 with this Retry-After
class FirstByteForecast {
public:
    explicit FirstByteForecast(ForecastSettings settings = {})
        : m_settings(settings)
    {
    }

    void observe(std::string_view pool, std::int64_t tokensToRead, double expectedMs, double waitedMs,
        MonotonicTime now);

    // The expected time to the first byte, corrected by the learned ratio. `expectedMs` is the time that
    // placement expects.
    double likelyMs(std::string_view pool, std::int64_t tokensToRead, double expectedMs) const;

    // Empty if the request may be answered within `timeLeft`; otherwise the time after which a similar
    // request could be answered within `timeLeft`.
    std::optional<Milliseconds> refuse(std::string_view pool, std::int64_t tokensToRead, double expectedMs,
        Milliseconds timeLeft, MonotonicTime now) const;

private:
    struct LearnedRatio {
        double ratio = 1;
        MonotonicTime lastAnswer;
    };
    using Classes = std::array<LearnedRatio, 2>; // few and many tokens to read

    const LearnedRatio* find(std::string_view pool, std::int64_t tokensToRead) const;

    ForecastSettings m_settings;
    std::map<std::string, Classes, std::less<>> m_pools;
};

} // namespace briarwharf
