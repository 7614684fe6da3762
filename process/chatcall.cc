#include "process/chatcall.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // Engines write the identifier near the start of each event. A text search in the first bytes finds it
    // without parsing the JSON of every event.
    constexpr std::size_t identifierSearchBytes = 256;

    // Prefix that some engines add to the request identifier that they were sent.
    constexpr std::string_view engineIdPrefix = "chatcmpl-";

    constexpr int maxAttempts = 3;

    constexpr std::size_t maxEventBytes = 1024 * 1024;
    constexpr std::string_view endMark = "[DONE]";
    constexpr Milliseconds cancelTimeout { 2000 };

    // Values of the `priority` field in requests to engines; requests with a lower number run first.
    constexpr int shortRequestPriority = 0;
    constexpr int longRequestPriority = 10;

    WallTime wallNow() { return std::chrono::system_clock::now(); }

    bool hasContent(std::string_view event)
    {
        std::size_t field = event.find("\"content\":");
        if (field == std::string_view::npos)
            return false;
        std::size_t value = event.find_first_not_of(' ', field + std::string_view("\"content\":").size());
        return value != std::string_view::npos && event[value] == '"' && event.substr(value, 2) != "\"\"";
    }

    // Appends the priority as the last field of the body. Of several fields with the same name, JSON
    // parsers usually keep the last one, so it overrides a priority that the caller sent.
    std::string withPriority(const std::string& body, int priority)
    {
        std::size_t end = body.rfind('}');
        return body.substr(0, end) + ",\"priority\":" + std::to_string(priority) + "}";
    }

} // namespace

ChatCall::ChatCall(Router& router, ChatCallInput input)
    : m_router(router)
    , m_input(std::move(input))
    , m_pool(router.pool(m_input.pool->name))
    , m_class(classify(m_input.request.promptTokens, m_input.request.maxTokens,
          m_input.config->policy(*m_input.pool).shortTokens))
    , m_ticket(router.nextTicket())
    , m_estimatedTokens(m_input.request.promptTokens + m_input.request.maxTokens)
    , m_expectedIdField("\"id\":\"" + m_input.requestId + "\"")
    , m_contextName(m_input.organisation->name + "/" + m_input.chat)
    , m_parser(maxEventBytes, [this](std::string_view data) { eventReceived(data); })
    , m_slowCallerTimer(router.base(),
          [this] {
              failCaller(CallerErrorKind::UpstreamFailed, "the caller took no byte for too long",
                  "read the stream faster");
          })
    , m_startedAt(clockNow())
{
    m_router.requestOpened();
    m_placement.chat = chatKey(m_input.organisation->name, m_input.chat);
    m_placement.tokens = m_estimatedTokens;
    m_placement.returning = m_input.request.returning;
    m_placement.outputTokens = m_input.request.maxTokens;
    m_placement.nonce = hash64(m_input.requestId);
}

ChatCall::~ChatCall() { m_router.requestClosed(); }

void ChatCall::start()
{
    auto self = shared_from_this();
    m_input.exchange->onClosed([self] { self->callerDisconnected(); });
    auto hintText = findHeader(m_input.exchange->request().headers, header::residence);
    HintCheck hint
        = m_router.hints().verify(hintText.value_or(""), m_input.organisation->name, m_input.chat, wallNow());
    m_router.metrics().countHint(std::string(hintVerdictName(hint.verdict)));
    m_router.retryBudget().requestStarted(clockNow());
    if (hintIsUsable(hint)) {
        m_placement.hint = hint.upstream;
        return submit();
    }
    if (!m_input.request.returning)
        return submit();
    m_router.findResidence(m_placement.chat, [self](std::optional<UpstreamId> upstream) {
        self->m_placement.directory = upstream;
        self->m_directoryHadEntry = upstream.has_value();
        self->submit();
    });
}

// A hint that was issued before its engine lost its cache is ignored: it would place the chat away from its
// rendezvous first choice without a cached context to gain.
bool ChatCall::hintIsUsable(const HintCheck& hint) const
{
    if (hint.verdict != HintVerdict::Valid)
        return false;
    const UpstreamRuntime* upstream = m_router.upstreams().find(hint.upstream);
    return upstream && upstream->settings.state == UpstreamState::Serving
        && (!upstream->cacheEmptySince || hint.issued >= *upstream->cacheEmptySince);
}

