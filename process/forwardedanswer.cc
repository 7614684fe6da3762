// The member functions of ForwardedRequest that receive the upstream's answer and send the caller's.

#include "base/base.h"
#include "process/forwardedrequest.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // Weight of one observation in the moving average of an upstream's slowness, and the bounds of an
    // observation.
    constexpr double slownessWeight = 0.15;
    constexpr double minSlowness = 0.5;
    constexpr double maxSlowness = 10;

    // An answer up to this size is kept although the buffers of all requests together are full.
    constexpr std::size_t smallAnswerBytes = 8 * 1024;

    // What a request takes without heads and buffers: the object and its small strings and lists.
    constexpr std::size_t requestBytes = 4 * 1024;

    // An upstream that goes on with an answer for this long after the first event has survived its start.
    constexpr Milliseconds soundAnswerAge { 300 };

    // The answer's Content-Type without its parameters.
    std::string_view mediaType(const HttpFields& fields)
    {
        std::string_view type = fields.find("Content-Type");
        type = type.substr(0, type.find(';'));
        while (!type.empty() && type.back() == ' ')
            type.remove_suffix(1);
        return type;
    }

} // namespace

void ForwardedRequest::answerHead(const HttpHead& head)
{
    MonotonicTime now = clockNow();
    recordFirstByte(now);
    if (head.status != 421) // else another upstream has the address now
        recordRateLimit(head);
    m_attempt->head = head;
    bool success = head.status >= 200 && head.status < 300;
    const std::string& signature = m_forwarder.m_headers.signature;
    if (success && !signature.empty() && !head.fields.has(signature))
        return attemptEnded(AttemptEnd::Broken, "the upstream's success answer has no signature");
    if (head.status != 421)
        recordAvailability(head);
    if (success && m_stream && !continuesStream(head))
        return attemptEnded(AttemptEnd::Broken, "the upstream's success answer does not continue the stream");
    if (success)
        observeFirstByte(*m_attempt, now);
    m_attempt->mode
        = success && m_route->kind == RouteKind::Stream ? AnswerMode::Events : AnswerMode::Buffered;
}

// Whether the answer is of the same kind as the one that began the stream.
bool ForwardedRequest::continuesStream(const HttpHead& head) const
{
    return head.status == m_stream->status && equalHeaderNames(mediaType(head.fields), m_stream->mediaType);
}

void ForwardedRequest::recordRateLimit(const HttpHead& head)
{
    std::string_view text = head.fields.find(m_forwarder.m_headers.rateLimit);
    auto limit = parseNumber<double>(text);
    if (!limit && !text.empty())
        return; // no number: neither a limit nor the end of one
    bool success = head.status >= 200 && head.status < 300;
    if (!limit && !success)
        return; // a failure may come from something before the upstream, which does not know its limit
    double before = m_forwarder.m_limits.limit(m_attempt->upstream->lifetimeHash);
    m_forwarder.m_limits.stated(m_attempt->upstream->lifetimeHash, limit, clockNow());
    double after = m_forwarder.m_limits.limit(m_attempt->upstream->lifetimeHash);
    if (after == before)
        return;
    LogLine(LogLevel::Info, "upstream", "limit")
        .field("id", m_fields.requestId)
        .field("upstream", m_attempt->upstream->entry.id)
        .field("per_second", after);
}

// Any value of `leaving` but 1 is ignored, because a lifetime that leaves is not used again.
void ForwardedRequest::recordAvailability(const HttpHead& head)
{
    if (head.fields.find(m_forwarder.m_headers.leaving) == "1"
        && m_forwarder.setLeaving(*m_attempt->upstream))
        LogLine(LogLevel::Info, "upstream", "leaving")
            .field("id", m_fields.requestId)
            .field("upstream", m_attempt->upstream->entry.id);
    if (auto remaining = parseColdTime(head.fields.find(m_forwarder.m_headers.coldFor)))
        m_forwarder.recordCold(*m_attempt->upstream, *remaining);
    auto pause = head.status == 503 ? parseRetryAfter(head.fields.find("Retry-After")) : std::nullopt;
    if (pause && m_forwarder.pause(*m_attempt->upstream, *pause))
        LogLine(LogLevel::Info, "upstream", "pause")
            .field("id", m_fields.requestId)
            .field("upstream", m_attempt->upstream->entry.id)
            .field("pause_ms", pause->count());
}

void ForwardedRequest::recordFirstByte(MonotonicTime now)
{
    m_attempt->lastProgressAt = m_attempt->upstream->lastByteAt = now;
    m_attempt->headReceived = true;
    m_forwarder.m_inProgress.answerStarted(m_attempt->upstream->hash, m_attempt->decision.tokensToRead);
    if (m_firstByteAt == MonotonicTime {})
        m_firstByteAt = now;
    double waited = fractionalMilliseconds(now - m_attempt->sentAt);
    if (servedByEngines())
        m_forwarder.m_forecast.observe(
            m_pool, m_attempt->decision.tokensToRead, m_attempt->decision.expectedMs, waited, now);
    recordSlowness(*m_attempt, waited, now);
}

