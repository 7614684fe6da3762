#include "connection/httpstore.h"
#include "base/json.h"
#include "base/jsonscan.h"
#include "base/number.h"
#include <algorithm>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <openssl/evp.h>
#include <optional>
#include <unordered_map>
#include <utility>

namespace briarwharf {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusCreated = 201;
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    constexpr int statusNotFound = 404;
    constexpr int statusPreconditionFailed = 412;
    constexpr int statusTooManyRequests = 429;

    timeval toTimeval(Milliseconds duration)
    {
        constexpr int millisecondsPerSecond = 1000;
        return { static_cast<time_t>(duration.count() / millisecondsPerSecond),
            static_cast<suseconds_t>((duration.count() % millisecondsPerSecond) * 1000) };
    }

    std::string encodeUri(const std::string& text)
    {
        char* encoded = evhttp_encode_uri(text.c_str());
        std::string result(encoded ? encoded : "");
        free(encoded);
        return result;
    }

    // The key as a URI path: each segment is encoded, the slashes between the segments are kept.
    std::string encodeKey(const std::string& key)
    {
        std::string path;
        std::size_t start = 0;
        while (true) {
            auto slash = key.find('/', start);
            path += encodeUri(key.substr(start, slash - start));
            if (slash == std::string::npos)
                return path;
            path += '/';
            start = slash + 1;
        }
    }

