#include "connection/upstreamclient.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> methods { {
        { "GET", EVHTTP_REQ_GET },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
        { "PATCH", EVHTTP_REQ_PATCH },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "OPTIONS", EVHTTP_REQ_OPTIONS },
    } };

    evhttp_cmd_type methodFor(std::string_view method)
    {
        for (const auto& [name, command] : methods) {
            if (name == method)
                return command;
        }
        return EVHTTP_REQ_POST;
    }

    // The exchange has its own timer; the timeout of evhttp must not expire before it.
    constexpr Milliseconds libraryTimeout { 24 * 3600 * 1000 };

    constexpr std::array<std::string_view, 7> endNames { "complete", "connect_failed", "truncated", "silent",
        "deadline_exceeded", "invalid", "cancelled" };

    bool hasNoBody(int status)
    {
        return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED || status < HTTP_OK;
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
    , m_connectTimeout(client->m_options.connectTimeout)
{
}

UpstreamExchange::~UpstreamExchange() = default;

void UpstreamExchange::start(evhttp_connection* connection, const UpstreamRequest& request)
{
    m_connection = connection;
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    evbuffer_add_cb(output, &UpstreamExchange::outputChanged, this);
    evhttp_request* handle = evhttp_request_new(&UpstreamExchange::done, this);
    evhttp_request_set_header_cb(handle, &UpstreamExchange::headRead);
    evhttp_request_set_chunked_cb(handle, &UpstreamExchange::dataRead);
    evhttp_request_set_error_cb(handle, &UpstreamExchange::failed);
    evkeyvalq* headers = evhttp_request_get_output_headers(handle);
    for (const auto& header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    if (!evhttp_find_header(headers, "Host"))
        evhttp_add_header(headers, "Host", m_client->m_address.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(handle), request.body.data(), request.body.size());
    restartTimer();
    if (evhttp_make_request(connection, handle, methodFor(request.method), request.target.c_str()) != 0) {
        // evhttp has freed the request; the timer reports the end from the event loop.
        m_failure = ExchangeEnd::ConnectFailed;
        m_timer.start(Milliseconds(0));
        m_deadline = std::chrono::steady_clock::now();
    }
}

void UpstreamExchange::restartTimer()
{
    MonotonicTime limit = m_deadline;
    if (!m_paused) {
        Milliseconds allowed = m_connected ? m_silenceTimeout : std::min(m_silenceTimeout, m_connectTimeout);
        limit = std::min(limit, m_lastByteTime + allowed);
    }
    // Rounded up, so that the timer does not fire just before the limit.
    m_timer.start(toMilliseconds(limit - std::chrono::steady_clock::now()) + Milliseconds(1));
}

void UpstreamExchange::handleTimer()
{
    MonotonicTime now = std::chrono::steady_clock::now();
    if (now >= m_deadline)
        return finish(m_connected ? ExchangeEnd::DeadlineExceeded : ExchangeEnd::ConnectFailed);
    Milliseconds allowed = m_connected ? m_silenceTimeout : std::min(m_silenceTimeout, m_connectTimeout);
    if (!m_paused && now >= m_lastByteTime + allowed)
        return finish(m_connected ? ExchangeEnd::Silent : ExchangeEnd::ConnectFailed);
    restartTimer();
}

void UpstreamExchange::finish(ExchangeEnd end)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timer.stop();
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection));
    evbuffer_remove_cb(output, &UpstreamExchange::outputChanged, this);
    if (end == ExchangeEnd::Complete)
        m_client->recycle(m_connection);
    else
        m_client->closeLater(m_connection);
    m_connection = nullptr;
    auto callbacks = std::move(m_callbacks);
    ExchangeResult result { end, m_requestWritten };
    m_client->release(this);
    if (end != ExchangeEnd::Cancelled && callbacks.onEnd)
        callbacks.onEnd(result);
}

void UpstreamExchange::cancel() { finish(ExchangeEnd::Cancelled); }

void UpstreamExchange::pauseReading()
{
    if (m_finished || m_paused)
        return;
    m_paused = true;
    bufferevent_disable(evhttp_connection_get_bufferevent(m_connection), EV_READ);
    restartTimer();
}

void UpstreamExchange::resumeReading()
{
    if (m_finished || !m_paused)
        return;
    m_paused = false;
    m_lastByteTime = std::chrono::steady_clock::now();
    bufferevent_enable(evhttp_connection_get_bufferevent(m_connection), EV_READ);
    restartTimer();
}

bool UpstreamExchange::isAnswerFramed(evhttp_request* handle) const
{
    if (hasNoBody(evhttp_request_get_response_code(handle)))
        return true;
    evkeyvalq* headers = evhttp_request_get_input_headers(handle);
    const char* encoding = evhttp_find_header(headers, "Transfer-Encoding");
    return evhttp_find_header(headers, "Content-Length")
        || (encoding && evutil_ascii_strcasecmp(encoding, "chunked") == 0);
}

