#include "connection/httpserver.h"

#include "connection/eventloop.h"
#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <strings.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr int listenBacklog = 1024;

    // A body over maxBodyBytes is dropped while it arrives, so that the request can still be answered; above
    // this multiple of maxBodyBytes the connection is closed.
    constexpr std::size_t droppedBodyMultiple = 4;

    constexpr std::pair<htp_method, const char*> methodNames[] = {
        { htp_method_GET, "GET" },
        { htp_method_HEAD, "HEAD" },
        { htp_method_POST, "POST" },
        { htp_method_PUT, "PUT" },
        { htp_method_DELETE, "DELETE" },
        { htp_method_PATCH, "PATCH" },
        { htp_method_OPTIONS, "OPTIONS" },
    };

    std::string methodName(htp_method method)
    {
        for (const auto& [value, name] : methodNames) {
            if (value == method)
                return name;
        }
        return "OTHER";
    }

    std::string drainBuffer(evbuffer* buffer)
    {
        std::string bytes(evbuffer_get_length(buffer), '\0');
        evbuffer_remove(buffer, bytes.data(), bytes.size());
        return bytes;
    }

    int collectHeader(evhtp_kv_t* header, void* argument)
    {
        auto* headers = static_cast<HttpHeaders*>(argument);
        headers->push_back({ { header->key, header->klen }, { header->val, header->vlen } });
        return 0;
    }

    // libevhtp calls each hook with the arguments of the hook's own type. The cast goes through void (*)(),
    // which compilers accept as the generic function pointer type.
    template <typename Hook> evhtp_hook toHook(Hook hook)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
    }

} // namespace

std::optional<std::string> findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (header.name.size() == name.size()
            && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return std::nullopt;
}

// State of one connection, which exists as long as it. Requests on a connection are handled one after
// another.
struct HttpServer::ConnectionState {
    HttpServer* server = nullptr;
    std::shared_ptr<HttpExchange> exchange;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;

    void reset()
    {
        exchange.reset();
        headerBytes = 0;
        bodyBytes = 0;
    }
};

void HttpExchange::addHeaders(const HttpHeaders& headers)
{
    for (const auto& header : headers) {
        evhtp_headers_add_header(
            m_handle->headers_out, evhtp_header_new(header.name.c_str(), header.value.c_str(), 1, 1));
    }
}

// Called before libevhtp is told that the answer is complete: it may free the request as soon as the output
// is written, so the handle must not be used afterwards.
void HttpExchange::finish()
{
    m_handle = nullptr;
    m_onClosed = nullptr;
    m_onDrained = nullptr;
}

void HttpExchange::reply(int status, const HttpHeaders& headers, std::string_view body)
{
    if (!m_handle)
        return;
    addHeaders(headers);
    evbuffer_add(m_handle->buffer_out, body.data(), body.size());
    evhtp_request_t* handle = m_handle;
    finish();
    evhtp_send_reply(handle, static_cast<evhtp_res>(status));
}

void HttpExchange::startStream(int status, const HttpHeaders& headers)
{
    if (!m_handle)
        return;
    addHeaders(headers);
    m_streaming = true;
    evhtp_send_reply_chunk_start(m_handle, static_cast<evhtp_res>(status));
}

void HttpExchange::write(std::string_view bytes)
{
    if (!m_handle || bytes.empty())
        return;
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhtp_send_reply_chunk(m_handle, chunk);
    evbuffer_free(chunk);
}

void HttpExchange::end()
{
    if (!m_handle)
        return;
    evhtp_request_t* handle = m_handle;
    finish();
    evhtp_send_reply_chunk_end(handle);
}

void HttpExchange::abort()
{
    if (!m_handle)
        return;
    evhtp_connection_t* connection = evhtp_request_get_connection(m_handle);
    finish();
    // The connection is not freed here, because the caller of abort() may be inside one of its hooks.
    // Shutting down the socket makes libevhtp see the end of the connection and free it from the loop.
    shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
}

std::size_t HttpExchange::pendingBytes() const
{
    if (!m_handle)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_handle)));
}

void HttpExchange::detach()
{
    if (!m_handle)
        return;
    auto closed = std::move(m_onClosed);
    finish();
    if (closed)
        closed();
}

