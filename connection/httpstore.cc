#include "connection/httpstore.h"
#include "base/json.h"
#include "base/jsonscan.h"
#include "base/number.h"
#include "connection/eventloop.h"
#include "connection/httpcall.h"
#include <algorithm>
#include <deque>
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

    // The store keeps connections open for longer.
    constexpr Milliseconds idleTimeout { 10000 };

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

    std::optional<ObjectVersion> parseEntityTag(std::string_view text)
    {
        if (text.size() < 3 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        return parseNumber<ObjectVersion>(text.substr(1, text.size() - 2));
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
        std::string method = "GET";
        std::string uri;
        std::string body;
        std::string conditionName; // header of the write's condition; empty: none
        std::string conditionValue;
        Milliseconds deadline { 0 };
        bool watch = false;
        ResponseCallback callback;
    };

    // An answer that ends only with the connection may be truncated: it counts as none.
    Response parseResponse(const Result<HttpAnswer>& result)
    {
        Response response;
        response.sent = result || result.error().kind != ErrorKind::Unavailable;
        if (!result || result.value().framing == BodyFraming::UntilClose)
            return response;
        const HttpAnswer& answer = result.value();
        response.status = answer.status;
        response.version = parseEntityTag(answer.fields.find("ETag"));
        response.era = parseNumber<StoreEra>(answer.fields.find("Store-Era"));
        response.body = answer.body;
        return response;
    }

    HttpPoolOptions poolOptions()
    {
        HttpPoolOptions options;
        options.tcp.connectTimeout = Milliseconds(1000);
        options.defaultIdleTimeout = idleTimeout;
        return options;
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
        , m_pool(base, poolOptions())
        , m_caller(base, m_pool, { m_options.address, m_options.port })
    {
    }

    void start(Call);

    HttpStoreCounters counters() const
    {
        HttpStoreCounters result = counts;
        result.bytesSent = m_caller.bytesSent();
        result.bytesReceived = m_caller.bytesReceived();
        return result;
    }

    HttpStoreCounters counts; // without the bytes

private:
    // A call from start() to its callback.
    struct ActiveCall {
        ActiveCall(event_base* base, Call started, std::function<void()> expired)
            : call(std::move(started))
            , deadline(clockNow() + call.deadline)
            , timer(base, std::move(expired))
        {
        }

        Call call;
        MonotonicTime deadline;
        Timer timer; // while it is queued, or if it failed at the start
    };

    void dispatch(std::uint64_t id, ActiveCall&);
    void dispatchQueued();
    void answered(std::uint64_t id, const Result<HttpAnswer>&);
    void finish(std::uint64_t id, Response);
    std::size_t& callsInProgress(const Call& call) { return call.watch ? m_watches : m_calls; }

    event_base* m_base;
    Store& m_store; // holds the latest era
    HttpStoreOptions m_options;
    HttpPool m_pool;
    HttpCaller m_caller;
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<ActiveCall>> m_active;
    std::deque<std::uint64_t> m_queue;
    std::size_t m_calls = 0; // in progress, other than watches
    std::size_t m_watches = 0; // in progress
};

void HttpStore::Impl::start(Call call)
{
    auto id = m_nextId++;
    auto active = std::make_shared<ActiveCall>(m_base, std::move(call), [this, id] { finish(id, {}); });
    ActiveCall& started = *active;
    m_active.emplace(id, std::move(active));
    auto limit = started.call.watch ? m_options.maxWatches : m_options.maxConnections;
    if (callsInProgress(started.call) < limit)
        return dispatch(id, started);
    bool isRefused = started.call.watch || m_queue.size() >= m_options.maxQueuedCalls;
    // The call ends from the event loop, because a callback must not run inside the function that it was
    // passed to.
    started.timer.start(isRefused ? Milliseconds(0) : started.call.deadline);
    if (!isRefused)
        m_queue.push_back(id);
}

void HttpStore::Impl::dispatch(std::uint64_t id, ActiveCall& active)
{
    active.timer.stop();
    ++callsInProgress(active.call);
    HttpCall call;
    call.method = active.call.method;
    call.target = active.call.uri;
    call.body = std::move(active.call.body);
    call.contentType = "application/octet-stream";
    if (!active.call.conditionName.empty())
        appendField(call.fields, active.call.conditionName, active.call.conditionValue);
    call.timeout = std::max(Milliseconds(1), toMilliseconds(active.deadline - clockNow()));
    call.maxAnswerBytes = m_options.maxResponseBytes;
    m_caller.call(call, [this, id](const Result<HttpAnswer>& answer) { answered(id, answer); });
}

void HttpStore::Impl::answered(std::uint64_t id, const Result<HttpAnswer>& answer)
{
    --callsInProgress(m_active.at(id)->call);
    finish(id, parseResponse(answer));
}

void HttpStore::Impl::finish(std::uint64_t id, Response response)
{
    auto found = m_active.find(id);
    auto owned = std::move(found->second);
    m_active.erase(found);
    std::erase(m_queue, id);
    if (response.era)
        m_store.noteEra(*response.era);
    if (response.era && *response.era < m_store.era())
        response.status = 0;
    bool failed = response.status == 0 || response.status >= 500 || response.status == statusTooManyRequests;
    if (failed)
        ++counts.failures;
    dispatchQueued();
    owned->call.callback(std::move(response));
    runLater(m_base, [owned] {}); // its timer may be on the stack
}

void HttpStore::Impl::dispatchQueued()
{
    while (!m_queue.empty() && m_calls < m_options.maxConnections) {
        std::uint64_t id = m_queue.front();
        m_queue.pop_front();
        dispatch(id, *m_active.at(id));
    }
}

HttpStore::HttpStore(event_base* base, const HttpStoreOptions& options)
    : m_impl(std::make_unique<Impl>(base, options, *this))
    , m_callDeadline(options.callDeadline)
{
}

HttpStore::~HttpStore() = default;

HttpStoreCounters HttpStore::counters() const { return m_impl->counters(); }

void HttpStore::read(const std::string& key, ReadCallback callback)
{
    ++m_impl->counts.reads;
    Call call;
    call.uri = "/objects/" + encodeKey(key);
    call.deadline = m_callDeadline;
    call.callback = [key, callback = std::move(callback)](
                        Response response) { callback(parseObject(key, std::move(response))); };
    m_impl->start(std::move(call));
}

void HttpStore::create(const std::string& key, const std::string& value, WriteCallback callback)
{
    ++m_impl->counts.creates;
    Call call;
    call.method = "PUT";
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
    ++m_impl->counts.updates;
    Call call;
    call.method = "PUT";
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
    ++m_impl->counts.removes;
    Call call;
    call.method = "DELETE";
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
    ++m_impl->counts.watches;
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
    ++m_impl->counts.lists;
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
    ++m_impl->counts.instanceLists;
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
