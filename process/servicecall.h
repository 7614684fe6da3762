#pragma once

#include "connection/upstreamclient.h"
#include "coordination/coordination.h"
#include "process/router.h"
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarwharf {

// A service call that the caller interface has authenticated and checked.
struct ServiceCallInput {
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    std::string path; // at the service, without the prefix /v1/services/POOL
    const Organisation* organisation = nullptr; // owned by `config`
    const Pool* pool = nullptr; // owned by `config`
    std::shared_ptr<const ConfigIndex> config;
    MonotonicTime deadline;
    bool repeatable = false; // the operation may run more than once
    std::string idempotencyKey;
    Span span;
};

// One call to a plain service. For a call that must not be repeated, a claim on its idempotency key is made
// durable before the first byte is sent to the service. The service is then called once, on a fresh
// connection, and the outcome is recorded with the claim. Such a call continues if its caller disconnects.
class ServiceCall : public PendingCall, public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(Router&, ClaimClient&, ServiceCallInput);
    ~ServiceCall() override;

    void start();

    bool run() override;
    void refuse(AdmissionOutcome, Milliseconds retryAfter) override;

private:
    void requestClaim();
    void claimDecided(ClaimDecision, const ClaimOutcome&);
    void beginAttempt();
    void exchangeEnded(const ExchangeResult&);
    void answerReceived();
    void attemptFailed(ExchangeEnd, bool notRun);
    // Releases the claim, if there is one, because no byte of the call was sent.
    void releaseClaim();
    void replyStoredAnswer(const ClaimOutcome&);
    void replyAnswer();
    void fail(CallerErrorKind, const std::string& message, const std::string& remedy, Outcome,
        std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(Outcome, int status);
    MonotonicTime settleDeadline() const;
    UpstreamRequest makeUpstreamRequest() const;
    Milliseconds timeLeft() const;

    Router& m_router;
    ClaimClient& m_claims;
    ServiceCallInput m_input;
    std::shared_ptr<PoolRuntime> m_pool;
    AdmissionTicket m_ticket;
    std::optional<ClaimClient::ClaimId>
        m_claim; // of a call that is not repeatable; reset when the claim is refused or released
    std::set<UpstreamId> m_triedUpstreams;
    std::shared_ptr<UpstreamRuntime> m_upstream;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<Span> m_attemptSpan;
    MonotonicTime m_startedAt;
    ResponseHead m_head;
    std::string m_body;
    bool m_answerTooLarge = false;
    bool m_earlierAttemptUnknown = false; // an attempt before the last one may have run
    bool m_admitted = false;
    bool m_finished = false;
};

} // namespace briarwharf
