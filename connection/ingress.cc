#include "connection/ingress.h"

#include "base/log.h"
#include <algorithm>
#include <unistd.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds timeoutCheckInterval { 250 };

    // Reading pauses once more than this many bytes of later requests are buffered while one is being
    // answered.
    constexpr std::size_t maxPipelinedBytes = 64 * 1024;

    // Maximum time between two reads of a request's body.
    constexpr Milliseconds bodyPauseTimeout { 10000 };

    // After an answer to a request that was not read to its end, input is read and dropped for this long.
    // Closing with unread input would reset the connection, possibly before the caller has read the answer.
    constexpr Milliseconds lingerTimeout { 1000 };

    // Maximum time for sending the last answer on a connection that is to be closed.
    constexpr Milliseconds closingTimeout { 5000 };

    // A connection whose caller acknowledges no bytes of its answer for this long fails (TCP_USER_TIMEOUT).
    constexpr Milliseconds stalledWriteTimeout { 60000 };

    std::string startLine(int status)
    {
        std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
        line += statusPhrase(status);
        line += "\r\n";
        return line;
    }

} // namespace

class IngressConnection : public TcpStreamEvents, public HttpMessageSink, public CallerExchange {
public:
    IngressConnection(Ingress& ingress, int socket)
        : m_ingress(ingress)
        , m_parser(HttpParser::Kind::Request, ingress.m_limits.maxHeadBytes)
        , m_stateEntered(clockNow())
        , m_idleLimit(ingress.m_limits.idleTimeout)
    {
        TcpOptions options;
        options.unacknowledgedTimeout = stalledWriteTimeout;
        m_stream = TcpStream::adopt(ingress.m_base, socket, options, *this);
    }

    ~IngressConnection() override
    {
        if (m_state == State::Answering)
            --m_ingress.m_inProgress;
        if (m_events)
            std::exchange(m_events, nullptr)->callerLeft();
        m_ingress.m_bufferedBytes -= m_countedBytes;
    }
    IngressConnection(const IngressConnection&) = delete;
    IngressConnection& operator=(const IngressConnection&) = delete;

    // False while a part of the last answer waits to be sent, or a pipelined request to be parsed.
    bool isIdle() const
    {
        return m_state == State::Reading && !m_parser.started() && m_pipelinedInput.empty()
            && m_stream->pendingBytes() == 0;
    }

    // Closes the connection, or answers 408, if the timeout of its state has passed.
    void checkTimeouts(MonotonicTime now)
    {
        const IngressLimits& limits = m_ingress.m_limits;
        if (m_state == State::Closing || m_state == State::Discarding) {
            Milliseconds limit = m_state == State::Closing ? closingTimeout : lingerTimeout;
            if (now - m_stateEntered > limit)
                close();
        } else if (m_state == State::Reading && !m_parser.started()) {
            if (isIdle() && now - m_stateEntered > std::max(m_idleLimit, limits.idleTimeout))
                close();
        } else if (m_state == State::Reading) {
            bool timedOut = m_parser.headDone() ? now - m_lastBodyTime > bodyPauseTimeout
                                                : now - m_firstByteTime > limits.headTimeout;
            if (timedOut)
                refuse(408, "the request did not arrive in time: send it again");
        }
    }

    void streamReceived(std::string_view bytes) override
    {
        if (m_state == State::Discarding || m_state == State::Closing)
            return;
        // After an answer, input that waited is parsed from the loop, and these bytes follow it.
        if (m_state == State::Answering || !m_pipelinedInput.empty()) {
            m_pipelinedInput += bytes;
            countBuffered();
            if (m_pipelinedInput.size() > maxPipelinedBytes)
                m_stream->pauseReading();
            return;
        }
        parse(bytes);
    }

    void streamEnded() override { handleDisconnect(); }
    void streamFailed(std::string_view) override { handleDisconnect(); }

    void streamDrained() override
    {
        countBuffered();
        if (m_state == State::Closing)
            return close();
        if (m_state == State::Answering && m_events)
            m_events->callerDrained();
    }

