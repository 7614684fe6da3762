#pragma once

#include "base/time.h"
#include "request/outcome.h"
#include <string_view>

namespace briarwharf {

struct RetrySettings {
    double ratio = 0.1; // retries per live request
    double minimumPerSecond = 1; // so that an instance with little traffic may retry at all
    std::chrono::seconds window { 10 }; // unused budget accumulates over at most this time
    Milliseconds minimumTimeLeft { 50 }; // no retry with less time until the deadline
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
    bool repeatable = false; // the operation may run more than once
    Outcome lastAttempt = Outcome::Unknown;
    bool bytesSentToCaller = false;
    MonotonicTime deadline;
};

// Bounds retries to a ratio of the live traffic, so that retries do not multiply the load of an upstream that
// fails. A token bucket that live requests fill, and that also fills at a minimum rate over time.
class RetryBudget {
public:
    RetryBudget(RetrySettings, MonotonicTime now);

    // Must be called once for each request, and not for its retries.
    void requestStarted(MonotonicTime now);

    // Takes one retry from the budget only if the verdict is Allowed. An attempt that did not run may be
    // repeated even if the operation is not repeatable.
    RetryVerdict tryRetry(const RetrySituation&, MonotonicTime now);

    double available() const { return m_tokens; }

private:
    void refill(MonotonicTime now);
    double capacity() const;

    RetrySettings m_settings;
    MonotonicTime m_refilledAt;
    double m_tokens = 0;
    double m_requestsPerSecond = 0; // exponential moving average over the window
};

} // namespace briarwharf