int UpstreamExchange::headRead(evhttp_request* handle, void* argument)
{
    auto* self = static_cast<UpstreamExchange*>(argument);
    if (self->m_finished)
        return 0;
    self->m_lastByteTime = std::chrono::steady_clock::now();
    ResponseHead head;
    head.status = evhttp_request_get_response_code(handle);
    evkeyvalq* headers = evhttp_request_get_input_headers(handle);
    for (evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next) {
        head.headers.push_back({ header->key, header->value });
        self->m_client->m_bytesReceived += head.headers.back().name.size() + head.headers.back().value.size();
    }
    self->restartTimer();
    if (self->m_callbacks.onHead)
        self->m_callbacks.onHead(head);
    return 0;
}

void UpstreamExchange::dataRead(evhttp_request* handle, void* argument)
{
    auto* self = static_cast<UpstreamExchange*>(argument);
    if (self->m_finished)
        return;
    self->m_lastByteTime = std::chrono::steady_clock::now();
    evbuffer* buffer = evhttp_request_get_input_buffer(handle);
    std::size_t size = evbuffer_get_length(buffer);
    self->m_client->m_bytesReceived += size;
    self->restartTimer();
    if (self->m_callbacks.onData) {
        auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1));
        self->m_callbacks.onData({ bytes, size });
    }
}

void UpstreamExchange::failed(evhttp_request_error error, void* argument)
{
    auto* self = static_cast<UpstreamExchange*>(argument);
    if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG)
        self->m_failure = ExchangeEnd::Invalid;
}

void UpstreamExchange::done(evhttp_request* handle, void* argument)
{
    auto* self = static_cast<UpstreamExchange*>(argument);
    if (self->m_finished)
        return;
    if (!handle || evhttp_request_get_response_code(handle) == 0)
        return self->finish(self->m_connected ? self->m_failure : ExchangeEnd::ConnectFailed);
    self->finish(self->isAnswerFramed(handle) ? ExchangeEnd::Complete : ExchangeEnd::Truncated);
}

// Bytes that leave the output buffer have been handed to the kernel.
void UpstreamExchange::outputChanged(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<UpstreamExchange*>(argument);
    if (info->n_deleted == 0)
        return;
    self->m_requestWritten = true;
    self->m_client->m_bytesSent += info->n_deleted;
    if (!self->m_connected) {
        self->m_connected = true;
        self->m_lastByteTime = std::chrono::steady_clock::now();
        self->restartTimer();
    }
}

UpstreamClient::UpstreamClient(
    event_base* base, std::string address, std::uint16_t port, UpstreamClientOptions options)
    : m_base(base)
    , m_address(std::move(address))
    , m_port(port)
    , m_options(options)
{
}

UpstreamClient::~UpstreamClient()
{
    while (!m_exchanges.empty())
        m_exchanges.begin()->second->cancel();
    for (auto* connection : m_idle)
        evhttp_connection_free(connection);
}

std::shared_ptr<UpstreamExchange> UpstreamClient::start(
    const UpstreamRequest& request, ExchangeCallbacks callbacks)
{
    std::shared_ptr<UpstreamExchange> exchange(new UpstreamExchange(this, request, std::move(callbacks)));
    m_exchanges.emplace(exchange.get(), exchange);
    evhttp_connection* connection = nullptr;
    if (request.freshConnection || m_idle.empty()) {
        connection = openConnection();
    } else {
        connection = m_idle.back();
        m_idle.pop_back();
    }
    exchange->start(connection, request);
    return exchange;
}

evhttp_connection* UpstreamClient::openConnection()
{
    evhttp_connection* connection = evhttp_connection_base_new(m_base, nullptr, m_address.c_str(), m_port);
    timeval timeout = toTimeval(libraryTimeout);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(m_options.maxHeaderBytes));
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(m_options.maxChunkBytes));
    return connection;
}

void UpstreamClient::recycle(evhttp_connection* connection)
{
    if (m_idle.size() >= m_options.maxIdleConnections)
        return closeLater(connection);
    m_idle.push_back(connection);
}

// Freed from the event loop, because evhttp may be inside one of the connection's callbacks.
void UpstreamClient::closeLater(evhttp_connection* connection)
{
    bufferevent_disable(evhttp_connection_get_bufferevent(connection), EV_READ | EV_WRITE);
    runLater(m_base, [connection] { evhttp_connection_free(connection); });
}

// Destroyed from the event loop, because evhttp may still hold the exchange as a callback argument.
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
