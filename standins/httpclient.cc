#include "standins/httpclient.h"
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <unordered_map>

namespace briarwharf {

namespace {

    constexpr std::size_t maxIdlePerTarget = 1024;
    constexpr ev_ssize_t maxAnswerBytes = 64 * 1024 * 1024;
    constexpr int statusNotModified = 304;
    constexpr int statusNoContent = 204;

    timeval toTimeval(Milliseconds duration)
    {
        constexpr int millisecondsPerSecond = 1000;
        return { static_cast<time_t>(duration.count() / millisecondsPerSecond),
            static_cast<suseconds_t>((duration.count() % millisecondsPerSecond) * 1000) };
    }

} // namespace

std::string ClientResponse::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return "";
}

class HttpClient::Impl {
public:
    explicit Impl(event_base* base)
        : m_base(base)
        , m_cleanup(event_new(base, -1, 0, &Impl::handleCleanup, this))
    {
    }

    ~Impl()
    {
        m_active.clear();
        m_closing.clear();
        m_idle.clear();
        event_free(m_cleanup);
    }

    void start(ClientRequest);
    std::size_t inFlight() const { return m_active.size(); }

private:
    // An evhttp connection that records whether a byte of the current request has been written to the socket.
    struct ClientConnection {
        explicit ClientConnection(evhttp_connection* connection)
            : raw(connection)
        {
            auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(raw));
            evbuffer_add_cb(output, &ClientConnection::recordSent, this);
        }
        ~ClientConnection()
        {
            auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(raw));
            evbuffer_remove_cb(output, &ClientConnection::recordSent, this);
            evhttp_connection_free(raw);
        }
        ClientConnection(const ClientConnection&) = delete;
        ClientConnection& operator=(const ClientConnection&) = delete;

        static void recordSent(evbuffer*, const evbuffer_cb_info* info, void* argument)
        {
            auto& self = *static_cast<ClientConnection*>(argument);
            // evhttp also drains the buffer when it resets a connection; these bytes were not sent. The
            // socket is closed at that point, which tells the two cases apart.
            if (bufferevent_getfd(evhttp_connection_get_bufferevent(self.raw)) >= 0)
                self.anyByteSent = self.anyByteSent || info->n_deleted > 0;
        }

        evhttp_connection* raw;
        bool anyByteSent = false;
    };
    using Connection = std::unique_ptr<ClientConnection>;

    struct ActiveRequest {
        ActiveRequest(Impl& owner, std::uint64_t id, ClientRequest request);
        ~ActiveRequest() { event_free(timer); }
        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

        Impl& owner;
        std::uint64_t id;
        ClientRequest request;
        ClientResponse response;
        Connection connection;
        event* timer;
        bool failed = false;
    };

    static int handleHeaders(evhttp_request*, void* active);
    static void handleData(evhttp_request*, void* active);
    static void handleDone(evhttp_request*, void* active);
    static void handleTimer(evutil_socket_t, short, void* active);
    static void handleCleanup(evutil_socket_t, short, void* self);

    Connection takeConnection(const std::string& target);
    void finish(ActiveRequest&, ClientResponse::End, bool reusable);

    event_base* m_base;
    event* m_cleanup;
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> m_active;
    std::map<std::string, std::vector<Connection>> m_idle;
    std::vector<Connection> m_closing;
};

HttpClient::Impl::ActiveRequest::ActiveRequest(Impl& impl, std::uint64_t number, ClientRequest started)
    : owner(impl)
    , id(number)
    , request(std::move(started))
    , connection(impl.takeConnection(request.target))
    , timer(event_new(impl.m_base, -1, 0, &Impl::handleTimer, this))
{
    timeval deadline = toTimeval(request.deadline);
    event_add(timer, &deadline);
}

HttpClient::Impl::Connection HttpClient::Impl::takeConnection(const std::string& target)
{
    auto& idle = m_idle[target];
    if (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        connection->anyByteSent = false;
        return connection;
    }
    auto colon = target.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(target.data() + colon + 1, target.data() + target.size(), port);
    auto* raw = evhttp_connection_base_new(m_base, nullptr, target.substr(0, colon).c_str(), port);
    evhttp_connection_set_max_body_size(raw, maxAnswerBytes);
    return std::make_unique<ClientConnection>(raw);
}

