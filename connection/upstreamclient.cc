#include "connection/upstreamclient.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarwharf {

namespace {

    // Servers close idle connections earlier.
    constexpr Milliseconds idleTimeout { 60000 };

    constexpr std::array<std::string_view, 7> endNames { "complete", "connect_failed", "truncated", "silent",
        "deadline_exceeded", "invalid", "cancelled" };

    // Requests of these methods state the length of their body even if it is empty.
    bool hasBodyByMethod(std::string_view method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

    // Leaves a field out that would not be one field on the wire.
    void addField(std::string& out, const HttpHeader& header)
    {
        bool isName
            = !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), &isTokenByte);
        if (isName && std::all_of(header.value.begin(), header.value.end(), &isTextByte))
            appendField(out, header.name, header.value);
    }

} // namespace

std::string_view exchangeEndName(ExchangeEnd end) { return endNames[static_cast<std::size_t>(end)]; }

UpstreamExchange::UpstreamExchange(
    UpstreamClient* client, const UpstreamRequest& request, ExchangeCallbacks callbacks)
    : m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_timer(client->m_base, [this] { handleTimer(); })
    , m_deadline(std::chrono::steady_clock::now() + request.deadline)
    , m_lastByteTime(std::chrono::steady_clock::now())
    , m_silenceTimeout(request.silenceTimeout)
    , m_maxAnswerBytes(request.maxAnswerBytes)
{
}

UpstreamExchange::~UpstreamExchange() = default;

void UpstreamExchange::start(const UpstreamRequest& request)
{
    OutgoingRequest outgoing = m_client->outgoing(request);
    m_requestBytes = outgoing.head.size() + request.body.size();
    auto exchange = m_client->m_pool->start(m_client->m_endpoint, outgoing, *this);
    if (exchange)
        m_exchange = std::move(exchange.value());
    else
        m_deadline = std::chrono::steady_clock::now(); // the timer reports the end from the event loop
    restartTimer();
}

void UpstreamExchange::restartTimer()
{
    MonotonicTime limit = m_deadline;
    if (!m_paused)
        limit = std::min(limit, m_lastByteTime + m_silenceTimeout);
    // Rounded up, so that the timer does not fire just before the limit.
    m_timer.start(toMilliseconds(limit - std::chrono::steady_clock::now()) + Milliseconds(1));
}

void UpstreamExchange::handleTimer()
{
    MonotonicTime now = std::chrono::steady_clock::now();
    bool isSilent = !m_paused && now >= m_lastByteTime + m_silenceTimeout;
    if (now < m_deadline && !isSilent)
        return restartTimer();
    if (!requestWritten())
        return finish(ExchangeEnd::ConnectFailed);
    finish(now >= m_deadline ? ExchangeEnd::DeadlineExceeded : ExchangeEnd::Silent);
}

void UpstreamExchange::finish(ExchangeEnd end)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timer.stop();
    m_requestWritten = requestWritten();
    m_client->m_bytesSent += m_requestWritten ? m_requestBytes : 0;
    m_exchange.reset();
    auto callbacks = std::move(m_callbacks);
    ExchangeResult result { end, m_requestWritten };
    m_client->release(this);
    if (end != ExchangeEnd::Cancelled && callbacks.onEnd)
        callbacks.onEnd(result);
}

void UpstreamExchange::cancel() { finish(ExchangeEnd::Cancelled); }

void UpstreamExchange::pauseReading()
{
    if (m_finished || m_paused || !m_exchange)
        return;
    m_paused = true;
    m_exchange->pauseReading();
    restartTimer();
}

void UpstreamExchange::resumeReading()
{
    if (m_finished || !m_paused)
        return;
    m_paused = false;
    m_lastByteTime = std::chrono::steady_clock::now();
    m_exchange->resumeReading();
    restartTimer();
}

