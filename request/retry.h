#pragma once

#include "base/time.h"
#include "request/outcome.h"
#include <string_view>

namespace briarwharf {

struct RetrySettings {
    double share = 0.1; // retries for each live request
    double minimumPerSecond = 1; // so that a quiet instance may retry at all
    std::chrono::seconds window { 10 }; // unused budget accumulates for this long
    Milliseconds minimumTimeLeft { 50 }; // no retry closer to the deadline
};

enum class RetryVerdict {
    Allowed,
    NotRepeatable,
    BytesSentToCaller,
    DeadlineTooClose,
    BudgetSpent,
};

std::string_view retryVerdictName(RetryVerdict);

struct RetrySituation {
    bool repeatable = false; // the operation may run twice
    Outcome lastAttempt = Outcome::Unknown;
    bool bytesSentToCaller = false;
    MonotonicTime deadline;
};

// Bounds retries to a share of live traffic, so that a fault upstream is not multiplied by retries: a token
// bucket filled by live requests and, at a minimum rate, by time.
class RetryBudget {
public:
    RetryBudget(RetrySettings, MonotonicTime now);

    // Call once for each request, not for its retries.
    void requestStarted(MonotonicTime now);

    // Takes from the budget only if Allowed. An attempt that did not run may be repeated even if the
    // operation is not repeatable.
    RetryVerdict tryRetry(const RetrySituation&, MonotonicTime now);

    double available() const { return m_tokens; }

private:
    void refill(MonotonicTime now);
    double capacity() const;

    RetrySettings m_settings;
    MonotonicTime m_updated;
    double m_tokens = 0;
    double m_requestsPerSecond = 0; // smoothed over the window
};

} // namespace briarwharf