void ChatCall::submit()
{
    if (m_finished)
        return;
    m_placement.typicalOutputTokens = m_pool->ledger().typicalOutputTokens();
    AdmissionRequest admissionRequest;
    admissionRequest.ticket = m_ticket;
    admissionRequest.organisation = m_input.organisation->name;
    admissionRequest.weight = m_input.organisation->weight;
    admissionRequest.requestClass = m_class;
    admissionRequest.tokens = m_estimatedTokens;
    admissionRequest.deadline = m_input.deadline;
    m_pool->submit(std::move(admissionRequest), shared_from_this());
}

bool ChatCall::run()
{
    auto self = shared_from_this();
    if (m_finished)
        return true;
    auto mayGetWork = [this](const UpstreamRuntime& upstream) { return m_router.mayGetNewWork(upstream); };
    auto isHealthy = [this](const UpstreamRuntime& upstream) { return m_router.isHealthy(upstream); };
    PlacementDecision decision = m_pool->place(m_placement, m_triedUpstreams, mayGetWork, isHealthy);
    if (decision.reason == PlacementReason::Saturated)
        return false;
    m_router.metrics().countPlacement(std::string(placementReasonName(decision.reason)));
    if (!m_admitted)
        m_router.metrics().observeQueueTime(requestClassName(), clockNow() - m_startedAt);
    m_admitted = true;
    UpstreamRuntime* upstream = decision.upstream ? m_router.upstreams().find(*decision.upstream) : nullptr;
    if (!upstream) {
        failCaller(CallerErrorKind::NoUpstream,
            "no upstream of pool " + m_input.pool->name + " takes new work",
            "retry later; operators: see SHOW UPSTREAMS");
        return true;
    }
    m_notFirstChoice = decision.notFirstChoice;
    beginAttempt(*upstream);
    return true;
}

void ChatCall::refuse(AdmissionOutcome outcome, Milliseconds retryAfter)
{
    CallerError error;
    error.outcome = Outcome::NotRun;
    error.retryAfter = retryAfter;
    error.remedy = "retry after the time in Retry-After";
    if (m_router.isStopping()) {
        error.kind = CallerErrorKind::NotReady;
        error.message = "this instance is shutting down";
    } else if (outcome == AdmissionOutcome::OverRate) {
        error.kind = CallerErrorKind::RateLimited;
        error.message = "organisation " + m_input.organisation->name + " is over its token rate";
    } else if (outcome == AdmissionOutcome::DeadlinePassed && clockNow() >= m_input.deadline) {
        error.kind = CallerErrorKind::DeadlineExceeded;
        error.message = "the request's deadline passed while it waited";
        error.remedy = "send a longer " + std::string(header::deadline) + " or retry later";
    } else {
        error.kind = CallerErrorKind::Overloaded;
        error.message = "pool " + m_input.pool->name + " has no free slot ("
            + std::string(admissionOutcomeName(outcome)) + ")";
    }
    if (m_finished)
        return;
    replyError(*m_input.exchange, error, m_input.requestId);
    finish(Outcome::NotRun, callerErrorStatus(error.kind));
}

void ChatCall::beginAttempt(UpstreamRuntime& upstream)
{
    m_upstream = m_router.upstreams().all().at(upstream.settings.name);
    ++m_attempts;
    ++m_upstream->requestsInProgress;
    m_pool->ledger().sent(m_upstream->id, m_estimatedTokens, clockNow(), m_input.request.maxTokens);
    m_router.loadChanged(*m_upstream, m_estimatedTokens);
    m_bufferedBody.clear();
    m_endMarkReceived = false;
    m_parser = EventStreamParser(maxEventBytes, [this](std::string_view data) { eventReceived(data); });
    sendAttempt();
}