HttpServer::HttpServer(event_base* base, HttpServerOptions options, Handler handler)
    : m_base(base)
    , m_options(options)
    , m_handler(std::move(handler))
    , m_evhtp(evhtp_new(base, this))
{
    timeval idle = toTimeval(m_options.idleTimeout);
    evhtp_set_timeouts(m_evhtp, &idle, &idle);
    evhtp_enable_flag(m_evhtp, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_post_accept_cb(m_evhtp, &HttpServer::acceptConnection, this);
    evhtp_set_gencb(m_evhtp, &HttpServer::requestComplete, this);
}

HttpServer::~HttpServer()
{
    stopListening();
    evhtp_free(m_evhtp);
}

Result<std::uint16_t> HttpServer::listen(const std::string& address, std::uint16_t port)
{
    std::string text = address;
    if (text.find(':') != std::string::npos)
        text = "ipv6:" + text;
    if (evhtp_bind_socket(m_evhtp, text.c_str(), port, listenBacklog) != 0) {
        return Error { ErrorKind::Unavailable,
            "cannot listen on " + address + ":" + std::to_string(port)
                + ": choose an address of this instance and a port that is free" };
    }
    m_listening = true;
    sockaddr_storage bound {};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_evhtp->server), reinterpret_cast<sockaddr*>(&bound), &size);
    if (bound.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

void HttpServer::stopListening()
{
    if (!m_listening)
        return;
    m_listening = false;
    evhtp_unbind_socket(m_evhtp);
}

evhtp_res HttpServer::acceptConnection(evhtp_connection_t* connection, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    if (server->m_connections >= server->m_options.maxConnections)
        return EVHTP_RES_ERROR;
    ++server->m_connections;
    auto* state = new ConnectionState { server, nullptr, 0, 0 };
    evhtp_connection_set_hook(connection, evhtp_hook_on_header, toHook(&HttpServer::headerRead), state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_read, toHook(&HttpServer::bodyRead), state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_write, toHook(&HttpServer::outputWritten), state);
    evhtp_connection_set_hook(
        connection, evhtp_hook_on_request_fini, toHook(&HttpServer::requestFinished), state);
    evhtp_connection_set_hook(
        connection, evhtp_hook_on_connection_fini, toHook(&HttpServer::connectionFinished), state);
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::headerRead(evhtp_request_t*, evhtp_header_t* header, void* argument)
{
    auto* state = static_cast<ConnectionState*>(argument);
    state->headerBytes += header->klen + header->vlen;
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::bodyRead(evhtp_request_t*, evbuffer* buffer, void* argument)
{
    auto* state = static_cast<ConnectionState*>(argument);
    std::size_t bound = state->server->m_options.maxBodyBytes;
    state->bodyBytes += evbuffer_get_length(buffer);
    if (state->bodyBytes > bound * droppedBodyMultiple)
        return EVHTP_RES_DATA_TOO_LONG;
    if (state->bodyBytes > bound)
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::outputWritten(evhtp_connection_t*, void* argument)
{
    auto* state = static_cast<ConnectionState*>(argument);
    if (state->exchange && state->exchange->m_onDrained) {
        auto drained = state->exchange->m_onDrained;
        drained();
    }
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::requestFinished(evhtp_request_t*, void* argument)
{
    auto* state = static_cast<ConnectionState*>(argument);
    if (auto exchange = state->exchange)
        exchange->detach();
    state->reset();
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::connectionFinished(evhtp_connection_t*, void* argument)
{
    auto* state = static_cast<ConnectionState*>(argument);
    if (auto exchange = state->exchange)
        exchange->detach();
    --state->server->m_connections;
    // libevhtp calls the hook for the end of the request after this one, with the same state.
    runLater(state->server->m_base, [state] { delete state; });
    return EVHTP_RES_OK;
}

void HttpServer::requestComplete(evhtp_request_t* handle, void* self)
{
    auto* server = static_cast<HttpServer*>(self);
    evhtp_hooks_t* hooks = evhtp_connection_get_hooks(evhtp_request_get_connection(handle));
    auto* state = static_cast<ConnectionState*>(hooks->on_connection_fini_arg);
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_handle = handle;
    HttpServerRequest& request = exchange->m_request;
    request.method = methodName(evhtp_request_get_method(handle));
    if (handle->uri && handle->uri->path && handle->uri->path->full)
        request.path = handle->uri->path->full;
    if (handle->uri && handle->uri->query_raw)
        request.query = reinterpret_cast<const char*>(handle->uri->query_raw);
    evhtp_kvs_for_each(handle->headers_in, &collectHeader, &request.headers);
    request.headersTooLarge = state->headerBytes > server->m_options.maxHeaderBytes;
    request.bodyTooLarge = state->bodyBytes > server->m_options.maxBodyBytes;
    request.body = drainBuffer(handle->buffer_in);
    state->exchange = exchange;
    server->m_handler(exchange);
}

} // namespace briarwharf
