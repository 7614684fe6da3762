#include "connection/ingressconnection.h"

#include "base/log.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // Reading pauses once more than this many bytes of later requests are buffered while one is being
    // answered; when memory is scarce, once there are any.
    constexpr std::size_t maxPipelinedBytes = 64 * 1024;

    // A pipelined request is not read before no more than this many bytes of earlier answers are unsent.
    constexpr std::size_t maxUnsentAtNextRequest = 64 * 1024;

    // Minimum rate of a body, and the longest time that it may be behind, which allows a pause of this
    // length. 8 KiB/s is less than a hundredth of a link of 10 Mbit/s; the largest body takes 512 s.
    constexpr std::size_t minBodyBytesPerSecond = 8 * 1024;
    constexpr Milliseconds maxBodyLag { 10000 };
    // A body that is less behind may wait for a lost segment.
    constexpr Milliseconds minLag { 1000 };

    // Callers reuse a connection that was idle for up to four fifths of the idle timeout by their own clock,
    // which starts when they have the whole answer.
    constexpr double reusedIdleShare = 0.9;

    // After an answer to a request that was not read to its end, input is read and dropped for this long.
    // Closing with unread input would reset the connection, possibly before the caller has read the answer.
    constexpr Milliseconds lingerTimeout { 1000 };

    // A connection whose caller acknowledges no bytes of its answer for this long fails (TCP_USER_TIMEOUT).
    // The same for one that is closed after the answer and whose caller reads nothing.
    constexpr Milliseconds stalledWriteTimeout { 60000 };

    // What a connection without a head or buffers takes: the objects and the three events of its stream.
    constexpr std::size_t connectionBytes = 2048;

    // A connection that holds less is not worth its eviction.
    constexpr std::size_t minEvictedBytes = 1024;

    // Lag at which what a connection holds counts twice, so that connections that move stay.
    constexpr double doublingLagMs = 1000;

    std::string startLine(int status)
    {
        std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
        line += statusPhrase(status);
        line += "\r\n";
        return line;
    }

    TcpOptions callerOptions()
    {
        TcpOptions options;
        options.unacknowledgedTimeout = stalledWriteTimeout;
        return options;
    }

} // namespace

IngressConnection::IngressConnection(Ingress& ingress, int socket, Ingress::Source source)
    : m_ingress(ingress)
    , m_source(source)
    , m_stream(TcpStream::adopt(ingress.m_base, socket, callerOptions(), *this))
    , m_parser(HttpParser::Kind::Request, ingress.m_limits.maxHeadBytes)
    , m_stateEntered(clockNow())
    , m_progress(minBodyBytesPerSecond)
    , m_idleLimit(ingress.m_limits.idleTimeout)
    , m_body(ingress.m_memory)
    , m_connectionMemory(ingress.m_memory, MemoryKind::Connections)
    , m_inputMemory(ingress.m_memory, MemoryKind::CallerInput)
    , m_outputMemory(ingress.m_memory, MemoryKind::CallerOutput)
{
    m_connectionMemory.set(connectionBytes);
}

IngressConnection::~IngressConnection()
{
    if (m_state == State::Answering)
        --m_ingress.m_inProgress;
    if (m_events)
        std::exchange(m_events, nullptr)->callerLeft();
}

bool IngressConnection::isIdle() const
{
    return m_state == State::Reading && !m_parser.started() && m_pipelinedInput.empty()
        && m_stream->pendingBytes() == 0;
}

bool IngressConnection::isUnused(MonotonicTime now) const
{
    if (m_state != State::Reading || (m_parser.started() && m_parser.headDone()))
        return false;
    return !m_requested || (isIdle() && now - m_stateEntered > reusedIdleShare * m_idleLimit);
}

bool IngressConnection::isBehind(MonotonicTime now) const
{
    return m_state == State::Reading && m_parser.headDone() && m_stream->pendingBytes() == 0
        && m_progress.lag(now) > minLag;
}

