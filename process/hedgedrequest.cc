// The member functions of ForwardedRequest that send a hedge, and end one of two concurrent attempts.

#include "base/base.h"
#include "process/forwardedrequest.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // A timer may run shortly before its time by the clock that is compared with.
    constexpr Milliseconds timerMargin { 1 };

} // namespace

// Makes the attempt that reports an event the current one.
void ForwardedRequest::select(UpstreamAttempt& attempt)
{
    if (m_other.get() == &attempt)
        std::swap(m_attempt, m_other);
}

// Only the first attempt is hedged: the delay is known for first attempts only.
void ForwardedRequest::planHedge(MonotonicTime now)
{
    m_hedgeAt.reset();
    if (!m_forwarder.m_hedging.isEnabled() || m_hedged || m_arrivals > 0 || !mayRepeat())
        return;
    auto delay = m_forwarder.m_hedging.delay(m_route->name, m_pool, now);
    if (!delay)
        return;
    m_hedgeAt = now + *delay;
    if (!m_hedgeTimer)
        m_hedgeTimer.emplace(m_forwarder.m_base, [this] { tryHedge(clockNow()); });
    m_hedgeTimer->start(*delay + timerMargin);
}

bool ForwardedRequest::mayHedge(MonotonicTime now) const
{
    if (m_done || !m_caller || !m_hedgeAt || now < *m_hedgeAt || m_forwarder.m_shutdownDeadline)
        return false;
    HedgeSituation situation;
    situation.repeatable = mayRepeat() && !m_answerBegun;
    situation.written = m_attempt->exchange && m_attempt->isWritten();
    situation.answerStarted = m_attempt->headReceived;
    situation.hedgedBefore = m_hedged;
    situation.attempts = m_attempts + 1;
    situation.maxAttempts = m_route->maxAttempts;
    situation.retryBudgetLeft = m_forwarder.m_budget.allowsRepeat(m_pool, now);
    situation.waited = toMilliseconds(now - m_attempt->sentAt);
    situation.timeLeft = toMilliseconds(m_deadline - now);
    situation.poolIsScarce = m_forwarder.m_shares.isScarce(m_pool);
    return m_forwarder.m_hedging.allows(situation, m_route->name, m_pool, now)
        && !m_forwarder.m_quarantine.isQuarantined(m_sharedSegments);
}

// Sends a hedge if one is due and allowed. Otherwise it is tried again at the next check of timeouts: the
// budget goes to the requests that have waited longest.
void ForwardedRequest::tryHedge(MonotonicTime now)
{
    if (!mayHedge(now))
        return;
    auto upstreams = m_forwarder.untriedUpstreams(m_pool, {});
    std::vector<UpstreamCandidate> candidates;
    std::vector<HedgeTarget> targets;
    candidates.reserve(upstreams.size());
    targets.reserve(upstreams.size());
    for (const auto& upstream : upstreams) {
        candidates.push_back(m_forwarder.candidate(*upstream, now));
        bool tried = std::find(m_tried.begin(), m_tried.end(), upstream->entry.id) != m_tried.end();
        targets.push_back({ upstream->entry.failureDomain, tried });
    }
    if (!keepHedgeTargets(candidates, targets, m_attempt->upstream->entry.failureDomain))
        return;
    auto decision = chooseWithinLimits(upstreams, candidates, now);
    if (!decision || !isWorthHedging(*decision, toMilliseconds(m_deadline - now)))
        return;
    m_hedged = true;
    auto waited = toMilliseconds(now - m_attempt->sentAt);
    // No source to copy cached segments from: it could be the upstream that does not answer.
    send(upstreams[decision->index], *decision, std::nullopt);
    if (!m_other)
        return; // no connection
    m_forwarder.m_hedging.hedgeSent(m_pool, now);
    ++m_forwarder.m_counters.hedges;
    LogLine(LogLevel::Info, "request", "hedge")
        .field("id", m_fields.requestId)
        .field("upstream", m_attempt->upstream->entry.id)
        .field("first", m_other->upstream->entry.id)
        .field("waited_ms", waited.count());
}

// Ends the other one of two attempts because the current one decides, and counts it as an attempt.
void ForwardedRequest::endOther(std::string_view reason)
{
    if (!m_other)
        return;
    MonotonicTime now = clockNow();
    double waited = fractionalMilliseconds(now - m_other->sentAt);
    recordUnansweredWait(*m_other, now);
    // The upstream would answer later than this. Without the observation, one whose answers lose would seem
    // as fast as others.
    double ratio = waited / std::max(1.0, m_other->decision.expectedMs);
    if (!m_other->headReceived && ratio > m_other->upstream->decayedSlowness(now))
        recordSlowness(*m_other, waited, now);
    bool written = m_other->isWritten();
    m_attempts += written ? 1 : 0;
    m_arrivals += written ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || written;
    LogLine(LogLevel::Info, "request", "hedge-ended")
        .field("id", m_fields.requestId)
        .field("upstream", m_other->upstream->entry.id)
        .field("reason", reason)
        .field("waited_ms", waited)
        .field("head", m_other->headReceived);
    std::erase(m_tried, m_other->upstream->entry.id);
    m_tried.insert(m_tried.begin(), m_other->upstream->entry.id); // the latest is the one that goes on
    m_other->close(m_pool);
    m_other.reset();
    countBuffered();
}

// The current attempt has ended without an answer for the caller, and the other one is in progress.
void ForwardedRequest::awaitOther()
{
    m_attempt = std::move(m_other);
    std::erase(m_tried, m_attempt->upstream->entry.id);
    m_tried.push_back(m_attempt->upstream->entry.id);
    countBuffered();
}

// Records how long the first attempt waited for its first byte, or for how long it was waited for.
void ForwardedRequest::observeFirstByte(const UpstreamAttempt& attempt, MonotonicTime now)
{
    if (m_arrivals == 0 && !attempt.isHedge)
        m_forwarder.m_hedging.observe(m_route->name, m_pool, now - attempt.sentAt, now);
}

} // namespace briarwharf
