#include "request/retry.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

std::string_view retryVerdictName(RetryVerdict verdict)
{
    constexpr std::string_view names[] { "allowed", "not_repeatable", "bytes_sent_to_caller",
        "deadline_too_close", "budget_spent" };
    return names[static_cast<std::size_t>(verdict)];
}

RetryBudget::RetryBudget(RetrySettings settings, MonotonicTime now)
    : m_settings(settings)
    , m_refilledAt(now)
    , m_tokens(capacity())
{
}

void RetryBudget::requestStarted(MonotonicTime now)
{
    refill(now);
    m_requestsPerSecond += 1 / std::chrono::duration<double>(m_settings.window).count();
    m_tokens = std::min(capacity(), m_tokens + m_settings.ratio);
}

RetryVerdict RetryBudget::tryRetry(const RetrySituation& situation, MonotonicTime now)
{
    if (situation.bytesSentToCaller)
        return RetryVerdict::BytesSentToCaller;
    if (!situation.repeatable && situation.lastAttempt != Outcome::NotRun)
        return RetryVerdict::NotRepeatable;
    if (situation.deadline - now < m_settings.minimumTimeLeft)
        return RetryVerdict::DeadlineTooClose;
    refill(now);
    if (m_tokens < 1)
        return RetryVerdict::BudgetSpent;
    m_tokens -= 1;
    return RetryVerdict::Allowed;
}

void RetryBudget::refill(MonotonicTime now)
{
    if (now <= m_refilledAt)
        return;
    double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_requestsPerSecond *= std::exp(-elapsed / std::chrono::duration<double>(m_settings.window).count());
    m_tokens = std::min(capacity(), m_tokens + m_settings.minimumPerSecond * elapsed);
}

double RetryBudget::capacity() const
{
    double seconds = std::chrono::duration<double>(m_settings.window).count();
    double perSecond = std::max(m_settings.minimumPerSecond, m_settings.ratio * m_requestsPerSecond);
    return std::max(1.0, perSecond * seconds);
}

} // namespace briarwharf