void HttpClient::Impl::start(ClientRequest request)
{
    auto id = m_nextId++;
    auto& active = m_active[id];
    active = std::make_unique<ActiveRequest>(*this, id, std::move(request));
    evhttp_request* raw = evhttp_request_new(&Impl::handleDone, active.get());
    evhttp_request_set_header_cb(raw, &Impl::handleHeaders);
    evhttp_request_set_chunked_cb(raw, &Impl::handleData);
    auto* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", active->request.target.c_str());
    for (const auto& [name, value] : active->request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    const auto& body = active->request.body;
    evbuffer_add(evhttp_request_get_output_buffer(raw), body.data(), body.size());
    auto method = active->request.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(active->connection->raw, raw, method, active->request.path.c_str()) != 0) {
        active->failed = true;
        event_active(active->timer, EV_TIMEOUT, 0);
    }
}

int HttpClient::Impl::handleHeaders(evhttp_request* raw, void* argument)
{
    auto& response = static_cast<ActiveRequest*>(argument)->response;
    response.status = evhttp_request_get_response_code(raw);
    evkeyval* field = nullptr;
    for (field = evhttp_request_get_input_headers(raw)->tqh_first; field; field = field->next.tqe_next)
        response.headers.emplace_back(field->key, field->value);
    return 0;
}

void HttpClient::Impl::handleData(evhttp_request* raw, void* argument)
{
    auto& active = *static_cast<ActiveRequest*>(argument);
    auto* input = evhttp_request_get_input_buffer(raw);
    std::string part(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, part.data(), part.size());
    active.response.body += part;
    if (active.request.onData)
        active.request.onData(part);
}

void HttpClient::Impl::handleDone(evhttp_request* raw, void* argument)
{
    auto& active = *static_cast<ActiveRequest*>(argument);
    const auto& response = active.response;
    bool answered = raw && evhttp_request_get_response_code(raw) != 0 && response.status != 0;
    bool framed = !response.header("Content-Length").empty() || !response.header("Transfer-Encoding").empty()
        || response.status == statusNotModified || response.status == statusNoContent;
    if (answered && framed)
        return active.owner.finish(active, ClientResponse::End::Complete, true);
    if (answered)
        return active.owner.finish(active, ClientResponse::End::Unframed, false);
    active.owner.finish(active,
        active.connection->anyByteSent ? ClientResponse::End::Closed : ClientResponse::End::ConnectFailed,
        false);
}

void HttpClient::Impl::handleTimer(evutil_socket_t, short, void* argument)
{
    auto& active = *static_cast<ActiveRequest*>(argument);
    bool failed = active.failed;
    active.connection.reset();
    active.owner.finish(
        active, failed ? ClientResponse::End::ConnectFailed : ClientResponse::End::TimedOut, false);
}

void HttpClient::Impl::finish(ActiveRequest& active, ClientResponse::End end, bool reusable)
{
    auto found = m_active.find(active.id);
    auto owned = std::move(found->second);
    m_active.erase(found);
    owned->response.end = end;
    auto& idle = m_idle[owned->request.target];
    if (owned->connection && reusable && idle.size() < maxIdlePerTarget) {
        idle.push_back(std::move(owned->connection));
    } else if (owned->connection) {
        // evhttp still uses the connection after this callback returns, so it is freed later.
        m_closing.push_back(std::move(owned->connection));
        event_active(m_cleanup, EV_TIMEOUT, 0);
    }
    owned->request.onDone(std::move(owned->response));
}

void HttpClient::Impl::handleCleanup(evutil_socket_t, short, void* self)
{
    static_cast<Impl*>(self)->m_closing.clear();
}

HttpClient::HttpClient(event_base* base)
    : m_impl(std::make_unique<Impl>(base))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::start(ClientRequest request) { m_impl->start(std::move(request)); }

std::size_t HttpClient::inFlight() const { return m_impl->inFlight(); }

} // namespace briarwharf