void UpstreamExchange::answerHead(const HttpHead& head)
{
    if (m_finished)
        return;
    m_lastByteTime = std::chrono::steady_clock::now();
    m_framing = head.framing;
    ResponseHead response;
    response.status = head.status;
    for (std::size_t index = 0; index < head.fields.size(); ++index) {
        HttpFields::Field field = head.fields.at(index);
        response.headers.push_back({ std::string(field.name), std::string(field.value) });
        m_client->m_bytesReceived += field.name.size() + field.value.size();
    }
    restartTimer();
    if (m_callbacks.onHead)
        m_callbacks.onHead(response);
}

void UpstreamExchange::answerBody(std::string_view bytes)
{
    if (m_finished)
        return;
    m_lastByteTime = std::chrono::steady_clock::now();
    m_client->m_bytesReceived += bytes.size();
    m_answerBytes += bytes.size();
    if (m_maxAnswerBytes > 0 && m_answerBytes > m_maxAnswerBytes)
        return finish(ExchangeEnd::Invalid);
    restartTimer();
    if (m_callbacks.onData)
        m_callbacks.onData(bytes);
}

// An answer that ends with its connection may be a part of one.
void UpstreamExchange::answerEnd()
{
    finish(m_framing == BodyFraming::UntilClose ? ExchangeEnd::Truncated : ExchangeEnd::Complete);
}

void UpstreamExchange::exchangeFailed(const ExchangeFailure& failure)
{
    switch (failure.kind) {
    case ExchangeFailureKind::NotConnected:
        return finish(ExchangeEnd::ConnectFailed);
    case ExchangeFailureKind::Invalid:
        return finish(ExchangeEnd::Invalid);
    case ExchangeFailureKind::Broken:
        return finish(ExchangeEnd::Truncated);
    }
}

UpstreamClient::UpstreamClient(
    event_base* base, std::string address, std::uint16_t port, std::shared_ptr<HttpPool> pool)
    : m_base(base)
    , m_endpoint { std::move(address), port }
    , m_pool(pool ? std::move(pool) : makePool(base))
{
}

UpstreamClient::~UpstreamClient()
{
    while (!m_exchanges.empty())
        m_exchanges.begin()->second->cancel();
    m_pool->closeIdle(m_endpoint);
}

std::shared_ptr<HttpPool> UpstreamClient::makePool(event_base* base)
{
    HttpPoolOptions options;
    options.tcp.connectTimeout = Milliseconds(1000);
    options.defaultIdleTimeout = idleTimeout;
    return std::make_shared<HttpPool>(base, options);
}

std::shared_ptr<UpstreamExchange> UpstreamClient::start(
    const UpstreamRequest& request, ExchangeCallbacks callbacks)
{
    std::shared_ptr<UpstreamExchange> exchange(new UpstreamExchange(this, request, std::move(callbacks)));
    m_exchanges.emplace(exchange.get(), exchange);
    exchange->start(request);
    return exchange;
}

OutgoingRequest UpstreamClient::outgoing(const UpstreamRequest& request) const
{
    OutgoingRequest outgoing;
    outgoing.head = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "Host"))
        appendField(outgoing.head, "Host", m_endpoint.address);
    for (const HttpHeader& header : request.headers)
        addField(outgoing.head, header);
    if (!request.body.empty() || hasBodyByMethod(request.method))
        appendField(outgoing.head, "Content-Length", std::to_string(request.body.size()));
    outgoing.head += "\r\n";
    outgoing.answerHasNoBody = request.method == "HEAD";
    if (!request.body.empty())
        outgoing.body = std::make_shared<const std::string>(request.body);
    if (request.freshConnection)
        outgoing.maxIdle = Milliseconds(-1);
    return outgoing;
}

// Destroyed from the event loop, because one of its functions may be on the stack.
void UpstreamClient::release(UpstreamExchange* exchange)
{
    auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    auto owned = std::move(found->second);
    m_exchanges.erase(found);
    runLater(m_base, [owned] {});
}

} // namespace briarwharf