void ForwardedRequest::recordSlowness(const UpstreamAttempt& attempt, double waitedMs, MonotonicTime now)
{
    double ratio = waitedMs / std::max(1.0, attempt.decision.expectedMs);
    attempt.upstream->updateSlowness(std::clamp(ratio, minSlowness, maxSlowness), slownessWeight, now);
}

void ForwardedRequest::recordUnansweredWaits(MonotonicTime now)
{
    recordUnansweredWait(*m_attempt, now);
    if (m_other)
        recordUnansweredWait(*m_other, now);
}

void ForwardedRequest::recordUnansweredWait(const UpstreamAttempt& attempt, MonotonicTime now)
{
    double waited = fractionalMilliseconds(now - attempt.sentAt);
    if (servedByEngines() && attempt.exchange && !attempt.headReceived
        && waited > attempt.decision.expectedMs)
        m_forwarder.m_forecast.observe(
            m_pool, attempt.decision.tokensToRead, attempt.decision.expectedMs, waited, now);
    if (attempt.exchange && !attempt.headReceived && m_hedgeAt && now >= *m_hedgeAt)
        observeFirstByte(attempt, now);
}

void ForwardedRequest::answerBody(std::string_view bytes)
{
    if (m_done || !m_attempt->exchange)
        return;
    MonotonicTime now = clockNow();
    m_attempt->upstream->lastByteAt = now;
    if (m_attempt->mode == AnswerMode::Events)
        return forwardEvents(bytes, now);
    m_attempt->lastProgressAt = now;
    if (m_attempt->mode == AnswerMode::Forwarding)
        return forwardBytes(bytes);
    if (!m_caller)
        return; // nobody receives the body, which may have no end
    m_attempt->buffered += bytes;
    countBuffered();
    if (exceedsBuffers())
        return attemptEnded(AttemptEnd::Broken, "the buffers of this instance are full");
    if (m_attempt->buffered.size() > m_forwarder.m_settings.maxBufferedAnswerBytes)
        forwardLargeAnswer();
}

void ForwardedRequest::countBuffered()
{
    std::size_t bytes = m_attempt->bufferedBytes() + (m_other ? m_other->bufferedBytes() : 0)
        + (m_failure ? m_failure->body.size() : 0);
    m_forwarder.m_bufferedBytes += bytes - m_countedBytes;
    m_countedBytes = bytes;
    m_memory.set(requestBytes + m_request.head.heldBytes() + m_attempt->heldBytes()
        + (m_other ? sizeof(UpstreamAttempt) + m_other->heldBytes() : 0)
        + (m_failure ? m_failure->body.capacity() : 0));
}

bool ForwardedRequest::exceedsBuffers() const
{
    return m_forwarder.m_bufferedBytes > m_forwarder.m_settings.maxBufferedBytes
        && m_countedBytes > smallAnswerBytes;
}

// Called when a buffered answer is too large to be kept until it is complete. One that would not be passed on
// if it were complete is not forwarded either: its head decides.
void ForwardedRequest::forwardLargeAnswer()
{
    bool notRun = m_attempt->head.fields.has(m_forwarder.m_headers.notRun);
    bool failed = m_attempt->head.status >= 500 && (notRun || mayRepeat());
    if (m_answerBegun || failed || statusMeansNotRun(m_attempt->head.status))
        return finishBuffered();
    m_attempt->mode = AnswerMode::Forwarding;
    std::string buffered = std::exchange(m_attempt->buffered, {});
    countBuffered();
    beginAnswer(buffered);
}

// Only complete events count as progress: an upstream that sends a byte of an event now and then has stalled.
void ForwardedRequest::forwardEvents(std::string_view bytes, MonotonicTime now)
{
    std::string out;
    Status passed = m_attempt->relay.feed(bytes, out);
    if (!out.empty()) {
        m_attempt->lastProgressAt = now;
        recordEvents(now);
    }
    if (!out.empty() && m_caller) {
        if (m_answerBegun)
            forwardBytes(out);
        else
            beginAnswer(out);
    }
    countBuffered();
    if (!passed)
        return attemptEnded(AttemptEnd::Broken, passed.error().message);
    if (exceedsBuffers())
        attemptEnded(AttemptEnd::Broken, "the buffers of this instance are full");
}

void ForwardedRequest::recordEvents(MonotonicTime now)
{
    if (m_attempt->firstEventAt == MonotonicTime {})
        m_attempt->firstEventAt = now;
    if (!m_attempt->answerIsSound && now - m_attempt->firstEventAt >= soundAnswerAge)
        recordSoundAnswer(now);
}

