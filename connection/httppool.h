#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/httpmessage.h"
#include "connection/memorybudget.h"
#include "connection/tcpstream.h"
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// A request in the form in which it is written to the network.
struct OutgoingRequest {
    std::string head; // start line, header fields and the empty line
    std::shared_ptr<const std::string> body; // may be null; shared between attempts
    // Name of the header field in which the other side echoes the request's identifier, and the identifier.
    // An answer with another identifier, or with none on a connection that carried an earlier request,
    // belongs to another request and is dropped. No answer is checked if the name is empty.
    std::string identifierField;
    std::string identifier;
    bool answerHasNoBody = false; // of a HEAD request, whatever the answer's fields say
    // A kept connection that has been idle for longer is not used: the other side may close an idle
    // connection at any moment, and it is then unknown whether a request written at that moment ran. A
    // negative value always opens a new connection.
    Milliseconds maxIdle { 3600000 };
    // Maximum number of connections to this address, in use and idle; 0 for no limit.
    std::size_t maxConnections = 0;
};

enum class ExchangeFailureKind {
    NotConnected, // no byte of the request was handed to the network
    Broken, // reset, timed out or closed before the answer was complete
    Invalid, // the received bytes are not a valid HTTP answer
};

struct ExchangeFailure {
    ExchangeFailureKind kind = ExchangeFailureKind::Broken;
    bool keptConnection = false; // the connection had carried an earlier request
    std::string reason;
};

// Events that an exchange reports to its owner. Each function may destroy the exchange.
class OutgoingEvents {
public:
    virtual ~OutgoingEvents() = default;
    virtual void answerHead(const HttpHead&) = 0;
    virtual void answerBody(std::string_view) = 0;
    virtual void answerEnd() = 0; // the answer is complete; no other call follows
    virtual void exchangeFailed(const ExchangeFailure&) = 0; // no other call follows
};

class HttpPool;
class PooledConnection;

// One request and its answer. Destroying it before the answer has ended resets the connection.
class OutgoingExchange {
public:
    ~OutgoingExchange();
    OutgoingExchange(const OutgoingExchange&) = delete;
    OutgoingExchange& operator=(const OutgoingExchange&) = delete;

    // Whether any byte of the request was handed to the network.
    bool written() const { return m_written; }

    void pauseReading();
    void resumeReading();

private:
    friend class PooledConnection;
    OutgoingExchange(PooledConnection& connection, OutgoingEvents& events)
        : m_connection(&connection)
        , m_events(events)
    {
    }

    PooledConnection* m_connection; // null once the exchange has ended
    OutgoingEvents& m_events;
    bool m_written = false;
};

struct HttpPoolOptions {
    TcpOptions tcp { Milliseconds(300), Milliseconds(2000), std::chrono::seconds(1) };
    std::size_t maxHeadBytes = 64 * 1024;
    // Maximum idle time of a kept connection if the answer has no Keep-Alive timeout.
    Milliseconds defaultIdleTimeout { 300 };
    // Subtracted from the answer's Keep-Alive timeout, because the other side's timeout passes some time
    // before its close is seen here.
    Milliseconds idleMargin { 500 };
    // Maximum number of connections to all addresses, in use and idle; 0 for no limit.
    std::size_t maxConnections = 0;
    std::shared_ptr<MemoryBudget> memory; // counts connections, heads and unsent requests; null: not counted
};

struct HttpPoolCounters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t strayAnswers = 0; // answers to other requests, input after an answer or while idle
};

// Pool of HTTP/1.1 client connections to any number of addresses. A connection is kept only if the request
// and the answer of its exchange were transferred completely and the answer had the request's identifier. It
// is closed if anything arrives while it is idle.
//
//   HttpPool pool(base, {});
//   auto exchange = pool.start(endpoint, request, events);   // keep it: destroying it cancels
class HttpPool {
public:
    HttpPool(event_base*, HttpPoolOptions);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    // Errors: Overloaded (maxConnections, of the request or of the pool, are in use), InvalidArgument (not an
    // IP number), Unavailable (no file descriptor or no route).
    Result<std::unique_ptr<OutgoingExchange>> start(const Endpoint&, const OutgoingRequest&, OutgoingEvents&);

    // Closes the idle connections to an address, for an address that is no longer used.
    void closeIdle(const Endpoint&);

    std::size_t connections(const Endpoint&) const; // in use and idle
    std::size_t idleConnections(const Endpoint&) const;
    const HttpPoolCounters& counters() const { return m_counters; }

private:
    friend class PooledConnection;
    using Connections = std::list<std::unique_ptr<PooledConnection>>;
    struct Address {
        Connections idle; // most recently used last
        Connections busy;
    };

    void moveToIdle(PooledConnection&);
    void discard(PooledConnection&);
    void closeExpired();
    bool makeRoom();
    std::unique_ptr<PooledConnection> extract(Connections&, const PooledConnection&);
    void closeLater(std::unique_ptr<PooledConnection>);

    event_base* m_base;
    HttpPoolOptions m_options;
    HttpPoolCounters m_counters;
    std::map<Endpoint, Address> m_addresses;
    std::size_t m_openConnections = 0; // to all addresses
    Connections m_closedConnections; // freed from the loop: their functions may still be on the stack
    Timer m_cleanupTimer;
    Ticker m_expiryTicker;
};

} // namespace briarwharf
