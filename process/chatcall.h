#pragma once

#include "connection/eventstream.h"
#include "connection/upstreamclient.h"
#include "process/chatrequest.h"
#include "process/router.h"
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarwharf {

// What the caller interface has established before a chat request enters its pool.
struct ChatCallInput {
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    ChatRequest request;
    std::string chat;
    const Organisation* organisation = nullptr; // of `config`
    const Pool* pool = nullptr; // of `config`
    std::shared_ptr<const ConfigIndex> config;
    MonotonicTime deadline;
    Span span;
};

// One chat request: waits for its turn, is placed on an engine, and its answer goes to the caller event by
// event. A chat may be repeated, so an attempt that fails before the caller got a byte is made again on
// another engine, within the retry budget; later, a silent or cut stream is resumed at the same engine from
// the last event. An answer that cannot be completed ends as an error and never with the end mark.
class ChatCall : public AdmittedCall, public std::enable_shared_from_this<ChatCall> {
public:
    ChatCall(Router&, ChatCallInput);
    ~ChatCall() override;

    void start();

    bool run() override;
    void refuse(AdmissionOutcome, Milliseconds retryAfter) override;

private:
    bool hintIsUsable(const HintCheck&) const;
    void submit();
    void beginAttempt(UpstreamRuntime&);
    void sendAttempt();
    void resume();
    void startExchange(const UpstreamRequest&);
    UpstreamRequest newRequest() const;

    void headReceived(const ResponseHead&);
    void dataReceived(std::string_view);
    void eventReceived(std::string_view data);
    void exchangeEnded(const ExchangeResult&);

    void forwardEvent(std::string_view data);
    void applyBackPressure();
    void callerDrained();
    void callerLeft();

    void wholeAnswerEnded();
    void attemptFailed(ExchangeEnd, bool notRun);
    bool retryElsewhere(ExchangeEnd, bool notRun);
    void failCaller(CallerErrorKind, const std::string& message, const std::string& remedy);
    void finishAttempt();
    void finish(Outcome, int status);
    void countUsage(std::string_view json);
    bool identifierMatches(std::string_view json) const;
    HttpHeaders answerHeaders() const;
    Milliseconds timeLeft() const;
    std::string className() const;

    Router& m_router;
    ChatCallInput m_input;
    std::shared_ptr<PoolRuntime> m_pool;
    RequestClass m_class;
    AdmissionTicket m_ticket;
    std::int64_t m_tokens;
    std::string m_idField; // as engines usually write it
    std::string m_contextName; // of the chat at the engine, with the organisation
    PlacementRequest m_placement;
    std::set<UpstreamId> m_tried;

    std::shared_ptr<UpstreamRuntime> m_upstream;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<Span> m_attemptSpan;
    EventStreamParser m_parser;
    Timer m_slowCallerTimer;
    MonotonicTime m_startedAt;
    int m_status = 0; // of the engine's answer
    bool m_crossed = false; // the answer carries another request's identifier
    bool m_engineSaysNotRun = false;
    bool m_overflow = false;
    std::string m_wholeBody;
    std::string m_contentType;
    std::size_t m_contentEvents = 0; // forwarded; the offset for a resume
    std::size_t m_bytesWritten = 0;
    int m_attempts = 0;
    int m_resumes = 0;
    bool m_earlierUnknown = false;
    bool m_exception = false; // placed elsewhere than the rendezvous order says
    bool m_wasException = false; // according to the directory
    bool m_streamStarted = false; // towards the caller
    bool m_doneSeen = false;
    bool m_paused = false;
    bool m_finished = false;
    bool m_admitted = false;
};

} // namespace briarwharf