UpstreamRequest ChatCall::makeUpstreamRequest() const
{
    UpstreamRequest request;
    request.headers = {
        { "Content-Type", "application/json" },
        { header::upstreamRequestId, m_input.requestId },
        { header::chat, m_contextName },
        { header::traceparent, formatTraceparent(m_attemptSpan->context) },
    };
    request.deadline = timeLeft();
    // Without streaming, no byte arrives while the engine generates the answer, so silence shows a failure
    // only in a stream.
    request.silenceTimeout = m_input.request.stream ? m_router.settings().limits.upstreamSilence : timeLeft();
    return request;
}

void ChatCall::sendAttempt()
{
    m_attemptSpan = m_router.tracer().startSpan(
        "engine " + m_upstream->settings.name, m_input.span.context, false, wallNow());
    UpstreamRequest request = makeUpstreamRequest();
    request.target = "/v1/chat/completions";
    request.body = withPriority(m_input.exchange->request().body,
        m_class == RequestClass::Short ? shortRequestPriority : longRequestPriority);
    startExchange(request);
}

void ChatCall::resume()
{
    ++m_resumes;
    m_parser = EventStreamParser(maxEventBytes, [this](std::string_view data) { eventReceived(data); });
    m_attemptSpan = m_router.tracer().startSpan(
        "resume " + m_upstream->settings.name, m_input.span.context, false, wallNow());
    UpstreamRequest request = makeUpstreamRequest();
    request.method = "GET";
    request.target
        = "/v1/streams/" + m_input.requestId + "?offset=" + std::to_string(m_forwardedContentEvents);
    request.freshConnection = true;
    startExchange(request);
}

void ChatCall::startExchange(const UpstreamRequest& request)
{
    m_status = 0;
    m_identifierMismatch = false;
    m_engineReportedNotRun = false;
    m_readingPaused = false;
    auto self = shared_from_this();
    m_exchange = m_upstream->client->start(request,
        { [self](const ResponseHead& head) { self->headReceived(head); },
            [self](std::string_view data) { self->dataReceived(data); },
            [self](const ExchangeResult& result) { self->exchangeEnded(result); } });
}

void ChatCall::headReceived(const ResponseHead& head)
{
    m_status = head.status;
    m_contentType = findHeader(head.headers, "Content-Type").value_or("application/json");
    m_engineReportedNotRun = findHeader(head.headers, header::notRun) == "true";
    auto echoedId = findHeader(head.headers, header::upstreamRequestId);
    m_identifierMismatch = echoedId && *echoedId != m_input.requestId;
}

void ChatCall::dataReceived(std::string_view data)
{
    if (m_finished || m_identifierMismatch)
        return;
    bool isStream = m_input.request.stream && m_status == 200;
    if (isStream) {
        m_answerTooLarge = !m_parser.feed(data);
    } else {
        m_bufferedBody.append(data);
        m_answerTooLarge
            = m_bufferedBody.size() > static_cast<std::size_t>(m_router.settings().limits.maxAnswerBytes);
    }
    if (m_finished)
        return;
    // Stops reading an answer that belongs to another request.
    if (m_identifierMismatch) {
        m_exchange->cancel();
        return exchangeEnded({ ExchangeEnd::Invalid, true });
    }
    if (!m_answerTooLarge)
        return;
    m_exchange->cancel();
    failCaller(CallerErrorKind::AnswerTooLarge, "the engine's answer exceeds this instance's bound",
        "ask for fewer tokens, or stream the answer");
}

void ChatCall::eventReceived(std::string_view data)
{
    if (m_finished || m_identifierMismatch || m_endMarkReceived)
        return;
    if (data == endMark) {
        m_endMarkReceived = true;
        return;
    }
    if (!identifierMatches(data)) {
        m_identifierMismatch = true;
        return;
    }
    if (data.find("\"usage\"") != std::string_view::npos)
        countUsage(data);
    forwardEvent(data);
}

bool ChatCall::identifierMatches(std::string_view json) const
{
    std::string_view head = json.substr(0, identifierSearchBytes);
    if (head.find(m_expectedIdField) != std::string_view::npos)
        return true;
    auto parsed = parseJson(json, "event");
    auto id = parsed ? stringField(parsed.value(), "id") : std::nullopt;
    return id && (*id == m_input.requestId || *id == std::string(engineIdPrefix) + m_input.requestId);
}