    void messageHead(const HttpHead& head) override
    {
        bool tooLarge
            = head.framing == BodyFraming::Length && head.contentLength > m_ingress.m_limits.maxBodyBytes;
        if (tooLarge) {
            m_bodyTooLarge = true;
            return;
        }
        if (head.framing == BodyFraming::Length)
            m_body.reserve(std::min<std::uint64_t>(head.contentLength, maxPipelinedBytes));
        if (equalHeaderNames(head.fields.find("Expect"), "100-continue"))
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void messageBody(std::string_view bytes) override
    {
        m_lastBodyTime = clockNow();
        if (m_body.size() + bytes.size() > m_ingress.m_limits.maxBodyBytes)
            m_bodyTooLarge = true;
        const std::size_t limit = m_ingress.m_limits.maxBufferedBytes;
        m_overloaded = m_overloaded || m_ingress.m_bufferedBytes + bytes.size() > limit;
        if (m_bodyTooLarge || m_overloaded)
            return;
        m_body += bytes;
        m_bodyBytes = m_body.size();
        countBuffered();
    }

    void messageEnd() override { }

    void setEvents(CallerEvents* events) override { m_events = events; }

    void answer(int status, std::string_view fields, std::string_view body) override
    {
        std::string out = startLine(status);
        out += fields;
        appendField(out, "Content-Length", std::to_string(body.size()));
        finishHead(out);
        out += body;
        writeCounted(out);
        finishAnswer();
    }

    void startAnswer(int status, std::string_view fields, std::optional<std::uint64_t> length,
        std::string_view firstBytes) override
    {
        m_chunked = !length;
        std::string out = startLine(status);
        out += fields;
        if (length)
            appendField(out, "Content-Length", std::to_string(*length));
        else
            appendField(out, "Transfer-Encoding", "chunked");
        finishHead(out);
        if (!firstBytes.empty())
            appendBody(out, firstBytes);
        writeCounted(out);
    }

    void write(std::string_view bytes) override
    {
        if (bytes.empty())
            return;
        if (!m_chunked)
            return writeCounted(bytes);
        std::string out;
        out.reserve(bytes.size() + 16);
        appendChunk(out, bytes);
        writeCounted(out);
    }

    void end() override
    {
        if (m_chunked)
            writeCounted(lastChunk);
        finishAnswer();
    }

    void abort() override
    {
        m_events = nullptr;
        close();
    }

    std::size_t pendingBytes() const override { return m_stream->pendingBytes(); }

private:
    friend class Ingress;

    enum class State {
        Reading, // reading a request, or waiting for one
        Answering,
        Discarding, // answered before the request was read; input is dropped until a close or lingerTimeout
        Closing, // the last answer is being sent
        Closed,
    };

    void parse(std::string_view bytes)
    {
        if (!m_parser.started())
            m_firstByteTime = m_lastBodyTime = clockNow();
        std::size_t used = m_parser.feed(bytes, *this);
        if (m_bodyTooLarge)
            return refuse(413, "the body is over the limit of this deployment: send a shorter one");
        if (m_overloaded)
            return refuseOverloaded();
        if (m_parser.headTooLarge())
            return refuse(431, "the header lines are over the limit of this deployment: send fewer");
        if (m_parser.failed())
            return refuse(400, "the request is not valid HTTP/1.1: correct its syntax");
        if (!m_parser.complete())
            return;
        m_pipelinedInput.assign(bytes.substr(used));
        dispatch();
    }

    void dispatch()
    {
        m_state = State::Answering;
        ++m_ingress.m_inProgress;
        ++m_ingress.m_counters.requests;
        IngressRequest request;
        request.head = m_parser.head();
        request.received = m_firstByteTime;
        if (!m_body.empty())
            request.body = std::make_shared<const std::string>(std::move(m_body));
        m_body = {};
        m_keepAlive = request.head.keepAlive;
        m_ingress.m_handler(std::move(request), *this);
    }

    void appendBody(std::string& out, std::string_view bytes) const
    {
        if (m_chunked)
            appendChunk(out, bytes);
        else
            out += bytes;
    }

    void finishHead(std::string& out)
    {
        m_closeAfter = !m_keepAlive || m_ingress.m_closing;
        if (m_closeAfter)
            appendField(out, "Connection", "close");
        out += "\r\n";
    }

    void finishAnswer()
    {
        m_events = nullptr;
        m_bodyBytes = 0;
        countBuffered();
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
        // Parsed later, from the loop, because the handler of the request just answered may still be running.
        m_ingress.m_pipelined.push_back(this);
        m_ingress.m_deferredTimer.start(Milliseconds(0));
    }

    void resumeInput()
    {
        if (m_state != State::Reading || m_pipelinedInput.empty())
            return;
        std::string input = std::exchange(m_pipelinedInput, {});
        countBuffered();
        m_stream->resumeReading();
        parse(input);
    }

    void refuseOverloaded()
    {
        ++m_ingress.m_counters.overloaded;
        LogLine(LogLevel::Warning, "connection", "buffers-full")
            .field("action", "refused")
            .field("bytes", m_ingress.m_bufferedBytes);
        m_body = {};
        m_bodyBytes = 0;
        countBuffered();
        sendRefusal(503, "this instance has no memory left for the body: send the request again",
            "Retry-After: 1\r\n");
    }

    void refuse(int status, std::string_view reason)
    {
        ++m_ingress.m_counters.malformed;
        sendRefusal(status, reason, {});
    }

    void sendRefusal(int status, std::string_view reason, std::string_view lines)
    {
        std::string out = startLine(status);
        appendField(out, "Content-Type", "text/plain");
        appendField(out, "Content-Length", std::to_string(reason.size() + 1));
        appendField(out, "Connection", "close");
        out += lines;
        out += "\r\n";
        out += reason;
        out += "\n";
        m_stream->write(out);
        enterState(State::Discarding);
    }

    void writeCounted(std::string_view bytes)
    {
        m_stream->write(bytes);
        countBuffered();
    }

    // Freed by closing the connection. The body is not: its request may go on without the caller.
    std::size_t closableBytes() const { return m_pipelinedInput.size() + m_stream->pendingBytes(); }

    // The buffers of a closed connection are freed with it, from the loop, and no longer counted.
    void countBuffered()
    {
        if (m_state == State::Closed)
            return;
        std::size_t bytes = m_bodyBytes + closableBytes();
        m_ingress.m_bufferedBytes += bytes - m_countedBytes;
        m_countedBytes = bytes;
    }

    void enterState(State state)
    {
        m_state = state;
        m_stateEntered = clockNow();
    }

    void handleDisconnect()
    {
        CallerEvents* events = std::exchange(m_events, nullptr);
        if (m_state == State::Answering)
            ++m_ingress.m_counters.abandoned;
        close();
        if (events)
            events->callerLeft();
    }

    void close()
    {
        if (m_state == State::Closed)
            return;
        if (m_state == State::Answering)
            --m_ingress.m_inProgress;
        m_state = State::Closed;
        m_body = {};
        m_pipelinedInput = {};
        m_ingress.m_bufferedBytes -= std::exchange(m_countedBytes, 0);
        m_stream->pauseReading();
        m_ingress.remove(*this);
    }

    Ingress& m_ingress;
    Ingress::Connections::iterator m_position; // in Ingress::m_connections
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    State m_state = State::Reading;
    MonotonicTime m_stateEntered; // when the state was entered
    MonotonicTime m_firstByteTime; // when the first byte of the request arrived
    MonotonicTime m_lastBodyTime;
    Milliseconds m_idleLimit;
    std::string m_body;
    std::string m_pipelinedInput; // buffered bytes of later requests
    CallerEvents* m_events = nullptr;
    std::size_t m_bodyBytes = 0; // of the request that is being read or answered
    std::size_t m_countedBytes = 0; // of this connection's buffers, in the sum of all connections
    bool m_bodyTooLarge = false;
    bool m_overloaded = false; // the buffers of all connections were full while the body arrived
    bool m_keepAlive = true;
    bool m_closeAfter = false;
    bool m_chunked = false;
};

Ingress::Ingress(event_base* base, IngressLimits limits, Handler handler)
    : m_base(base)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_deferredTimer(base, [this] { runDeferred(); })
    , m_timeoutTicker(base, timeoutCheckInterval, [this] { checkTimeouts(); })
{
}

// Destroys the connections while the members that they use exist. Requests in progress get callerLeft().
Ingress::~Ingress()
{
    m_connections.clear();
    m_closedConnections.clear();
}

Result<std::uint16_t> Ingress::listen(const Endpoint& endpoint)
{
    auto listener = TcpListener::listen(
        m_base, endpoint.address, endpoint.port, [this](int socket) { accept(socket); });
    if (!listener)
        return listener.error();
    m_listener = std::move(listener.value());
    return m_listener->port();
}

void Ingress::setLimits(const IngressLimits& limits) { m_limits = limits; }

void Ingress::closeIdle(Milliseconds minIdle)
{
    MonotonicTime now = clockNow();
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        auto& current = **connection++;
        if (current.isIdle() && now - current.m_stateEntered >= minIdle)
            current.close();
    }
}