void IngressConnection::checkTimeouts(MonotonicTime now)
{
    const IngressLimits& limits = m_ingress.m_limits;
    countSent(now);
    if (m_state == State::Closing) {
        if (isStalled(now))
            close();
    } else if (m_state == State::Discarding) {
        if (now - m_stateEntered > lingerTimeout)
            close();
    } else if (m_state == State::Reading && !m_parser.started()) {
        if (isIdle() && now - m_stateEntered > std::max(m_idleLimit, limits.idleTimeout))
            close();
    } else if (m_state == State::Reading) {
        bool headLate = !m_parser.headDone() && now - m_firstByteTime > limits.headTimeout;
        bool bodyLate = m_parser.headDone() && m_progress.lag(now) > maxBodyLag;
        m_ingress.m_counters.tooSlow += bodyLate ? 1 : 0;
        if (headLate || bodyLate)
            refuse(408, "the request did not arrive in time: send it again");
    }
}

bool IngressConnection::isStalled(MonotonicTime now)
{
    std::size_t undelivered = m_stream->undeliveredBytes();
    if (undelivered < m_undeliveredBytes)
        m_deliveredAt = now;
    m_undeliveredBytes = undelivered;
    return now - std::max(m_deliveredAt, m_stateEntered) > stalledWriteTimeout;
}

bool IngressConnection::isRefusable() const
{
    return m_state == State::Reading && m_parser.started() && m_stream->pendingBytes() == 0;
}

std::size_t IngressConnection::evictableBytes() const
{
    if (m_state == State::Closed)
        return 0;
    std::size_t unread
        = m_state == State::Reading && m_parser.started() ? m_body.capacity() + m_parser.heldBytes() : 0;
    std::size_t pipelined = m_pipelinedInput.empty() ? 0 : m_pipelinedInput.capacity();
    std::size_t bytes = unread + pipelined + m_stream->heldOutputBytes();
    return bytes < minEvictedBytes ? 0 : bytes;
}

double IngressConnection::evictionScore(MonotonicTime now) const
{
    double lag = static_cast<double>(m_progress.lag(now).count());
    return static_cast<double>(evictableBytes()) * (1 + std::max(0.0, lag) / doublingLagMs);
}

void IngressConnection::evict()
{
    if (isRefusable())
        return refuseOverloaded();
    m_ingress.reportOverload("closed", evictableBytes());
    handleDisconnect();
}

void IngressConnection::streamReceived(std::string_view bytes)
{
    if (m_state == State::Discarding || m_state == State::Closing || m_state == State::Closed)
        return;
    // After an answer, input that waited is parsed from the loop, and these bytes follow it.
    if (m_state == State::Answering || !m_pipelinedInput.empty() || mustDrainFirst())
        return keepInput(bytes);
    parse(bytes);
}

void IngressConnection::keepInput(std::string_view bytes)
{
    m_pipelinedInput += bytes;
    countHeld();
    if (m_pipelinedInput.size() > maxPipelinedBytes || m_ingress.m_memory->isScarce())
        m_stream->pauseReading();
}

void IngressConnection::streamDrained()
{
    countSent(clockNow());
    countHeld();
    if (m_state == State::Closing)
        return close();
    if (m_state == State::Answering && m_events)
        return m_events->callerDrained();
    if (m_state == State::Reading && !m_pipelinedInput.empty())
        resumeInputLater();
}

