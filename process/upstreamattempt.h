#pragma once

#include "process/forwarder.h"
#include "request/request.h"
#include <memory>
#include <string>
#include <string_view>

namespace briarwharf {

// One attempt of a request at an upstream: the exchange, its times and what has been received of the answer.
// It passes the events of the exchange to the request and keeps the books that count requests in progress;
// what follows from an event is decided by the request.
//
//   auto attempt = std::make_unique<UpstreamAttempt>(request, forwarder, relay);
//   attempt->begin(upstream, std::move(exchange), decision, now);   // the exchange reports to `attempt`
//   ... events arrive at the request
//   attempt->close(pool);
struct UpstreamAttempt : OutgoingEvents {
    enum class AnswerMode {
        None, // no head received yet
        Buffered, // kept in memory until it is complete
        Forwarding, // larger than maxBufferedAnswerBytes: forwarded as it arrives
        Events, // a stream, forwarded event by event
    };

    // The relay holds what earlier attempts forwarded of a stream.
    UpstreamAttempt(ForwardedRequest&, Forwarder&, const EventRelay&);
    ~UpstreamAttempt() override;
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Takes over the exchange, whose events this object receives, and counts the request as in progress at
    // the upstream.
    void begin(std::shared_ptr<Forwarder::Upstream>, std::unique_ptr<OutgoingExchange>, const CostDecision&,
        MonotonicTime now);
    // Ends the exchange, if it has not ended, and what begin() counted. What was received is kept.
    void close(const std::string& pool);

    bool isWritten() const { return headReceived || (exchange && exchange->written()); }
    // Whether the attempt is in progress and nothing of it was handed to the network.
    bool isUnwritten() const { return upstream && exchange && !exchange->written(); }
    std::uint64_t events() const { return relay.eventCount() - eventsBefore; }
    std::size_t bufferedBytes() const { return buffered.size() + relay.incompleteBytes(); }
    // Memory of the head and the buffers.
    std::size_t heldBytes() const { return head.heldBytes() + buffered.capacity() + relay.incompleteBytes(); }

    void answerHead(const HttpHead&) override;
    void answerBody(std::string_view) override;
    void answerEnd() override;
    void exchangeFailed(const ExchangeFailure&) override;

    std::shared_ptr<Forwarder::Upstream> upstream; // null before begin() and after close()
    std::unique_ptr<OutgoingExchange> exchange; // null once it has ended
    CostDecision decision;
    MonotonicTime sentAt;
    MonotonicTime lastProgressAt; // when the head, a part of the body or a complete event last arrived
    bool isHedge = false; // sent while the first attempt was in progress
    bool headReceived = false; // of the answer
    bool silenceRecorded = false; // for the upstream's health
    bool readingPaused = false; // the caller reads more slowly than the upstream sends

    AnswerMode mode = AnswerMode::None;
    HttpHead head;
    std::string buffered;
    EventRelay relay;
    std::uint64_t eventsBefore = 0; // events of earlier attempts
    MonotonicTime firstEventAt;
    bool answerIsSound = false; // the upstream survived the start of the answer
    bool answerComplete = false; // the upstream's whole answer was received

private:
    ForwardedRequest& m_request;
    Forwarder& m_forwarder;
};

} // namespace briarwharf
