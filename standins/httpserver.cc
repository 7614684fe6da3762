#include "standins/httpserver.h"
#include <event2/event.h>
#include <event2/http.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>

namespace briarwharf {

namespace {

    constexpr std::uint64_t maxBodyBytes = std::uint64_t { 64 } * 1024 * 1024;
    constexpr int listenBacklog = 1024;
    // Long enough for the event loop to write a few chunks to the kernel before the connection is closed.
    constexpr Milliseconds cutDelay { 20 };

    timeval toTimeval(Milliseconds duration)
    {
        constexpr int millisecondsPerSecond = 1000;
        return { static_cast<time_t>(duration.count() / millisecondsPerSecond),
            static_cast<suseconds_t>((duration.count() % millisecondsPerSecond) * 1000) };
    }

    // libevhtp takes hooks of every signature as a pointer to a function without arguments.
    template <typename Function> evhtp_hook toHook(Function function)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
    }

    std::string decode(std::string_view text, bool plusIsSpace)
    {
        std::string terminated(text);
        size_t length = 0;
        char* decoded = evhttp_uridecode(terminated.c_str(), plusIsSpace ? 1 : 0, &length);
        if (!decoded)
            return terminated;
        std::string result(decoded, length);
        free(decoded);
        return result;
    }

    std::string find(const StandinHeaders& fields, std::string_view name, bool ignoreCase)
    {
        for (const auto& [key, value] : fields) {
            if (key.size() != name.size())
                continue;
            if (ignoreCase ? strncasecmp(key.data(), name.data(), name.size()) == 0 : key == name)
                return value;
        }
        return "";
    }

    StandinHeaders parseQuery(std::string_view raw)
    {
        StandinHeaders query;
        while (!raw.empty()) {
            auto end = raw.find('&');
            auto pair = raw.substr(0, end);
            auto equals = pair.find('=');
            auto name = pair.substr(0, equals);
            auto value = equals == std::string_view::npos ? std::string_view {} : pair.substr(equals + 1);
            query.emplace_back(decode(name, true), decode(value, true));
            raw = end == std::string_view::npos ? std::string_view {} : raw.substr(end + 1);
        }
        return query;
    }

    StandinRequest readRequest(evhtp_request_t* raw)
    {
        StandinRequest request;
        request.method = htparser_get_methodstr_m(evhtp_request_get_method(raw));
        if (raw->uri->path && raw->uri->path->full)
            request.path = decode(raw->uri->path->full, false);
        if (raw->uri->query_raw)
            request.query = parseQuery(reinterpret_cast<const char*>(raw->uri->query_raw));
        auto collect = [](evhtp_kv_t* header, void* fields) {
            static_cast<StandinHeaders*>(fields)->emplace_back(
                std::string(header->key, header->klen), std::string(header->val, header->vlen));
            return 0;
        };
        evhtp_headers_for_each(raw->headers_in, collect, &request.headers);
        size_t length = evbuffer_get_length(raw->buffer_in);
        request.body.resize(length);
        evbuffer_copyout(raw->buffer_in, request.body.data(), length);
        return request;
    }

    struct BufferDeleter {
        void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
    };
    using Buffer = std::unique_ptr<evbuffer, BufferDeleter>;

    Buffer makeBuffer(std::string_view bytes)
    {
        Buffer buffer(evbuffer_new());
        evbuffer_add(buffer.get(), bytes.data(), bytes.size());
        return buffer;
    }

    // State of one connection, shared with the exchanges on it.
    struct ConnectionState {
        bool silent = false;
    };

    class Exchange final : public StandinExchange, public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(DelayedCalls& delays, evhtp_request_t* request, std::shared_ptr<ConnectionState> connection)
            : m_delays(delays)
            , m_request(request)
            , m_connection(std::move(connection))
        {
        }

        void reply(int status, const std::string& body, const StandinHeaders& headers) override
        {
            if (!writable())
                return;
            addHeaders(headers);
            evbuffer_add(m_request->buffer_out, body.data(), body.size());
            m_complete = true;
            evhtp_send_reply(m_request, static_cast<evhtp_res>(status));
        }

        void startStream(const StandinHeaders& headers) override
        {
            if (!writable())
                return;
            addHeaders(headers);
            evhtp_send_reply_chunk_start(m_request, EVHTP_RES_OK);
        }

