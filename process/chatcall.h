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

// A chat request that the caller interface has authenticated, parsed and assigned to a pool.
struct ChatCallInput {
    std::shared_ptr<HttpExchange> exchange;
    std::string requestId;
    ChatRequest request;
    std::string chat;
    const Organisation* organisation = nullptr; // owned by `config`
    const Pool* pool = nullptr; // owned by `config`
    std::shared_ptr<const ConfigIndex> config;
    MonotonicTime deadline;
    Span span;
};

// One chat request. It waits for admission to its pool and is placed on an engine; a streamed answer is
// forwarded to the caller event by event. A chat completion may run more than once, so an attempt that fails
// before the first byte was sent to the caller is retried on another engine, within the retry budget. After
// the first byte, a stream that was interrupted (such as a silent or truncated one) is resumed at the same
// engine after the last content event that was forwarded. An answer that cannot be completed ends with an
// error and never with the end mark.
class ChatCall : public PendingCall, public std::enable_shared_from_this<ChatCall> {
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
    UpstreamRequest makeUpstreamRequest() const;

    void headReceived(const ResponseHead&);
    void dataReceived(std::string_view);
    void eventReceived(std::string_view data);
    void exchangeEnded(const ExchangeResult&);

    void forwardEvent(std::string_view data);
    void applyBackPressure();
    void callerBufferDrained();
    void callerDisconnected();

    void bufferedAnswerEnded();
    void attemptFailed(ExchangeEnd, bool notRun);
    bool retryElsewhere(ExchangeEnd, bool notRun);
    void failCaller(CallerErrorKind, const std::string& message, const std::string& remedy);
    void finishAttempt();
    void finish(Outcome, int status);
    void countUsage(std::string_view json);
    bool identifierMatches(std::string_view json) const;
    HttpHeaders answerHeaders() const;
    Milliseconds timeLeft() const;
    std::string requestClassName() const;

    Router& m_router;
    ChatCallInput m_input;
    std::shared_ptr<PoolRuntime> m_pool;
    RequestClass m_class;
    AdmissionTicket m_ticket;
    std::int64_t m_estimatedTokens;
    // The JSON field "id" with this request's identifier, as engines usually write it.
    std::string m_expectedIdField;
    std::string m_contextName; // ORGANISATION/CHAT: identifies the chat's context at the engine
    PlacementRequest m_placement;
    std::set<UpstreamId> m_triedUpstreams;

    std::shared_ptr<UpstreamRuntime> m_upstream;
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::optional<Span> m_attemptSpan;
    EventStreamParser m_parser;
    Timer m_slowCallerTimer;
    MonotonicTime m_startedAt;
    int m_status = 0; // HTTP status of the engine's answer
    bool m_identifierMismatch = false; // the answer carries another request's identifier
    bool m_engineReportedNotRun = false;
    bool m_answerTooLarge = false;
    std::string m_bufferedBody;
    std::string m_contentType;
    std::size_t m_forwardedContentEvents = 0; // events with content; the offset at which a resume starts
    std::size_t m_writtenAttempts = 0; // attempts of which at least one byte was sent
    int m_attempts = 0;
    int m_resumes = 0;
    bool m_earlierAttemptUnknown = false; // an attempt that failed may have run
    bool m_notFirstChoice = false; // placed on another engine than the rendezvous first choice
    bool m_directoryHadEntry = false; // the residence directory named an engine for the chat
    bool m_streamStarted = false; // the head of the stream was sent to the caller
    bool m_endMarkReceived = false;
    bool m_readingPaused = false;
    bool m_finished = false;
    bool m_admitted = false;
};

} // namespace briarwharf