// The upstream has survived the start of its answer, so none of the prompt's segments crashes it.
void ForwardedRequest::recordSoundAnswer(MonotonicTime now)
{
    m_attempt->answerIsSound = true;
    MonotonicTime began = m_attempt->firstEventAt == MonotonicTime {} ? now : m_attempt->firstEventAt;
    bool success = m_attempt->head.status >= 200 && m_attempt->head.status < 300;
    if (success)
        m_forwarder.m_quarantine.recordAnswer(m_sharedSegments, began, now);
}

void ForwardedRequest::recordServed(MonotonicTime now)
{
    // The candidate is that of the first attempt. A hedge goes only to an upstream with free slots.
    bool mayHaveWaited = !m_attempt->isHedge && m_chosenCandidate.requests >= m_chosenCandidate.slots;
    m_forwarder.m_shares.answered(m_pool, now - m_attempt->sentAt, mayHaveWaited);
}

// The head is sent only with the first bytes of the body: until then another upstream can replace one that
// fails without the caller noticing.
void ForwardedRequest::beginAnswer(std::string_view firstBytes)
{
    endOther("the other attempt was faster");
    m_answerBegun = true;
    if (m_attempt->mode == AnswerMode::Events)
        m_stream = StreamStart { m_attempt->head.status, std::string(mediaType(m_attempt->head.fields)) };
    std::optional<std::uint64_t> length;
    if (m_attempt->mode == AnswerMode::Forwarding && m_attempt->head.framing == BodyFraming::Length)
        length = m_attempt->head.contentLength;
    m_caller->startAnswer(m_attempt->head.status, callerHeaderLines(m_attempt->head, m_forwarder.m_headers),
        length, firstBytes);
}

void ForwardedRequest::forwardBytes(std::string_view bytes)
{
    if (!m_caller)
        return;
    m_caller->write(bytes);
    if (m_caller->pendingBytes() <= m_forwarder.m_settings.streamBufferBytes)
        return;
    m_attempt->readingPaused = true;
    m_attempt->exchange->pauseReading();
}

void ForwardedRequest::callerDrained()
{
    if (!m_attempt->exchange)
        return;
    if (std::exchange(m_attempt->readingPaused, false))
        m_attempt->lastProgressAt = m_attempt->upstream->lastByteAt = clockNow();
    m_attempt->exchange->resumeReading();
}

void ForwardedRequest::answerEnd()
{
    if (m_done)
        return;
    m_attempt->exchange.reset();
    m_attempt->answerComplete = true;
    if (m_attempt->mode == AnswerMode::Buffered)
        return finishBuffered();
    if (m_attempt->mode == AnswerMode::Events) {
        // Without a length, a stream that ends before its first event cannot be told from a broken one.
        bool isEmpty = m_attempt->head.framing == BodyFraming::UntilClose && m_attempt->events() == 0;
        if (isEmpty || !m_attempt->relay.isAtBoundary()) {
            reportBrokenConnection();
            return attemptEnded(AttemptEnd::Broken,
                isEmpty ? "the stream ended without an event" : "the stream ended in the middle of an event");
        }
    }
    if (m_attempt->mode == AnswerMode::Forwarding || m_attempt->events() > 0)
        recordSoundAnswer(clockNow());
    ++m_attempts;
    recordHealth(AttemptEnd::TimeUp, false);
    recordServed(clockNow());
    m_attempt->close(m_pool);
    if (!m_answerBegun)
        return deliverBuffered(); // a stream without events
    if (m_caller)
        m_caller.release()->end();
    finish("answered", m_attempt->head.status, {});
}

// Called when a buffered answer is complete, or too large to be forwarded: delivers it, or ends the attempt
// if its status shows that the upstream refused or failed.
void ForwardedRequest::finishBuffered()
{
    bool notRun = m_attempt->head.fields.has(m_forwarder.m_headers.notRun);
    if (m_attempt->head.status == 421)
        return attemptEnded(AttemptEnd::WrongUpstream, "the address belongs to another upstream now");
    if (notRun && (m_attempt->head.status >= 500 || m_attempt->head.status == 429))
        return attemptEnded(AttemptEnd::Refused, "the upstream refused");
    if (m_attempt->head.status >= 500 || statusMeansNotRun(m_attempt->head.status))
        return attemptEnded(AttemptEnd::FailureAnswered, "the upstream answered with a failure status");
    ++m_attempts;
    recordHealth(AttemptEnd::TimeUp, false);
    recordSoundAnswer(clockNow());
    recordServed(clockNow());
    m_attempt->close(m_pool);
    deliverBuffered();
}

