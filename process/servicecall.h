#pragma once

#include "connection/upstreamclient.h"
#include "process/claims.h"
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
    ServiceCall(Router&, ClaimService&, ServiceCallInput);
    ~ServiceCall() override;

    void start();

    bool run() override;
    void refuse(AdmissionOutcome, Milliseconds retryAfter) override;

private:
    void claim();
    void claimed(const ClaimAnswer&);
    void send();
    void exchangeEnded(const ExchangeResult&);
    void answered();
    void failed(ExchangeEnd, bool notRun);
    void settle(SettleKind, std::function<void()> then);
    void replyStored(const StoredAnswer&);
    void replyAnswer();
    void fail(CallerErrorKind, const std::string& message, const std::string& remedy, Outcome,
        std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(Outcome, int status);
    CallIdentity identity() const;
    UpstreamRequest upstreamRequest() const;
    Milliseconds timeLeft() const;

    Router& m_router;
    ClaimService& m_claims;
    ServiceCallInput m_input;
    std::shared_ptr<PoolRuntime> m_pool;
    AdmissionTicket m_ticket;
    std::string m_claimant; // unique for this request
    std::set<UpstreamId> m_tried;
    std::shared_ptr<UpstreamRuntime> m_upstream;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<Span> m_attemptSpan;
    MonotonicTime m_startedAt;
    ResponseHead m_head;
    std::string m_body;
    bool m_overflow = false;
    bool m_admitted = false;
    bool m_finished = false;
};

} // namespace briarwharf
