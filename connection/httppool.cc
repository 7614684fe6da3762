#include "connection/httppool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <optional>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds expiryCheckInterval { 500 };

    // A body up to this size is appended to the head, so that both are sent in one write.
    constexpr std::size_t maxJoinedBodyBytes = 16 * 1024;

    // Between two looks at whether the other side took the rest of a request after it had ended its answer.
    constexpr Milliseconds deliveryCheckInterval { 5 };

    // What a connection without a head or buffers takes: the objects and the three events of its stream.
    constexpr std::size_t connectionBytes = 2048;

    // Identifiers of the latest requests on a connection.
    class RecentIdentifiers {
    public:
        bool contains(const std::string& identifier) const
        {
            std::size_t count = std::min(m_added, m_hashes.size());
            auto end = m_hashes.begin() + static_cast<std::ptrdiff_t>(count);
            return std::find(m_hashes.begin(), end, std::hash<std::string>()(identifier)) != end;
        }

        void add(const std::string& identifier)
        {
            m_hashes[m_added % m_hashes.size()] = std::hash<std::string>()(identifier);
            ++m_added;
        }

    private:
        std::array<std::size_t, 16> m_hashes {};
        std::size_t m_added = 0;
    };

    // Parses the timeout of a Keep-Alive field such as "timeout=5, max=100".
    std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view keepAlive)
    {
        constexpr std::string_view key = "timeout=";
        std::size_t start = keepAlive.find(key);
        if (start == std::string_view::npos)
            return std::nullopt;
        std::string_view digits = keepAlive.substr(start + key.size());
        int seconds = 0;
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (error != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

// One connection to one address: idle, or with one exchange in progress.
class PooledConnection : public TcpStreamEvents, public HttpMessageSink {
public:
    PooledConnection(HttpPool& pool, Endpoint endpoint)
        : m_pool(pool)
        , m_endpoint(std::move(endpoint))
        , m_parser(HttpParser::Kind::Answer, pool.m_options.maxHeadBytes)
        , m_memory(pool.m_options.memory, MemoryKind::Upstreams)
    {
        m_memory.set(connectionBytes);
    }

    ~PooledConnection() override
    {
        if (m_exchange)
            m_exchange->m_connection = nullptr;
    }
    PooledConnection(const PooledConnection&) = delete;
    PooledConnection& operator=(const PooledConnection&) = delete;

    Status connect()
    {
        auto stream = TcpStream::connect(
            m_pool.m_base, m_endpoint.address, m_endpoint.port, m_pool.m_options.tcp, *this);
        if (!stream)
            return stream.error();
        m_stream = std::move(stream.value());
        return ok();
    }

    // Whether a repeated answer to an earlier request on this connection could be told from the answer to
    // this request: their identifiers differ.
    bool canCarry(const OutgoingRequest& request) const
    {
        if (request.identifierField.empty() || !m_carriedRequest)
            return true;
        return !request.identifier.empty() && !m_identifiers.contains(request.identifier);
    }

    std::unique_ptr<OutgoingExchange> startExchange(const OutgoingRequest& request, OutgoingEvents& events)
    {
        auto exchange = std::unique_ptr<OutgoingExchange>(new OutgoingExchange(*this, events));
        m_exchange = exchange.get();
        m_identifierField = request.identifierField;
        m_identifier = request.identifier;
        m_requestHead = request.head;
        m_requestBody = request.body;
        m_parser.next();
        m_parser.expectNoBody(request.answerHasNoBody);
        m_skippingAnswer = false;
        if (m_stream->isConnected())
            sendRequest();
        countHeld();
        return exchange;
    }

    // Cancels the exchange. The connection is reset, because the rest of the answer must not reach another
    // exchange.
    void cancelExchange()
    {
        m_exchange = nullptr;
        m_stream->resetOnClose();
        close();
    }

    void pauseReading() { m_stream->pauseReading(); }
    void resumeReading() { m_stream->resumeReading(); }

    const Endpoint& endpoint() const { return m_endpoint; }
    MonotonicTime idleSince() const { return m_idleSince; }
    MonotonicTime idleUntil() const { return m_idleUntil; }
    bool closed() const { return m_closed; }

    void streamConnected() override
    {
        if (m_exchange)
            sendRequest();
    }

    void streamReceived(std::string_view bytes) override
    {
        while (!bytes.empty() && !m_closed) {
            if (!m_exchange) {
                ++m_pool.m_counters.strayAnswers;
                return close();
            }
            std::size_t used = m_parser.feed(bytes, *this);
            if (m_closed)
                return;
            countHeld();
            if (m_parser.failed())
                return failExchange(ExchangeFailureKind::Invalid, "the answer is not valid HTTP");
            bytes.remove_prefix(used);
            if (m_parser.complete())
                finishMessage(!bytes.empty());
        }
    }

    void streamEnded() override
    {
        bool endsAnswer
            = m_exchange && m_parser.headDone() && m_parser.head().framing == BodyFraming::UntilClose;
        if (endsAnswer && !m_parser.failed())
            return finishAtClose();
        handleClosed("closed by the other side before the answer was whole");
    }

    void streamFailed(std::string_view reason) override { handleClosed(reason); }
    void streamDrained() override { countHeld(); }

    void messageHead(const HttpHead& head) override
    {
        m_skippingAnswer = belongsToOtherRequest(head);
        if (m_skippingAnswer) {
            ++m_pool.m_counters.strayAnswers;
            m_strayAnswerReceived = true;
            return;
        }
        m_keepAlive
            = head.keepAlive && (m_identifierField.empty() || !head.fields.find(m_identifierField).empty());
        auto keepAliveTimeout = parseKeepAliveTimeout(head.fields.find("Keep-Alive"));
        m_idleTimeout = keepAliveTimeout ? Milliseconds(*keepAliveTimeout) - m_pool.m_options.idleMargin
                                         : m_pool.m_options.defaultIdleTimeout;
        m_exchange->m_events.answerHead(head);
    }

    void messageBody(std::string_view bytes) override
    {
        if (m_exchange && !m_skippingAnswer)
            m_exchange->m_events.answerBody(bytes);
    }

    void messageEnd() override { }

private:
    // An answer that ends with its connection is whole only if the other side closed it on purpose. One that
    // gave up while the request was still being sent resets the connection, which may show only afterwards:
    // the answer ends when the whole request was taken.
    void finishAtClose()
    {
        switch (m_stream->outputState()) {
        case TcpStream::OutputState::Failed:
            return handleClosed("reset by the other side while the request was being sent");
        case TcpStream::OutputState::Pending:
            return checkDeliveryLater();
        case TcpStream::OutputState::Delivered:
            break;
        }
        m_parser.feedEnd(*this);
        finishMessage(true);
    }

    void checkDeliveryLater()
    {
        if (!m_deliveryTimer)
            m_deliveryTimer = std::make_unique<Timer>(m_pool.m_base, [this] {
                if (m_exchange && !m_closed)
                    finishAtClose();
            });
        m_deliveryTimer->start(deliveryCheckInterval);
    }

    // On a connection that carried an earlier request, an answer without an identifier may be the answer to
    // that request, written again. The other side is known to send the identifier: the connection was kept
    // only because its earlier answers had one.
    bool belongsToOtherRequest(const HttpHead& head) const
    {
        if (m_identifierField.empty())
            return false;
        std::string_view identifier = head.fields.find(m_identifierField);
        return identifier.empty() ? m_carriedRequest : identifier != m_identifier;
    }

    void sendRequest()
    {
        m_exchange->m_written = true;
        if (m_requestBody && m_requestBody->size() <= maxJoinedBodyBytes)
            m_requestHead += *m_requestBody;
        m_stream->write(m_requestHead);
        if (m_requestBody && m_requestBody->size() > maxJoinedBodyBytes)
            m_stream->write(m_requestBody);
        m_requestHead = {};
        m_requestBody.reset();
        countHeld();
    }

    // A shared body counts itself.
    void countHeld()
    {
        m_memory.set(
            connectionBytes + m_parser.heldBytes() + m_requestHead.capacity() + m_stream->heldOutputBytes());
    }

    void finishMessage(bool moreFollows)
    {
        if (m_skippingAnswer) {
            if (m_parser.head().framing == BodyFraming::UntilClose)
                return failExchange(ExchangeFailureKind::Broken, "only an answer to another request came");
            m_parser.next();
            m_skippingAnswer = false;
            return;
        }
        OutgoingExchange* exchange = std::exchange(m_exchange, nullptr);
        exchange->m_connection = nullptr;
        if (moreFollows && m_parser.head().framing != BodyFraming::UntilClose)
            ++m_pool.m_counters.strayAnswers;
        bool reusable = m_keepAlive && !m_strayAnswerReceived && !moreFollows && m_stream->pendingBytes() == 0
            && m_parser.head().framing != BodyFraming::UntilClose && m_idleTimeout.count() > 0;
        OutgoingEvents& events = exchange->m_events;
        if (reusable)
            becomeIdle();
        else
            close();
        events.answerEnd();
    }

    void becomeIdle()
    {
        m_carriedRequest = true;
        m_identifiers.add(m_identifier);
        m_idleSince = clockNow();
        m_idleUntil = m_idleSince + m_idleTimeout;
        m_stream->resumeReading();
        m_pool.moveToIdle(*this);
    }

    void handleClosed(std::string_view reason)
    {
        if (!m_exchange)
            return close();
        bool written = m_exchange->m_written;
        failExchange(written ? ExchangeFailureKind::Broken : ExchangeFailureKind::NotConnected, reason);
    }

    void failExchange(ExchangeFailureKind kind, std::string_view reason)
    {
        OutgoingExchange* exchange = std::exchange(m_exchange, nullptr);
        exchange->m_connection = nullptr;
        OutgoingEvents& events = exchange->m_events;
        ExchangeFailure failure { kind, m_carriedRequest, std::string(reason) };
        close();
        events.exchangeFailed(failure);
    }

    void close()
    {
        if (std::exchange(m_closed, true))
            return;
        m_pool.discard(*this);
    }

    HttpPool& m_pool;
    Endpoint m_endpoint;
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    OutgoingExchange* m_exchange = nullptr;
    std::string m_requestHead;
    std::shared_ptr<const std::string> m_requestBody;
    std::string m_identifierField;
    std::string m_identifier;
    RecentIdentifiers m_identifiers; // of earlier requests
    MemoryHold m_memory;
    MonotonicTime m_idleSince;
    MonotonicTime m_idleUntil;
    Milliseconds m_idleTimeout { 0 };
    std::unique_ptr<Timer> m_deliveryTimer; // null: not needed
    bool m_keepAlive = false;
    bool m_skippingAnswer = false; // the answer being parsed belongs to another request
    bool m_strayAnswerReceived = false; // an answer to another request arrived on this connection
    bool m_carriedRequest = false;
    bool m_closed = false;
};

OutgoingExchange::~OutgoingExchange()
{
    if (m_connection)
        m_connection->cancelExchange();
}

void OutgoingExchange::pauseReading()
{
    if (m_connection)
        m_connection->pauseReading();
}

void OutgoingExchange::resumeReading()
{
    if (m_connection)
        m_connection->resumeReading();
}

HttpPool::HttpPool(event_base* base, HttpPoolOptions options)
    : m_base(base)
    , m_options(std::move(options))
    , m_cleanupTimer(base, [this] { m_closedConnections.clear(); })
    , m_expiryTicker(base, expiryCheckInterval, [this] { closeExpired(); })
{
}

HttpPool::~HttpPool() = default;

Result<std::unique_ptr<OutgoingExchange>> HttpPool::start(
    const Endpoint& endpoint, const OutgoingRequest& request, OutgoingEvents& events)
{
    Address& address = m_addresses[endpoint];
    MonotonicTime now = clockNow();
    if (!address.idle.empty()) {
        PooledConnection& connection = *address.idle.back();
        if (now < connection.idleUntil() && now - connection.idleSince() <= request.maxIdle
            && connection.canCarry(request)) {
            ++m_counters.reused;
            address.busy.splice(address.busy.end(), address.idle, std::prev(address.idle.end()));
            return connection.startExchange(request, events);
        }
    }
    std::size_t openConnections = address.idle.size() + address.busy.size();
    if (request.maxConnections > 0 && openConnections >= request.maxConnections) {
        if (address.idle.empty())
            return Error { ErrorKind::Overloaded,
                "all connections to " + printEndpoint(endpoint) + " are in use: wait for one" };
        closeLater(extract(address.idle, *address.idle.front()));
    }
    if (!makeRoom())
        return Error { ErrorKind::Overloaded, "all connections of the pool are in use: wait for one" };
    auto connection = std::make_unique<PooledConnection>(*this, endpoint);
    Status connected = connection->connect();
    if (!connected)
        return connected.error();
    ++m_counters.opened;
    ++m_openConnections;
    address.busy.push_back(std::move(connection));
    return address.busy.back()->startExchange(request, events);
}

// Whether the pool may open a connection, for which it closes an idle one if necessary.
bool HttpPool::makeRoom()
{
    if (m_options.maxConnections == 0 || m_openConnections < m_options.maxConnections)
        return true;
    auto found = std::find_if(
        m_addresses.begin(), m_addresses.end(), [](const auto& entry) { return !entry.second.idle.empty(); });
    if (found == m_addresses.end())
        return false;
    closeLater(extract(found->second.idle, *found->second.idle.front()));
    return true;
}

void HttpPool::closeIdle(const Endpoint& endpoint)
{
    auto found = m_addresses.find(endpoint);
    if (found == m_addresses.end())
        return;
    while (!found->second.idle.empty())
        closeLater(extract(found->second.idle, *found->second.idle.front()));
}

std::size_t HttpPool::connections(const Endpoint& endpoint) const
{
    auto found = m_addresses.find(endpoint);
    return found == m_addresses.end() ? 0 : found->second.idle.size() + found->second.busy.size();
}

std::size_t HttpPool::idleConnections(const Endpoint& endpoint) const
{
    auto found = m_addresses.find(endpoint);
    return found == m_addresses.end() ? 0 : found->second.idle.size();
}

std::unique_ptr<PooledConnection> HttpPool::extract(Connections& list, const PooledConnection& connection)
{
    auto found = std::find_if(
        list.begin(), list.end(), [&](const auto& candidate) { return candidate.get() == &connection; });
    if (found == list.end())
        return nullptr;
    auto extracted = std::move(*found);
    list.erase(found);
    return extracted;
}

void HttpPool::moveToIdle(PooledConnection& connection)
{
    Address& address = m_addresses[connection.endpoint()];
    address.idle.push_back(extract(address.busy, connection));
}

void HttpPool::discard(PooledConnection& connection)
{
    Address& address = m_addresses[connection.endpoint()];
    auto extracted = extract(address.busy, connection);
    closeLater(extracted ? std::move(extracted) : extract(address.idle, connection));
}

void HttpPool::closeLater(std::unique_ptr<PooledConnection> connection)
{
    if (!connection)
        return;
    --m_openConnections;
    m_closedConnections.push_back(std::move(connection));
    m_cleanupTimer.start(Milliseconds(0));
}

void HttpPool::closeExpired()
{
    MonotonicTime now = clockNow();
    for (auto address = m_addresses.begin(); address != m_addresses.end();) {
        Connections& idle = address->second.idle;
        for (auto connection = idle.begin(); connection != idle.end();) {
            auto current = connection++;
            if (now >= (*current)->idleUntil())
                closeLater(extract(idle, **current));
        }
        bool unused = idle.empty() && address->second.busy.empty();
        address = unused ? m_addresses.erase(address) : std::next(address);
    }
}

} // namespace briarwharf