HttpHeaders ChatCall::answerHeaders() const
{
    return {
        { header::requestId, m_input.requestId },
        { header::chat, m_input.chat },
        { header::residence,
            m_router.hints().issue(m_input.organisation->name, m_input.chat, m_upstream->id, wallNow()) },
    };
}

void ChatCall::forwardEvent(std::string_view data)
{
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_router.metrics().observeFirstByte(requestClassName(), clockNow() - m_startedAt);
        HttpHeaders headers = answerHeaders();
        headers.push_back({ "Content-Type", "text/event-stream" });
        headers.push_back({ "Cache-Control", "no-cache" });
        m_input.exchange->startStream(200, headers);
    }
    m_forwardedContentEvents += hasContent(data) ? 1 : 0;
    std::string event = "data: ";
    event.append(data).append("\n\n");
    m_input.exchange->write(event);
    applyBackPressure();
}

void ChatCall::applyBackPressure()
{
    if (m_readingPaused || !m_exchange
        || m_input.exchange->pendingBytes()
            < static_cast<std::size_t>(m_router.settings().limits.streamBufferBytes))
        return;
    m_readingPaused = true;
    m_exchange->pauseReading();
    m_slowCallerTimer.start(m_router.settings().limits.slowCallerTimeout);
    auto self = shared_from_this();
    m_input.exchange->onDrained([self] { self->callerBufferDrained(); });
}

void ChatCall::callerBufferDrained()
{
    if (!m_readingPaused || m_finished)
        return;
    m_readingPaused = false;
    m_slowCallerTimer.stop();
    if (m_exchange)
        m_exchange->resumeReading();
}

void ChatCall::callerDisconnected()
{
    if (m_finished)
        return;
    bool running = m_exchange != nullptr;
    if (running) {
        m_exchange->cancel();
        // Closing the connection does not stop the generation: engines keep a stream for a while so that it
        // can be resumed.
        UpstreamRequest request;
        request.target = "/v1/streams/" + m_input.requestId + "/cancel";
        request.deadline = cancelTimeout;
        m_upstream->client->start(request, {});
        finishAttempt();
    } else if (!m_admitted) {
        m_pool->cancel(m_ticket);
    }
    finish(Outcome::Unknown, 499);
}

void ChatCall::exchangeEnded(const ExchangeResult& result)
{
    m_exchange = nullptr;
    m_router.metrics().countExchangeEnd(std::string(exchangeEndName(result.end)));
    m_writtenAttempts += result.requestWritten ? 1 : 0;
    m_attemptSpan->failed = result.end != ExchangeEnd::Complete || m_identifierMismatch;
    m_attemptSpan->attributes.push_back(
        { "end", m_identifierMismatch ? "crossed" : std::string(exchangeEndName(result.end)) });
    m_router.tracer().finishSpan(*m_attemptSpan, wallNow());
    if (m_finished)
        return;
    if (result.end != ExchangeEnd::Complete || m_identifierMismatch)
        return attemptFailed(
            m_identifierMismatch ? ExchangeEnd::Invalid : result.end, !result.requestWritten);
    if (m_status == 503 && m_engineReportedNotRun)
        return attemptFailed(ExchangeEnd::Complete, true);
    if (m_status >= 500)
        return attemptFailed(ExchangeEnd::Complete, m_engineReportedNotRun);
    if (m_streamStarted
        && m_status != 200) // the answer to a resumption, in the middle of the caller's stream
        return attemptFailed(ExchangeEnd::Complete, false);
    if (!m_input.request.stream || m_status != 200)
        return bufferedAnswerEnded();
    if (!m_endMarkReceived)
        return attemptFailed(ExchangeEnd::Truncated, false);
    m_router.reportSuccess(*m_upstream);
    finishAttempt();
    std::string end = ": outcome " + std::string(outcomeName(Outcome::Completed)) + "\n\ndata: ";
    end.append(endMark).append("\n\n");
    if (!m_streamStarted)
        return failCaller(
            CallerErrorKind::AnswerTruncated, "the engine's stream was empty", "retry the request");
    m_input.exchange->write(end);
    m_input.exchange->end();
    finish(Outcome::Completed, 200);
}