void Ingress::accept(int socket)
{
    if (m_connections.size() >= m_limits.maxConnections) {
        ++m_counters.refused;
        ::close(socket);
        return;
    }
    ++m_counters.accepted;
    m_connections.push_back(std::make_unique<IngressConnection>(*this, socket));
    m_connections.back()->m_position = std::prev(m_connections.end());
}

void Ingress::remove(IngressConnection& connection)
{
    m_closedConnections.splice(m_closedConnections.end(), m_connections, connection.m_position);
    m_deferredTimer.start(Milliseconds(0));
}

// Continues with pipelined requests and frees closed connections. Runs from the loop, when none of the
// connections' functions is on the stack.
void Ingress::runDeferred()
{
    for (IngressConnection* connection : std::exchange(m_pipelined, {}))
        connection->resumeInput();
    m_closedConnections.clear();
}

void Ingress::checkTimeouts()
{
    MonotonicTime now = clockNow();
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        auto& current = **connection++;
        current.checkTimeouts(now);
        current.countBuffered(); // output was sent meanwhile
    }
    closeLargest();
}

// Unsent output grows without a look at the sum, because an answer is written as it comes. Each connection
// holds little of it, so the largest are few.
void Ingress::closeLargest()
{
    while (m_bufferedBytes > m_limits.maxBufferedBytes) {
        auto largest = std::max_element(
            m_connections.begin(), m_connections.end(), [](const auto& left, const auto& right) {
                return left->closableBytes() < right->closableBytes();
            });
        if (largest == m_connections.end() || (*largest)->closableBytes() == 0)
            return;
        ++m_counters.overloaded;
        LogLine(LogLevel::Warning, "connection", "buffers-full")
            .field("action", "closed")
            .field("bytes", (*largest)->closableBytes());
        (*largest)->handleDisconnect();
    }
}

} // namespace briarwharf