        void sendChunk(std::string_view bytes) override
        {
            if (writable())
                evhtp_send_reply_chunk(m_request, makeBuffer(bytes).get());
        }

        void endStream() override
        {
            if (!writable())
                return;
            m_complete = true;
            evhtp_send_reply_chunk_end(m_request);
        }

        void sendRaw(std::string_view bytes) override
        {
            if (writable())
                bufferevent_write(evhtp_request_get_bev(m_request), bytes.data(), bytes.size());
        }

        void cut() override
        {
            if (!m_request)
                return;
            // The socket is shut down outside of libevhtp's callbacks. libevhtp then reads an end of file and
            // frees the connection itself.
            auto self = shared_from_this();
            m_delays.run(cutDelay, [self] {
                if (self->m_request && !self->m_complete)
                    shutdown(bufferevent_getfd(evhtp_request_get_bev(self->m_request)), SHUT_RDWR);
            });
        }

        bool open() const override { return m_request && !m_complete; }

        std::size_t unsentBytes() const override
        {
            if (!m_request)
                return 0;
            return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_request)));
        }

        void onDisconnect(std::function<void()> callback) override { m_onDisconnect = std::move(callback); }

        void requestFreed()
        {
            m_request = nullptr;
            auto callback = std::exchange(m_onDisconnect, nullptr);
            if (callback && !m_complete)
                callback();
        }

        const ConnectionState* connection() const { return m_connection.get(); }

    private:
        bool writable() const { return m_request && !m_complete && !m_connection->silent; }

        void addHeaders(const StandinHeaders& headers)
        {
            for (const auto& [name, value] : headers)
                evhtp_headers_add_header(
                    m_request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
        }

        DelayedCalls& m_delays; // owned by the server, which outlives its requests
        evhtp_request_t* m_request;
        std::shared_ptr<ConnectionState> m_connection;
        std::function<void()> m_onDisconnect;
        bool m_complete = false;
    };

} // namespace

std::string StandinRequest::header(std::string_view name) const { return find(headers, name, true); }

std::string StandinRequest::argument(std::string_view name) const { return find(query, name, false); }

class StandinServer::Impl {
public:
    Impl(event_base* base, StandinHandler handler)
        : m_delays(base)
        , m_handler(std::move(handler))
        , m_server(evhtp_new(base, nullptr))
    {
        evhtp_set_max_body_size(m_server, maxBodyBytes);
        evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
        evhtp_set_gencb(m_server, &Impl::handleRequest, this);
        evhtp_set_post_accept_cb(m_server, &Impl::handleAccept, this);
    }

    ~Impl()
    {
        while (!m_connections.empty())
            evhtp_connection_free(m_connections.begin()->first);
        if (m_server->server)
            evhtp_unbind_socket(m_server);
        evhtp_free(m_server);
    }