void ForwardedRequest::deliverBuffered()
{
    endOther("the other attempt was faster");
    int status = m_attempt->head.status;
    if (m_answerBegun) {
        m_caller.release()->abort();
        return finish("cut", status, "no other upstream continued the stream");
    }
    if (m_caller)
        m_caller.release()->answer(
            status, callerHeaderLines(m_attempt->head, m_forwarder.m_headers), m_attempt->buffered);
    finish("answered", status, {});
}

void ForwardedRequest::deliverFailure(KeptAnswer answer)
{
    m_attempt->head = std::move(answer.head);
    m_attempt->buffered = std::move(answer.body);
    deliverBuffered();
}

void ForwardedRequest::answerLocally(const LocalAnswer& answer)
{
    if (!m_caller)
        return;
    std::string lines;
    appendField(lines, "Content-Type", "application/json");
    if (!m_fields.requestId.empty())
        appendField(lines, m_forwarder.m_headers.requestId, m_fields.requestId);
    if (answer.retryAfter.count() > 0) {
        std::string seconds = std::to_string(static_cast<double>(answer.retryAfter.count()) / 1000);
        appendField(lines, "Retry-After", seconds.substr(0, seconds.find('.') + 4));
    }
    Json body { { "error",
        { { "type", answer.type }, { "message", answer.message },
            { "request_id", std::string(m_fields.requestId) } } } };
    m_caller.release()->answer(answer.status, lines, dumpJson(body));
}

void ForwardedRequest::finish(std::string_view outcome, int status, std::string_view reason)
{
    if (std::exchange(m_done, true))
        return;
    MonotonicTime now = clockNow();
    bool reachedUpstream = m_arrivals > 0 || (m_attempt->exchange && m_attempt->exchange->written());
    if (!reachedUpstream)
        m_forwarder.m_quarantine.withdrawTrial(m_sharedSegments, m_admittedAt);
    ForwarderCounters& counters = m_forwarder.m_counters;
    if (outcome == "answered")
        ++counters.answered;
    else if (outcome == "refused")
        ++counters.refused;
    else if (outcome == "failed")
        ++counters.failed;
    else if (outcome == "cut")
        ++counters.cut;
    bool hedgeWon = m_attempt->isHedge && outcome == "answered" && status < 500;
    if (hedgeWon)
        ++counters.hedgesWon;
    double first
        = m_firstByteAt == MonotonicTime {} ? -1 : fractionalMilliseconds(m_firstByteAt - m_request.received);
    LogLine line(LogLevel::Info, "request", "end");
    line.field("id", m_fields.requestId)
        .field("outcome", outcome)
        .field("status", status)
        .field("reason", reason)
        .field("route", m_route ? std::string_view(m_route->name) : std::string_view())
        .field("pool", m_pool)
        .field("upstream", m_tried.empty() ? std::string_view() : std::string_view(m_tried.back()))
        .field("attempts", m_attempts)
        .field("first_ms", first)
        .field("total_ms", fractionalMilliseconds(now - m_request.received))
        .field("expected_ms", m_attempt->decision.expectedMs)
        .field("likely_ms", m_likelyMs)
        .field("to_read", m_attempt->decision.tokensToRead)
        .field("prompt", m_item.promptTokens)
        .field("placed", costReasonName(m_attempt->decision.reason))
        .field("segment", m_item.affinityKey())
        .field("there", m_chosenCandidate.requests)
        .field("there_prompt", m_chosenCandidate.pendingPromptTokens)
        .field("slowness", m_chosenCandidate.slowness)
        .field("events", m_attempt->relay.eventCount())
        .field("routing_version", m_table ? m_table->version() : 0)
        .field("directory_revision", m_forwarder.m_directoryRevision);
    if (m_shareRefusal)
        line.field(
                "organisation", m_organisation ? std::string_view(m_organisation->name) : std::string_view())
            .field("share_ratio", m_shareRefusal->ratio)
            .field("share_demand", m_shareRefusal->demand)
            .field("retry_after_ms", m_shareRefusal->retryAfter.count());
    if (m_hedged)
        line.field("hedge_won", hedgeWon);
    EndedRequest ended;
    ended.outcome = outcome;
    ended.totalSeconds = fractionalMilliseconds(now - m_request.received) / 1000;
    if (first >= 0)
        ended.firstByteSeconds = first / 1000;
    ended.onTime
        = outcome == "answered" && m_route && first <= static_cast<double>(m_route->targetLatency.count());
    if (outcome == "answered") {
        ended.forecastRatio = fractionalMilliseconds(m_firstByteAt - m_attempt->sentAt)
            / std::max(1.0, m_attempt->decision.expectedMs);
        ended.promptTokens = m_item.promptTokens;
        ended.tokensToRead = m_attempt->decision.tokensToRead;
    }
    m_forwarder.m_metrics.observe(ended);
    m_attempt->close(m_pool);
    if (m_other)
        m_other->close(m_pool);
    m_forwarder.finished(*this);
}

} // namespace briarwharf