    std::optional<ObjectVersion> parseEntityTag(const char* entityTag)
    {
        std::string_view text(entityTag ? entityTag : "");
        if (text.size() < 3 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        return parseNumber<ObjectVersion>(text.substr(1, text.size() - 2));
    }

    std::optional<StoreEra> parseEra(const char* header)
    {
        return header ? parseNumber<StoreEra>(header) : std::nullopt;
    }

    std::string formatEntityTag(ObjectVersion version) { return '"' + std::to_string(version) + '"'; }

    std::optional<std::string> decodeBase64(const std::string& text)
    {
        constexpr std::size_t charactersPerGroup = 4;
        constexpr std::size_t bytesPerGroup = 3;
        if (text.size() % charactersPerGroup != 0)
            return std::nullopt;
        std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
        int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        if (length < 0)
            return std::nullopt;
        // EVP_DecodeBlock() counts the padding as zero bytes.
        std::size_t padding = 0;
        while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
            ++padding;
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

    Error unavailable(std::string_view reason)
    {
        return Error { ErrorKind::Unavailable,
            "the store gave no usable answer (" + std::string(reason) + "): retry later" };
    }

    // The outcome of one HTTP call.
    struct Response {
        bool sent = false; // a byte of the request left the process
        int status = 0; // 0: no answer
        std::optional<ObjectVersion> version;
        std::optional<StoreEra> era;
        std::string body;

        std::string describe() const
        {
            if (status != 0)
                return "status " + std::to_string(status);
            return sent ? "no answer" : "not connected";
        }
    };

    using ResponseCallback = std::function<void(Response)>;

    struct Call {
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::string uri;
        std::string body;
        std::string conditionName; // header of the write's condition; empty: none
        std::string conditionValue;
        Milliseconds deadline { 0 };
        bool watch = false;
        ResponseCallback callback;
    };

    // Whether a length or a last chunk marks the end of the answer. An answer that ends only with the
    // connection may be truncated.
    bool isFramed(evhttp_request* answer)
    {
        int status = evhttp_request_get_response_code(answer);
        if (status == statusNoContent || status == statusNotModified)
            return true;
        auto* headers = evhttp_request_get_input_headers(answer);
        return evhttp_find_header(headers, "Content-Length")
            || evhttp_find_header(headers, "Transfer-Encoding");
    }

    Result<std::vector<StoredObject>> parseList(const std::string& body)
    {
        auto parsed = parseJson(body, "list of the store");
        if (!parsed || !parsed.value().is_object() || !parsed.value().contains("objects"))
            return unavailable("malformed list");
        std::vector<StoredObject> objects;
        for (const auto& entry : parsed.value()["objects"]) {
            auto key = stringField(entry, "key");
            auto version = integerField(entry, "version");
            auto encoded = stringField(entry, "value");
            auto value = encoded ? decodeBase64(*encoded) : std::nullopt;
            if (!key || !version || !value)
                return unavailable("malformed list");
            objects.push_back({ *key, std::move(*value), static_cast<ObjectVersion>(*version) });
        }
        return objects;
    }

    std::optional<PlatformInstance> parseInstance(std::string_view text)
    {
        auto entry = parseJson(text, "entry of the list of instances");
        auto id = entry ? stringField(entry.value(), "id") : std::nullopt;
        auto address = entry ? stringField(entry.value(), "address") : std::nullopt;
        if (!id || !address)
            return std::nullopt;
        return PlatformInstance { *id, *address, stringField(entry.value(), "failure_domain").value_or(""),
            stringField(entry.value(), "state") == "leaving" };
    }

    // Leaves out the entries that cannot be read.
    Result<std::vector<PlatformInstance>> parseInstances(const std::string& body)
    {
        auto members = splitJsonObject(body);
        auto texts = splitJsonArray(members ? memberText(members.value(), "instances") : std::string_view());
        if (!texts)
            return unavailable("malformed list of instances");
        std::vector<PlatformInstance> instances;
        for (std::string_view text : texts.value()) {
            if (auto instance = parseInstance(text))
                instances.push_back(std::move(*instance));
        }
        return instances;
    }

    // Whether a write took effect, as far as the answer shows.
    WriteResult parseWriteResult(const Response& response)
    {
        switch (response.status) {
        case statusOk:
        case statusCreated:
        case statusNoContent:
            return { WriteOutcome::Done, response.version.value_or(0) };
        case statusNotFound:
        case statusPreconditionFailed:
            return { WriteOutcome::Conflict, response.version.value_or(0) };
        case statusTooManyRequests:
            return { WriteOutcome::NotSent, 0 };
        default:
            // The server may report an error after the write has taken effect.
            return { response.sent ? WriteOutcome::Unknown : WriteOutcome::NotSent, 0 };
        }
    }

    Result<std::optional<StoredObject>> parseObject(const std::string& key, Response response)
    {
        if (response.status == statusNotFound)
            return std::optional<StoredObject>();
        if (response.status != statusOk || !response.version)
            return unavailable(response.describe());
        return std::optional(StoredObject { key, std::move(response.body), *response.version });
    }

} // namespace

class HttpStore::Impl {
public:
    Impl(event_base* base, HttpStoreOptions options, Store& store)
        : m_base(base)
        , m_store(store)
        , m_options(std::move(options))
        , m_cleanup(event_new(base, -1, 0, &Impl::handleCleanup, this))
    {
    }

    ~Impl()
    {
        m_closing.clear();
        m_idle.clear();
        m_active.clear();
        m_queue.clear();
        event_free(m_cleanup);
    }

    void start(Call);

    HttpStoreCounters counters;

private:
    // A connection with at most one exchange in progress.
    struct Connection {
        Connection(Impl& owner, std::uint64_t id);
        ~Connection();
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        Impl& owner;
        std::uint64_t id;
        evhttp_connection* handle;
        std::size_t callBytesSent = 0;
    };

    using ConnectionPointer = std::unique_ptr<Connection>;

    // A call from start() to its callback.
    struct ActiveCall {
        ActiveCall(Impl& owner, std::uint64_t id, Call call);
        ~ActiveCall() { event_free(timer); }
        ActiveCall(const ActiveCall&) = delete;
        ActiveCall& operator=(const ActiveCall&) = delete;

        Impl& owner;
        std::uint64_t id;
        Call call;
        ConnectionPointer connection; // null while queued
        event* timer;
        bool dispatching = false; // inside evhttp_make_request
        bool failed = false; // could not be dispatched; the timer fires at once
    };

    static void handleResponse(evhttp_request*, void* activeCall);
    static void handleTimer(evutil_socket_t, short, void* activeCall);
    static void handleCleanup(evutil_socket_t, short, void* self);
    static void countSent(evbuffer*, const evbuffer_cb_info*, void* connection);
    static void countReceived(evbuffer*, const evbuffer_cb_info*, void* connection);

    bool dispatch(ActiveCall&);
    void dispatchQueued();
    void fail(ActiveCall&);
    void finish(ActiveCall&, Response, bool reusable);
    void closeNow(ActiveCall&);
    void closeLater(ConnectionPointer);
    std::size_t& connectionsInUse(const Call& call)
    {
        return call.watch ? m_watchConnections : m_callConnections;
    }

    event_base* m_base;
    Store& m_store; // holds the latest era
    HttpStoreOptions m_options;
    event* m_cleanup; // frees closed connections outside of evhttp's functions
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveCall>> m_active;
    std::deque<std::uint64_t> m_queue;
    std::vector<ConnectionPointer> m_idle;
    std::vector<ConnectionPointer> m_closing;
    std::size_t m_callConnections = 0; // connections in use by calls other than watches
    std::size_t m_watchConnections = 0;
};

HttpStore::Impl::Connection::Connection(Impl& impl, std::uint64_t number)
    : owner(impl)
    , id(number)
    , handle(evhttp_connection_base_new(
          impl.m_base, nullptr, impl.m_options.address.c_str(), impl.m_options.port))
{
    evhttp_connection_set_max_body_size(handle, static_cast<ev_ssize_t>(impl.m_options.maxResponseBytes));
    auto* transport = evhttp_connection_get_bufferevent(handle);
    evbuffer_add_cb(bufferevent_get_output(transport), &Impl::countSent, this);
    evbuffer_add_cb(bufferevent_get_input(transport), &Impl::countReceived, this);
}

HttpStore::Impl::Connection::~Connection()
{
    auto* transport = evhttp_connection_get_bufferevent(handle);
    evbuffer_remove_cb(bufferevent_get_output(transport), &Impl::countSent, this);
    evbuffer_remove_cb(bufferevent_get_input(transport), &Impl::countReceived, this);
    evhttp_connection_free(handle);
}

HttpStore::Impl::ActiveCall::ActiveCall(Impl& impl, std::uint64_t number, Call started)
    : owner(impl)
    , id(number)
    , call(std::move(started))
    , timer(event_new(impl.m_base, -1, 0, &Impl::handleTimer, this))
{
    timeval deadline = toTimeval(call.deadline);
    event_add(timer, &deadline);
}

void HttpStore::Impl::countSent(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto* connection = static_cast<Connection*>(argument);
    // evhttp also drains the buffer when it resets a connection, without sending; the socket is closed by
    // then.
    if (bufferevent_getfd(evhttp_connection_get_bufferevent(connection->handle)) < 0)
        return;
    connection->callBytesSent += info->n_deleted;
    connection->owner.counters.bytesSent += info->n_deleted;
}

void HttpStore::Impl::countReceived(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    static_cast<Connection*>(argument)->owner.counters.bytesReceived += info->n_added;
}

void HttpStore::Impl::start(Call call)
{
    auto id = m_nextId++;
    auto active = std::make_unique<ActiveCall>(*this, id, std::move(call));
    auto& started = *active;
    m_active.emplace(id, std::move(active));
    auto limit = started.call.watch ? m_options.maxWatches : m_options.maxConnections;
    if (connectionsInUse(started.call) < limit) {
        if (!dispatch(started))
            fail(started);
        return;
    }
    if (started.call.watch || m_queue.size() >= m_options.maxQueuedCalls)
        return fail(started);
    m_queue.push_back(id);
}

// Assigns a connection to the call and sends it. Returns false if evhttp rejects the request.
bool HttpStore::Impl::dispatch(ActiveCall& active)
{
    if (m_idle.empty()) {
        active.connection = std::make_unique<Connection>(*this, m_nextId++);
    } else {
        active.connection = std::move(m_idle.back());
        m_idle.pop_back();
    }
    ++connectionsInUse(active.call);
    active.connection->callBytesSent = 0;
    evhttp_request* request = evhttp_request_new(&Impl::handleResponse, &active);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", (m_options.address + ':' + std::to_string(m_options.port)).c_str());
    if (!active.call.conditionName.empty())
        evhttp_add_header(headers, active.call.conditionName.c_str(), active.call.conditionValue.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), active.call.body.data(), active.call.body.size());
    return evhttp_make_request(
               active.connection->handle, request, active.call.method, active.call.uri.c_str())
        == 0;
}

// Ends the call from the event loop, because a callback must not run inside the function that it was passed
// to.
void HttpStore::Impl::fail(ActiveCall& active)
{
    active.failed = true;
    event_active(active.timer, EV_TIMEOUT, 0);
}

void HttpStore::Impl::handleResponse(evhttp_request* answer, void* argument)
{
    auto& active = *static_cast<ActiveCall*>(argument);
    if (active.dispatching) {
        // If there is no route to the address, evhttp fails before evhttp_make_request() returns.
        active.failed = true;
        return;
    }
    Response response;
    response.sent = active.connection->callBytesSent > 0;
    // evhttp reports a failed connection as a null request, or as one with status 0.
    bool answered = answer && evhttp_request_get_response_code(answer) != 0 && isFramed(answer);
    if (answered) {
        response.status = evhttp_request_get_response_code(answer);
        response.version
            = parseEntityTag(evhttp_find_header(evhttp_request_get_input_headers(answer), "ETag"));
        response.era = parseEra(evhttp_find_header(evhttp_request_get_input_headers(answer), "Store-Era"));
        auto* body = evhttp_request_get_input_buffer(answer);
        response.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, response.body.data(), response.body.size());
    }
    active.owner.finish(active, std::move(response), answered);
}