    Result<std::uint16_t> listen(std::uint16_t port)
    {
        if (evhtp_bind_socket(m_server, "127.0.0.1", port, listenBacklog) != 0)
            return Error { ErrorKind::Unavailable,
                "port " + std::to_string(port) + " cannot be bound: choose another one, or 0" };
        sockaddr_in address {};
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(m_server->server), reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    void silenceOpenConnections(const ExchangePointer& except)
    {
        auto* kept = dynamic_cast<Exchange*>(except.get());
        for (auto& [connection, state] : m_connections)
            state->silent = !kept || state.get() != kept->connection();
    }

    std::size_t openConnections() const { return m_connections.size(); }

private:
    static evhtp_res handleAccept(evhtp_connection_t* connection, void* self)
    {
        auto* impl = static_cast<Impl*>(self);
        impl->m_connections.emplace(connection, std::make_shared<ConnectionState>());
        evhtp_connection_set_hook(
            connection, evhtp_hook_on_connection_fini, toHook(&Impl::handleConnectionFreed), self);
        return EVHTP_RES_OK;
    }

    static evhtp_res handleConnectionFreed(evhtp_connection_t* connection, void* self)
    {
        static_cast<Impl*>(self)->m_connections.erase(connection);
        return EVHTP_RES_OK;
    }

    static void handleRequest(evhtp_request_t* request, void* self)
    {
        auto* impl = static_cast<Impl*>(self);
        auto found = impl->m_connections.find(evhtp_request_get_connection(request));
        if (found == impl->m_connections.end())
            return;
        auto exchange = std::make_shared<Exchange>(impl->m_delays, request, found->second);
        // The request holds a reference to the exchange, released when libevhtp frees the request.
        auto* reference = new std::shared_ptr<Exchange>(exchange);
        evhtp_request_set_hook(
            request, evhtp_hook_on_request_fini, toHook(&Impl::handleRequestFreed), reference);
        if (found->second->silent)
            return;
        impl->m_handler(readRequest(request), exchange);
    }

    static evhtp_res handleRequestFreed(evhtp_request_t*, void* argument)
    {
        std::unique_ptr<std::shared_ptr<Exchange>> reference(
            static_cast<std::shared_ptr<Exchange>*>(argument));
        (*reference)->requestFreed();
        return EVHTP_RES_OK;
    }

    DelayedCalls m_delays;
    StandinHandler m_handler;
    evhtp_t* m_server;
    std::unordered_map<evhtp_connection_t*, std::shared_ptr<ConnectionState>> m_connections;
};

StandinServer::StandinServer(event_base* base, StandinHandler handler)
    : m_impl(std::make_unique<Impl>(base, std::move(handler)))
{
}

StandinServer::~StandinServer() = default;

Result<std::uint16_t> StandinServer::listen(std::uint16_t port) { return m_impl->listen(port); }

void StandinServer::silenceOpenConnections(const ExchangePointer& except)
{
    m_impl->silenceOpenConnections(except);
}

std::size_t StandinServer::openConnections() const { return m_impl->openConnections(); }

class DelayedCalls::Impl {
public:
    explicit Impl(event_base* base)
        : m_base(base)
    {
    }

    void run(Milliseconds delay, std::function<void()> callback)
    {
        auto id = m_nextId++;
        auto& entry = m_entries[id];
        entry = std::make_unique<Entry>(*this, id, std::move(callback));
        timeval interval = toTimeval(delay);
        event_add(entry->timer, &interval);
    }

private:
    struct Entry {
        Entry(Impl& impl, std::uint64_t number, std::function<void()> function)
            : owner(impl)
            , id(number)
            , callback(std::move(function))
            , timer(event_new(impl.m_base, -1, 0, &Impl::fire, this))
        {
        }
        ~Entry() { event_free(timer); }
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

        Impl& owner;
        std::uint64_t id;
        std::function<void()> callback;
        event* timer;
    };

    static void fire(evutil_socket_t, short, void* argument)
    {
        auto& entry = *static_cast<Entry*>(argument);
        auto callback = std::move(entry.callback);
        entry.owner.m_entries.erase(entry.id);
        callback();
    }

    event_base* m_base;
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> m_entries;
};

DelayedCalls::DelayedCalls(event_base* base)
    : m_impl(std::make_unique<Impl>(base))
{
}

DelayedCalls::~DelayedCalls() = default;

void DelayedCalls::run(Milliseconds delay, std::function<void()> callback)
{
    m_impl->run(delay, std::move(callback));
}

class RepeatingCall::Impl {
public:
    Impl(event_base* base, Milliseconds interval, std::function<void()> callback)
        : m_callback(std::move(callback))
        , m_event(event_new(base, -1, EV_PERSIST, &Impl::run, this))
    {
        timeval period = toTimeval(interval);
        event_add(m_event, &period);
    }

    ~Impl() { event_free(m_event); }

private:
    static void run(evutil_socket_t, short, void* self) { static_cast<Impl*>(self)->m_callback(); }

    std::function<void()> m_callback;
    event* m_event;
};

RepeatingCall::RepeatingCall(event_base* base, Milliseconds interval, std::function<void()> callback)
    : m_impl(std::make_unique<Impl>(base, interval, std::move(callback)))
{
}

RepeatingCall::~RepeatingCall() = default;

void replyJson(const ExchangePointer& exchange, int status, const Json& body, StandinHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    exchange->reply(status, dumpJson(body), headers);
}

void replyError(const ExchangePointer& exchange, int status, std::string_view type, std::string_view message,
    StandinHeaders headers)
{
    Json error = { { "error", { { "type", type }, { "message", message } } } };
    replyJson(exchange, status, error, std::move(headers));
}

} // namespace briarwharf
