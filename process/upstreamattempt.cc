#include "process/upstreamattempt.h"

#include "base/base.h"
#include "process/forwardedrequest.h"
#include <utility>

namespace briarwharf {

UpstreamAttempt::UpstreamAttempt(ForwardedRequest& request, Forwarder& forwarder, const EventRelay& relayed)
    : relay(relayed)
    , eventsBefore(relayed.eventCount())
    , m_request(request)
    , m_forwarder(forwarder)
{
}

UpstreamAttempt::~UpstreamAttempt() = default;

void UpstreamAttempt::begin(std::shared_ptr<Forwarder::Upstream> chosen,
    std::unique_ptr<OutgoingExchange> started, const CostDecision& chosenBy, MonotonicTime now)
{
    upstream = std::move(chosen);
    exchange = std::move(started);
    decision = chosenBy;
    sentAt = lastProgressAt = now;
    m_forwarder.m_inProgress.started(upstream->hash, decision.tokensToRead);
}

void UpstreamAttempt::close(const std::string& pool)
{
    exchange.reset();
    if (!upstream)
        return;
    if (!headReceived)
        m_forwarder.m_inProgress.answerStarted(upstream->hash, decision.tokensToRead);
    m_forwarder.m_inProgress.ended(upstream->hash);
    m_forwarder.attemptFinished(pool, clockNow() - sentAt);
    if (m_forwarder.m_availability.isLeaving(upstream->lifetimeHash)
        || m_forwarder.isEvacuated(upstream->entry))
        m_forwarder.m_connections.closeIdle(upstream->entry.endpoint);
    upstream.reset();
    headReceived = false;
}

void UpstreamAttempt::answerHead(const HttpHead& received)
{
    m_request.select(*this);
    m_request.answerHead(received);
}

void UpstreamAttempt::answerBody(std::string_view bytes)
{
    m_request.select(*this);
    m_request.answerBody(bytes);
}

void UpstreamAttempt::answerEnd()
{
    m_request.select(*this);
    m_request.answerEnd();
}

void UpstreamAttempt::exchangeFailed(const ExchangeFailure& failure)
{
    m_request.select(*this);
    m_request.exchangeFailed(failure);
}

} // namespace briarwharf