void HttpStore::Impl::handleTimer(evutil_socket_t, short, void* argument)
{
    auto& active = *static_cast<ActiveCall*>(argument);
    Response response;
    response.sent = !active.failed && active.connection && active.connection->callBytesSent > 0;
    // Close the connection at once, so that a late answer cannot reach the finished call. This is safe here,
    // because no evhttp function is on the stack.
    if (active.connection)
        active.owner.closeNow(active);
    active.owner.finish(active, std::move(response), false);
}

void HttpStore::Impl::closeNow(ActiveCall& active)
{
    --connectionsInUse(active.call);
    active.connection.reset();
}

void HttpStore::Impl::finish(ActiveCall& active, Response response, bool reusable)
{
    auto found = m_active.find(active.id);
    auto owned = std::move(found->second);
    m_active.erase(found);
    std::erase(m_queue, owned->id);
    if (owned->connection) {
        --connectionsInUse(owned->call);
        if (reusable && m_idle.size() < m_options.maxConnections)
            m_idle.push_back(std::move(owned->connection));
        else
            closeLater(std::move(owned->connection));
    }
    if (response.era)
        m_store.noteEra(*response.era);
    if (response.era && *response.era < m_store.era())
        response.status = 0;
    bool failed = response.status == 0 || response.status >= 500 || response.status == statusTooManyRequests;
    if (failed)
        ++counters.failures;
    dispatchQueued();
    owned->call.callback(std::move(response));
}