void ChatCall::bufferedAnswerEnded()
{
    if (m_status == 200 && !identifierMatches(m_bufferedBody))
        return attemptFailed(ExchangeEnd::Invalid, false);
    m_router.reportSuccess(*m_upstream);
    finishAttempt();
    countUsage(m_bufferedBody);
    m_router.metrics().observeFirstByte(requestClassName(), clockNow() - m_startedAt);
    HttpHeaders headers = answerHeaders();
    Outcome outcome = m_engineReportedNotRun ? Outcome::NotRun : Outcome::Completed;
    headers.push_back({ "Content-Type", m_contentType });
    headers.push_back({ header::outcome, std::string(outcomeName(outcome)) });
    m_input.exchange->reply(m_status, headers, m_bufferedBody);
    finish(outcome, m_status);
}

void ChatCall::attemptFailed(ExchangeEnd end, bool notRun)
{
    m_router.reportFailure(*m_upstream, end);
    bool mayResume = m_streamStarted && m_resumes < m_router.settings().limits.maxResumes
        && end != ExchangeEnd::DeadlineExceeded && end != ExchangeEnd::Complete;
    if (mayResume && timeLeft() > Milliseconds(0)) {
        m_router.metrics().countRetry("resumed");
        return resume();
    }
    finishAttempt();
    m_earlierAttemptUnknown = m_earlierAttemptUnknown || !notRun;
    if (!m_streamStarted && retryElsewhere(end, notRun))
        return;
    if (end == ExchangeEnd::DeadlineExceeded || timeLeft() <= Milliseconds(0)) {
        return failCaller(CallerErrorKind::DeadlineExceeded, "the request's deadline passed while it ran",
            "send a longer " + std::string(header::deadline) + " or ask for fewer tokens");
    }
    bool wasTruncated = m_streamStarted || end == ExchangeEnd::Truncated || end == ExchangeEnd::Silent;
    failCaller(wasTruncated ? CallerErrorKind::AnswerTruncated : CallerErrorKind::UpstreamFailed,
        "the engine's answer could not be completed ("
            + (m_identifierMismatch ? std::string("crossed") : std::string(exchangeEndName(end))) + ")",
        "retry the request: a chat completion may be repeated");
}

bool ChatCall::retryElsewhere(ExchangeEnd end, bool notRun)
{
    if (end == ExchangeEnd::DeadlineExceeded || m_attempts >= maxAttempts)
        return false;
    RetrySituation situation;
    situation.repeatable = true;
    situation.lastAttempt = notRun ? Outcome::NotRun : Outcome::Unknown;
    situation.bytesSentToCaller = m_streamStarted;
    situation.deadline = m_input.deadline;
    RetryVerdict verdict = m_router.retryBudget().tryRetry(situation, clockNow());
    m_router.metrics().countRetry(std::string(retryVerdictName(verdict)));
    if (verdict != RetryVerdict::Allowed)
        return false;
    m_triedUpstreams.insert(m_upstream->id);
    if (m_placement.hint == m_upstream->id)
        m_placement.hint.reset();
    // The request keeps its admission slot. If all other upstreams are saturated, it is neither placed beyond
    // their limits nor queued again: a queued request counts as one that did not run, but this one may have
    // run. It fails unless the second choice below succeeds.
    auto mayGetWork = [this](const UpstreamRuntime& upstream) { return m_router.mayGetNewWork(upstream); };
    auto isHealthy = [this](const UpstreamRuntime& upstream) { return m_router.isHealthy(upstream); };
    PlacementDecision decision = m_pool->place(m_placement, m_triedUpstreams, mayGetWork, isHealthy);
    // If no other upstream can be used, the same upstreams are tried again: the failure may only mean that a
    // reused connection was closed while the request was being written.
    if (!decision.upstream)
        decision = m_pool->place(m_placement, {}, mayGetWork, isHealthy);
    UpstreamRuntime* upstream = decision.upstream ? m_router.upstreams().find(*decision.upstream) : nullptr;
    if (!upstream)
        return false;
    m_notFirstChoice = true;
    beginAttempt(*upstream);
    return true;
}