void IngressConnection::messageHead(const HttpHead& head)
{
    m_progress.start(clockNow());
    bool tooLarge = head.framing == BodyFraming::Length && head.contentLength > m_maxBodyBytes;
    if (tooLarge) {
        m_bodyTooLarge = true;
        return;
    }
    if (head.minorVersion > 0 && equalHeaderNames(head.fields.find("Expect"), "100-continue"))
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void IngressConnection::messageBody(std::string_view bytes)
{
    m_progress.advance(bytes.size(), clockNow());
    if (m_body.size() + bytes.size() > m_maxBodyBytes)
        m_bodyTooLarge = true;
    if (m_bodyTooLarge || m_overloaded)
        return;
    const HttpHead& head = m_parser.head();
    std::size_t longest = head.framing == BodyFraming::Length ? head.contentLength : m_maxBodyBytes;
    if (std::size_t needed = m_body.bytesToAllocate(bytes.size(), longest)) {
        const MemoryBudget& memory = *m_ingress.m_memory;
        auto enough = [&] { return memory.hasRoomForBody(needed, m_body.size() + bytes.size()); };
        m_overloaded = !m_ingress.freeMemory(enough, this);
    }
    if (!m_overloaded)
        m_body.append(bytes, longest);
}

void IngressConnection::answer(int status, std::string_view fields, std::string_view body)
{
    std::string out = startLine(status);
    out += fields;
    appendField(out, "Content-Length", std::to_string(body.size()));
    finishHead(out);
    if (!m_answersHead)
        out += body;
    writeCounted(out);
    finishAnswer();
}

void IngressConnection::startAnswer(
    int status, std::string_view fields, std::optional<std::uint64_t> length, std::string_view firstBytes)
{
    m_chunked = !length;
    std::string out = startLine(status);
    out += fields;
    if (length)
        appendField(out, "Content-Length", std::to_string(*length));
    else
        appendField(out, "Transfer-Encoding", "chunked");
    finishHead(out);
    if (!firstBytes.empty() && !m_answersHead)
        appendBody(out, firstBytes);
    writeCounted(out);
}

void IngressConnection::write(std::string_view bytes)
{
    if (bytes.empty() || m_answersHead)
        return;
    if (!m_chunked)
        return writeCounted(bytes);
    std::string out;
    out.reserve(bytes.size() + 16);
    appendChunk(out, bytes);
    writeCounted(out);
}

void IngressConnection::end()
{
    if (m_chunked && !m_answersHead)
        writeCounted(lastChunk);
    finishAnswer();
}

void IngressConnection::abort()
{
    m_events = nullptr;
    close();
}

void IngressConnection::parse(std::string_view bytes)
{
    if (!m_parser.started()) {
        m_firstByteTime = clockNow();
        m_progress.start(m_firstByteTime);
    }
    applyLimits();
    std::size_t used = m_parser.feed(bytes, *this);
    if (m_bodyTooLarge)
        return refuse(413, "the body is over the limit of this deployment: send a shorter one");
    if (m_overloaded || !reserveHead())
        return refuseOverloaded();
    if (m_parser.headTooLarge())
        return refuse(431, "the header lines are over the limit of this deployment: send fewer");
    if (m_parser.hasUnsupportedMethod())
        return refuse(501, "the method is not supported: use one that HTTP defines");
    if (m_parser.failed())
        return refuse(400, "the request is not valid HTTP/1.1: correct its syntax");
    if (!m_parser.complete())
        return;
    m_pipelinedInput.assign(bytes.substr(used));
    countHeld();
    dispatch();
}

// The limits may change while the connection is open. A request keeps those under which it began, unless they
// were raised since.
void IngressConnection::applyLimits()
{
    const IngressLimits& limits = m_ingress.m_limits;
    bool begins = !m_parser.started();
    m_parser.requireHost(limits.requiresHost);
    if (begins || limits.maxHeadBytes > m_parser.maxHeadBytes())
        m_parser.setMaxHeadBytes(limits.maxHeadBytes);
    if (begins || limits.maxBodyBytes > m_maxBodyBytes)
        m_maxBodyBytes = limits.maxBodyBytes;
}

// Counts the head, which has been allocated already: a part of it is at most one read.
bool IngressConnection::reserveHead()
{
    countHeld();
    return m_ingress.freeMemory([this] { return !m_ingress.m_memory->isExceeded(); }, this);
}

void IngressConnection::dispatch()
{
    m_state = State::Answering;
    m_requested = true;
    ++m_ingress.m_inProgress;
    ++m_ingress.m_counters.requests;
    IngressRequest request;
    request.head = m_parser.takeHead();
    request.received = m_firstByteTime;
    request.body = m_body.take();
    m_keepAlive = request.head.keepAlive;
    m_answersHead = request.head.method == "HEAD";
    countHeld();
    if (request.head.target == "*")
        return answer(200, "Allow: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS\r\n", {});
    m_ingress.m_handler(std::move(request), *this);
}

void IngressConnection::appendBody(std::string& out, std::string_view bytes) const
{
    if (m_chunked)
        appendChunk(out, bytes);
    else
        out += bytes;
}

void IngressConnection::finishHead(std::string& out)
{
    m_closeAfter = !m_keepAlive || m_ingress.m_closing;
    if (m_closeAfter)
        appendField(out, "Connection", "close");
    out += "\r\n";
}

void IngressConnection::finishAnswer()
{
    m_events = nullptr;
    --m_ingress.m_inProgress;
    if (m_closeAfter) {
        enterState(State::Closing);
        if (m_stream->pendingBytes() == 0)
            close();
        return;
    }
    enterState(State::Reading);
    m_idleLimit = m_ingress.m_limits.idleTimeout;
    m_parser.next();
    m_chunked = false;
    if (m_pipelinedInput.empty())
        return m_stream->resumeReading();
    resumeInputLater();
}

// From the loop, because the handler of the request just answered may still be running.
void IngressConnection::resumeInputLater()
{
    m_ingress.m_pipelined.push_back(this);
    m_ingress.m_deferredTimer.start(Milliseconds(0));
}

// Without this, a caller that reads nothing collects the answers to all requests that it pipelines.
bool IngressConnection::mustDrainFirst() const
{
    return m_state == State::Reading && !m_parser.started()
        && m_stream->pendingBytes() > maxUnsentAtNextRequest;
}

void IngressConnection::resumeInput()
{
    if (m_state != State::Reading || m_pipelinedInput.empty() || mustDrainFirst())
        return;
    std::string input = std::exchange(m_pipelinedInput, {});
    countHeld();
    m_stream->resumeReading();
    parse(input);
}

void IngressConnection::refuseOverloaded()
{
    m_ingress.reportOverload("refused", evictableBytes());
    sendRefusal(503, "this instance has no memory left for the request: send it again", "Retry-After: 1\r\n");
}

void IngressConnection::refuse(int status, std::string_view reason)
{
    ++m_ingress.m_counters.malformed;
    sendRefusal(status, reason, {});
}

// What has arrived of the request is freed at once.
void IngressConnection::sendRefusal(int status, std::string_view reason, std::string_view lines)
{
    std::string out = startLine(status);
    appendField(out, "Content-Type", "text/plain");
    appendField(out, "Content-Length", std::to_string(reason.size() + 1));
    appendField(out, "Connection", "close");
    out += lines;
    out += "\r\n";
    out += reason;
    out += "\n";
    m_body.clear();
    m_parser.takeHead();
    m_pipelinedInput = {};
    m_stream->write(out);
    enterState(State::Discarding);
    countHeld();
}

void IngressConnection::writeCounted(std::string_view bytes)
{
    MonotonicTime now = clockNow();
    countSent(now);
    if (m_unsentBytes == 0)
        m_progress.start(now);
    m_stream->write(bytes);
    m_unsentBytes = m_stream->pendingBytes();
    countHeld();
    if (m_ingress.m_memory->isExceeded())
        m_ingress.freeSoon();
}

// Bodies count themselves, because they outlive the connection while their request goes on.
void IngressConnection::countHeld()
{
    if (m_state == State::Closed)
        return;
    m_connectionMemory.set(connectionBytes + m_parser.heldBytes());
    m_inputMemory.set(m_pipelinedInput.empty() ? 0 : m_pipelinedInput.capacity());
    m_outputMemory.set(m_stream->heldOutputBytes());
}

void IngressConnection::countSent(MonotonicTime now)
{
    std::size_t unsent = m_stream->pendingBytes();
    if (m_unsentBytes > unsent)
        m_progress.advance(m_unsentBytes - unsent, now);
    m_unsentBytes = unsent;
}

void IngressConnection::enterState(State state)
{
    m_state = state;
    m_stateEntered = clockNow();
}

void IngressConnection::handleDisconnect()
{
    CallerEvents* events = std::exchange(m_events, nullptr);
    if (m_state == State::Answering)
        ++m_ingress.m_counters.abandoned;
    close();
    if (events)
        events->callerLeft();
}

// The buffers that remain are freed with the connection, from the loop, and no longer counted.
void IngressConnection::close()
{
    if (m_state == State::Closed)
        return;
    if (m_state == State::Answering)
        --m_ingress.m_inProgress;
    m_state = State::Closed;
    m_body.clear();
    m_pipelinedInput = {};
    m_connectionMemory.set(0);
    m_inputMemory.set(0);
    m_outputMemory.set(0);
    m_stream->pauseReading();
    m_ingress.remove(*this);
}

} // namespace briarwharf