void HttpStore::Impl::dispatchQueued()
{
    while (!m_queue.empty() && m_callConnections < m_options.maxConnections) {
        auto& next = *m_active.at(m_queue.front());
        m_queue.pop_front();
        if (!dispatch(next))
            fail(next);
    }
}

void HttpStore::Impl::closeLater(ConnectionPointer connection)
{
    m_closing.push_back(std::move(connection));
    event_active(m_cleanup, EV_TIMEOUT, 0);
}

void HttpStore::Impl::handleCleanup(evutil_socket_t, short, void* self)
{
    static_cast<Impl*>(self)->m_closing.clear();
}

HttpStore::HttpStore(event_base* base, const HttpStoreOptions& options)
    : m_impl(std::make_unique<Impl>(base, options, *this))
    , m_callDeadline(options.callDeadline)
{
}

HttpStore::~HttpStore() = default;

const HttpStoreCounters& HttpStore::counters() const { return m_impl->counters; }

void HttpStore::read(const std::string& key, ReadCallback callback)
{
    ++m_impl->counters.reads;
    Call call;
    call.uri = "/objects/" + encodeKey(key);
    call.deadline = m_callDeadline;
    call.callback = [key, callback = std::move(callback)](
                        Response response) { callback(parseObject(key, std::move(response))); };
    m_impl->start(std::move(call));
}

