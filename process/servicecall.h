#pragma once

#include "connection/upstreamclient.h"
#include "coordination/coordination.h"
#include "process/router.h"
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarwharf {

struct ServiceCallInput {
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    std::string path; // at the service
    const Organisation* organisation = nullptr; // of `config`
    const Pool* pool = nullptr; // of `config`
    std::shared_ptr<const ConfigIndex> config;
    MonotonicTime deadline;
    bool repeatable = false;
    std::string idempotencyKey;
    Span span;
};

// One call to a plain service. A call that must not be repeated is claimed first: the claim is durable before
// a byte goes to the service, the service is called once on a fresh connection, and what became of it is
// recorded. Such a call goes on when its caller leaves.
class ServiceCall : public AdmittedCall, public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(Router&, ClaimClient&, ServiceCallInput);
    ~ServiceCall() override;

    void start();

    bool run() override;
    void refuse(AdmissionOutcome, Milliseconds retryAfter) override;

private:
    void claim();
    void decided(ClaimDecision, const ClaimOutcome&);
    void send();
    void exchangeEnded(const ExchangeResult&);
    void answered();
    void failed(ExchangeEnd, bool notRun);
    // Gives up the claim, if there is one: no byte of the call was written.
    void releaseClaim();
    void replyStored(const ClaimOutcome&);
    void replyAnswer();
    void fail(CallerErrorKind, const std::string& message, const std::string& remedy, Outcome,
        std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(Outcome, int status);
    MonotonicTime settleDeadline() const;
    UpstreamRequest upstreamRequest() const;
    Milliseconds timeLeft() const;

    Router& m_router;
    ClaimClient& m_claims;
    ServiceCallInput m_input;
    std::shared_ptr<PoolRuntime> m_pool;
    AdmissionTicket m_ticket;
    std::optional<ClaimClient::ClaimId> m_claim; // until it is settled
    std::set<UpstreamId> m_tried;
    std::shared_ptr<UpstreamRuntime> m_upstream;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<Span> m_attemptSpan;
    MonotonicTime m_startedAt;
    ResponseHead m_head;
    std::string m_body;
    bool m_overflow = false;
    bool m_earlierUnknown = false; // an attempt before the last one may have run
    bool m_admitted = false;
    bool m_finished = false;
};

} // namespace briarwharf