void ChatCall::failCaller(CallerErrorKind kind, const std::string& message, const std::string& remedy)
{
    if (m_finished)
        return;
    auto self = shared_from_this();
    if (m_exchange) {
        m_exchange->cancel();
        m_exchange = nullptr;
        finishAttempt();
    }
    OutcomeFacts facts;
    facts.bytesWritten = m_writtenAttempts;
    facts.answerComplete = m_engineReportedNotRun;
    facts.upstreamReportedNotRun = m_engineReportedNotRun;
    facts.earlierAttemptUnknown = m_earlierAttemptUnknown;
    CallerError error { kind, message, remedy, deriveOutcome(facts), std::nullopt };
    if (kind == CallerErrorKind::NoUpstream)
        error.retryAfter = Milliseconds(1000);
    if (m_streamStarted) {
        m_input.exchange->write(": outcome " + std::string(outcomeName(error.outcome))
            + "\n\ndata: " + callerErrorBody(error, m_input.requestId) + "\n\n");
        m_input.exchange->end();
    } else {
        replyError(*m_input.exchange, error, m_input.requestId);
    }
    finish(error.outcome, m_streamStarted ? 200 : callerErrorStatus(kind));
}

// Removes the attempt's tokens and request from the load that is counted for its engine.
void ChatCall::finishAttempt()
{
    if (!m_upstream)
        return;
    --m_upstream->requestsInProgress;
    m_pool->ledger().finished(m_upstream->id, m_estimatedTokens, clockNow());
    m_router.loadChanged(*m_upstream, -m_estimatedTokens);
}

void ChatCall::finish(Outcome outcome, int status)
{
    if (m_finished)
        return;
    m_finished = true;
    m_slowCallerTimer.stop();
    if (outcome == Outcome::Completed && m_upstream) {
        if (m_notFirstChoice && m_placement.directory != m_upstream->id)
            m_router.updateResidence(m_placement.chat, m_upstream->settings.name);
        else if (!m_notFirstChoice && m_directoryHadEntry)
            m_router.updateResidence(m_placement.chat, {});
        m_pool->residents().recordTurn(
            m_input.organisation->name, m_input.chat, m_upstream->id, m_estimatedTokens, clockNow());
    }
    m_router.metrics().observeDuration(requestClassName(), clockNow() - m_startedAt);
    m_router.metrics().countRequest(
        m_input.pool->name, requestClassName(), std::string(outcomeName(outcome)), status);
    m_input.span.failed = outcome != Outcome::Completed;
    m_input.span.attributes.push_back({ "outcome", std::string(outcomeName(outcome)) });
    if (m_upstream)
        m_input.span.attributes.push_back({ "upstream", m_upstream->settings.name });
    m_router.tracer().finishSpan(m_input.span, wallNow());
    // Last, because releasing the slot may start other requests at once.
    if (m_admitted)
        m_pool->finished(m_ticket);
}

void ChatCall::countUsage(std::string_view json)
{
    auto parsed = parseJson(json, "usage");
    if (!parsed || !parsed.value().is_object())
        return;
    auto usage = parsed.value().find("usage");
    if (usage == parsed.value().end() || !usage->is_object())
        return;
    auto prompt = integerField(*usage, "prompt_tokens");
    auto details = usage->find("prompt_tokens_details");
    auto cached = details == usage->end() ? std::nullopt : integerField(*details, "cached_tokens");
    if (prompt && cached)
        m_router.metrics().countCachedTokens(static_cast<double>(*cached), static_cast<double>(*prompt));
}

Milliseconds ChatCall::timeLeft() const
{
    return std::max(Milliseconds(0), toMilliseconds(m_input.deadline - clockNow()));
}

std::string ChatCall::requestClassName() const { return m_class == RequestClass::Short ? "short" : "long"; }

} // namespace briarwharf
