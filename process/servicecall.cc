#include "process/servicecall.h"

#include "base/base.h"
#include <algorithm>
#include <array>
#include <utility>

namespace briarwharf {

namespace {

    // Maximum wait for a claim. It covers the collector's commit interval, a lost answer with its repeat, and
    // a change of collector.
    constexpr Milliseconds claimTimeout { 5000 };

    // Maximum wait until the outcome is recorded; after it the caller gets its answer in any case.
    constexpr Milliseconds settleTimeout { 3000 };

    // Tokens that admission counts for a service call, since services have no notion of tokens.
    constexpr std::int64_t serviceCallTokens = 1;

    constexpr const char* organisationHeader = "X-Briarwharf-Organisation";

    WallTime wallNow() { return std::chrono::system_clock::now(); }

    // Headers of the caller's request that are forwarded to the service.
    constexpr std::array<const char*, 4> forwardedHeaders { "Content-Type", "Accept", "Accept-Language",
        "If-Match" };

    // Values of the label `status` of the metric of claims, in the order of ClaimDecision.
    constexpr std::array<const char*, 6> decisionNames { "run", "completed", "unknown", "in_progress",
        "different_request", "not_run" };

    const char* decisionName(ClaimDecision decision)
    {
        return decisionNames[static_cast<std::size_t>(decision)];
    }