void HttpStore::create(const std::string& key, const std::string& value, WriteCallback callback)
{
    ++m_impl->counters.creates;
    Call call;
    call.method = EVHTTP_REQ_PUT;
    call.uri = "/objects/" + encodeKey(key);
    call.body = value;
    call.conditionName = "If-None-Match";
    call.conditionValue = "*";
    call.deadline = m_callDeadline;
    call.callback = [callback = std::move(callback)](
                        const Response& response) { callback(parseWriteResult(response)); };
    m_impl->start(std::move(call));
}

void HttpStore::update(
    const std::string& key, ObjectVersion version, const std::string& value, WriteCallback callback)
{
    ++m_impl->counters.updates;
    Call call;
    call.method = EVHTTP_REQ_PUT;
    call.uri = "/objects/" + encodeKey(key);
    call.body = value;
    call.conditionName = "If-Match";
    call.conditionValue = formatEntityTag(version);
    call.deadline = m_callDeadline;
    call.callback = [callback = std::move(callback)](
                        const Response& response) { callback(parseWriteResult(response)); };
    m_impl->start(std::move(call));
}

void HttpStore::remove(const std::string& key, ObjectVersion version, WriteCallback callback)
{
    ++m_impl->counters.removes;
    Call call;
    call.method = EVHTTP_REQ_DELETE;
    call.uri = "/objects/" + encodeKey(key);
    call.conditionName = "If-Match";
    call.conditionValue = formatEntityTag(version);
    call.deadline = m_callDeadline;
    call.callback = [callback = std::move(callback)](
                        const Response& response) { callback(parseWriteResult(response)); };
    m_impl->start(std::move(call));
}

void HttpStore::watch(
    const std::string& key, ObjectVersion known, Milliseconds timeout, ReadCallback callback)
{
    ++m_impl->counters.watches;
    Call call;
    call.uri = "/objects/" + encodeKey(key) + "?watch=" + std::to_string(known)
        + "&timeout_ms=" + std::to_string(timeout.count());
    call.deadline = timeout + m_callDeadline;
    call.watch = true;
    call.callback = [this, key, known, callback = std::move(callback)](Response response) {
        if (response.status != statusNotModified)
            return callback(parseObject(key, std::move(response)));
        if (known == 0)
            return callback(std::optional<StoredObject>());
        read(key, callback);
    };
    m_impl->start(std::move(call));
}

void HttpStore::list(
    const std::string& prefix, const std::string& after, std::size_t limit, ListCallback callback)
{
    ++m_impl->counters.lists;
    Call call;
    call.uri = "/objects?prefix=" + encodeUri(prefix) + "&after=" + encodeUri(after)
        + "&limit=" + std::to_string(limit);
    call.deadline = m_callDeadline;
    call.callback = [callback = std::move(callback)](const Response& response) {
        if (response.status != statusOk)
            return callback(unavailable(response.describe()));
        callback(parseList(response.body));
    };
    m_impl->start(std::move(call));
}

void HttpStore::listInstances(InstancesCallback callback)
{
    ++m_impl->counters.instanceLists;
    Call call;
    call.uri = "/instances";
    call.deadline = m_callDeadline;
    call.callback = [callback = std::move(callback)](const Response& response) {
        if (response.status != statusOk)
            return callback(unavailable(response.describe()));
        callback(parseInstances(response.body));
    };
    m_impl->start(std::move(call));
}

} // namespace briarwharf