    std::string target(const ServiceCallInput& input)
    {
        const std::string& query = input.exchange->request().query;
        return query.empty() ? input.path : input.path + "?" + query;
    }

} // namespace

ServiceCall::ServiceCall(Router& router, ClaimClient& claims, ServiceCallInput input)
    : m_router(router)
    , m_claims(claims)
    , m_input(std::move(input))
    , m_pool(router.pool(m_input.pool->name))
    , m_ticket(router.nextTicket())
    , m_startedAt(clockNow())
{
    m_router.requestOpened();
}

ServiceCall::~ServiceCall() { m_router.requestClosed(); }

void ServiceCall::start()
{
    auto self = shared_from_this();
    m_input.exchange->onClosed([self] {
        if (self->m_admitted || self->m_finished)
            return;
        self->m_pool->cancel(self->m_ticket);
        self->finish(Outcome::NotRun, 499);
    });
    m_router.retryBudget().requestStarted(clockNow());
    AdmissionRequest admissionRequest;
    admissionRequest.ticket = m_ticket;
    admissionRequest.organisation = m_input.organisation->name;
    admissionRequest.weight = m_input.organisation->weight;
    admissionRequest.requestClass = RequestClass::Short;
    admissionRequest.tokens = serviceCallTokens;
    admissionRequest.deadline = m_input.deadline;
    m_pool->submit(std::move(admissionRequest), self);
}

bool ServiceCall::run()
{
    m_admitted = true;
    m_router.metrics().observeQueueTime("service", clockNow() - m_startedAt);
    if (m_input.repeatable)
        beginAttempt();
    else
        requestClaim();
    return true;
}

void ServiceCall::refuse(AdmissionOutcome outcome, Milliseconds retryAfter)
{
    if (m_router.isStopping())
        return fail(CallerErrorKind::NotReady, "this instance is shutting down",
            "retry: the balancer sends the request to another instance", Outcome::NotRun, retryAfter);
    if (outcome == AdmissionOutcome::DeadlinePassed && timeLeft() <= Milliseconds(0))
        return fail(CallerErrorKind::DeadlineExceeded, "the request's deadline passed while it waited",
            "send a longer " + std::string(header::deadline), Outcome::NotRun);
    CallerErrorKind kind
        = outcome == AdmissionOutcome::OverRate ? CallerErrorKind::RateLimited : CallerErrorKind::Overloaded;
    fail(kind,
        "service " + m_input.pool->name + " has no free slot (" + std::string(admissionOutcomeName(outcome))
            + ")",
        "retry after the time in Retry-After", Outcome::NotRun, retryAfter);
}

void ServiceCall::requestClaim()
{
    const HttpServerRequest& request = m_input.exchange->request();
    std::string keyHash
        = claimKeyHash(m_input.organisation->name, m_input.pool->name, m_input.idempotencyKey);
    std::string bodyHash = sha256Hex(request.method + " " + target(m_input) + "\n" + request.body);
    auto self = shared_from_this();
    m_claim = m_claims.begin(keyHash, bodyHash, std::min(m_input.deadline, clockNow() + claimTimeout),
        [self](
            ClaimDecision decision, const ClaimOutcome& outcome) { self->claimDecided(decision, outcome); });
}

void ServiceCall::claimDecided(ClaimDecision decision, const ClaimOutcome& outcome)
{
    m_router.metrics().countClaim(decisionName(decision));
    if (decision == ClaimDecision::Run && m_claims.tryStartCall(*m_claim))
        return beginAttempt();
    m_claim.reset();
    switch (decision) {
    case ClaimDecision::Completed:
        return replyStoredAnswer(outcome);
    case ClaimDecision::InProgress:
        return fail(CallerErrorKind::CallInProgress, "a call with this idempotency key is in progress",
            "retry with the same key to get its outcome", Outcome::Unknown, Milliseconds(1000));
    case ClaimDecision::Unknown:
        return fail(CallerErrorKind::OutcomeUnknown,
            "the call with this idempotency key may have run; its answer was lost",
            "check at the service whether it took effect; it is not run again with this key",
            Outcome::Unknown);
    case ClaimDecision::DifferentRequest:
        return fail(CallerErrorKind::IdempotencyKeyReused, "the idempotency key was used for another call",
            "use a new key for each call", Outcome::NotRun);
    case ClaimDecision::Run:
    case ClaimDecision::NotRun:
        return fail(CallerErrorKind::StoreUnavailable,
            "this request was not run: its claim was not durable in time, because the platform's store or "
            "the "
            "claim's collector does not answer",
            "retry with the same key; an earlier request with this key may have run", Outcome::NotRun,
            Milliseconds(1000));
    }
}

UpstreamRequest ServiceCall::makeUpstreamRequest() const
{
    const HttpServerRequest& incoming = m_input.exchange->request();
    UpstreamRequest request;
    request.method = incoming.method;
    request.target = target(m_input);
    request.body = incoming.body;
    for (const char* name : forwardedHeaders) {
        if (auto value = findHeader(incoming.headers, name))
            request.headers.push_back({ name, *value });
    }
    request.headers.push_back({ header::upstreamRequestId, m_input.requestId });
    request.headers.push_back({ organisationHeader, m_input.organisation->name });
    request.headers.push_back({ header::traceparent, formatTraceparent(m_attemptSpan->context) });
    if (!m_input.idempotencyKey.empty())
        request.headers.push_back({ header::idempotencyKey, m_input.idempotencyKey });
    request.deadline = timeLeft();
    request.silenceTimeout = std::min(timeLeft(), m_router.settings().limits.upstreamSilence);
    request.freshConnection = !m_input.repeatable;
    return request;
}

void ServiceCall::beginAttempt()
{
    auto mayGetWork = [this](const UpstreamRuntime& upstream) { return m_router.mayGetNewWork(upstream); };
    auto isHealthy = [this](const UpstreamRuntime& upstream) { return m_router.isHealthy(upstream); };
    UpstreamRuntime* upstream = timeLeft() > Milliseconds(0)
        ? m_pool->pickService(hash64(m_input.requestId), m_triedUpstreams, mayGetWork, isHealthy)
        : nullptr;
    if (!upstream) {
        releaseClaim();
        return fail(CallerErrorKind::NoUpstream,
            "no upstream of service " + m_input.pool->name + " takes new work",
            "retry later with the same key; operators: see SHOW UPSTREAMS", Outcome::NotRun,
            Milliseconds(1000));
    }
    m_upstream = m_router.upstreams().all().at(upstream->settings.name);
    ++m_upstream->requestsInProgress;
    m_body.clear();
    m_head = {};
    m_attemptSpan = m_router.tracer().startSpan(
        "service " + m_upstream->settings.name, m_input.span.context, false, wallNow());
    auto self = shared_from_this();
    m_exchange = m_upstream->client->start(makeUpstreamRequest(),
        { [self](const ResponseHead& head) { self->m_head = head; },
            [self](std::string_view data) {
                if (self->m_body.size() + data.size()
                    > static_cast<std::size_t>(self->m_router.settings().limits.maxAnswerBytes))
                    self->m_answerTooLarge = true;
                else
                    self->m_body.append(data);
            },
            [self](const ExchangeResult& result) { self->exchangeEnded(result); } });
}

void ServiceCall::exchangeEnded(const ExchangeResult& result)
{
    m_exchange = nullptr;
    --m_upstream->requestsInProgress;
    m_router.metrics().countExchangeEnd(std::string(exchangeEndName(result.end)));
    m_attemptSpan->failed = result.end != ExchangeEnd::Complete;
    m_attemptSpan->attributes.push_back({ "end", std::string(exchangeEndName(result.end)) });
    m_router.tracer().finishSpan(*m_attemptSpan, wallNow());
    auto echoedId = findHeader(m_head.headers, header::upstreamRequestId);
    bool identifierMismatch = echoedId && *echoedId != m_input.requestId;
    if (result.end != ExchangeEnd::Complete || identifierMismatch || m_answerTooLarge)
        return attemptFailed(
            result.end == ExchangeEnd::Complete ? ExchangeEnd::Invalid : result.end, !result.requestWritten);
    if (findHeader(m_head.headers, header::notRun) == "true")
        return attemptFailed(ExchangeEnd::Complete, true);
    answerReceived();
}

void ServiceCall::answerReceived()
{
    m_router.reportSuccess(*m_upstream);
    if (!m_claim)
        return replyAnswer();
    ClaimOutcome outcome;
    outcome.httpStatus = static_cast<std::uint32_t>(m_head.status);
    outcome.contentType = findHeader(m_head.headers, "Content-Type").value_or("");
    outcome.body = m_body;
    auto self = shared_from_this();
    m_claims.finish(*m_claim, std::move(outcome), settleDeadline(), [self](bool) { self->replyAnswer(); });
}

// Retries on another upstream, but only if the failed attempt certainly did not run or the call is
// repeatable.
void ServiceCall::attemptFailed(ExchangeEnd end, bool notRun)
{
    m_router.reportFailure(*m_upstream, end);
    RetrySituation situation;
    situation.repeatable = m_input.repeatable;
    situation.lastAttempt = notRun ? Outcome::NotRun : Outcome::Unknown;
    situation.deadline = m_input.deadline;
    RetryVerdict verdict = m_router.retryBudget().tryRetry(situation, clockNow());
    m_router.metrics().countRetry(std::string(retryVerdictName(verdict)));
    m_triedUpstreams.insert(m_upstream->id);
    if (verdict == RetryVerdict::Allowed) {
        m_earlierAttemptUnknown = m_earlierAttemptUnknown || !notRun;
        return beginAttempt();
    }
    std::string reason
        = "the service's answer did not arrive whole (" + std::string(exchangeEndName(end)) + ")";
    if (notRun && !m_earlierAttemptUnknown) {
        releaseClaim();
        return fail(CallerErrorKind::UpstreamFailed, "the service could not be called",
            "retry with the same key", Outcome::NotRun, Milliseconds(1000));
    }
    if (!m_claim)
        return fail(
            CallerErrorKind::UpstreamFailed, reason, "retry: the call may be repeated", Outcome::Unknown);
    auto self = shared_from_this();
    m_claims.finishUnknown(*m_claim, settleDeadline(), [self, reason](bool) {
        self->fail(CallerErrorKind::OutcomeUnknown, reason,
            "check at the service whether the call took effect; it is not run again with this key",
            Outcome::Unknown);
    });
}

void ServiceCall::releaseClaim()
{
    if (m_claim)
        m_claims.notSent(*m_claim);
    m_claim.reset();
}

MonotonicTime ServiceCall::settleDeadline() const { return clockNow() + settleTimeout; }

void ServiceCall::replyStoredAnswer(const ClaimOutcome& outcome)
{
    m_head.status = static_cast<int>(outcome.httpStatus);
    m_head.headers = { { "Content-Type", outcome.contentType } };
    m_body = outcome.body;
    replyAnswer();
}

void ServiceCall::replyAnswer()
{
    HttpHeaders headers {
        { "Content-Type", findHeader(m_head.headers, "Content-Type").value_or("application/octet-stream") },
        { header::requestId, m_input.requestId },
        { header::outcome, std::string(outcomeName(Outcome::Completed)) },
    };
    m_input.exchange->reply(m_head.status, headers, m_body);
    finish(Outcome::Completed, m_head.status);
}

void ServiceCall::fail(CallerErrorKind kind, const std::string& message, const std::string& remedy,
    Outcome outcome, std::optional<Milliseconds> retryAfter)
{
    if (m_finished)
        return;
    replyError(*m_input.exchange, { kind, message, remedy, outcome, retryAfter }, m_input.requestId);
    finish(outcome, callerErrorStatus(kind));
}

void ServiceCall::finish(Outcome outcome, int status)
{
    if (m_finished)
        return;
    m_finished = true;
    m_router.metrics().observeDuration("service", clockNow() - m_startedAt);
    m_router.metrics().countRequest(m_input.pool->name, "service", std::string(outcomeName(outcome)), status);
    m_input.span.failed = outcome != Outcome::Completed;
    m_input.span.attributes.push_back({ "outcome", std::string(outcomeName(outcome)) });
    m_router.tracer().finishSpan(m_input.span, wallNow());
    if (m_admitted)
        m_pool->finished(m_ticket);
}

Milliseconds ServiceCall::timeLeft() const
{
    return std::max(Milliseconds(0), toMilliseconds(m_input.deadline - clockNow()));
}

} // namespace briarwharf
