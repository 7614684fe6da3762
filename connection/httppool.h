#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/httpmessage.h"
#include "connection/tcpstream.h"
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// A request as it goes to the network.
struct OutgoingRequest {
    std::string head; // start line, fields and the empty line
    std::shared_ptr<const std::string> body; // may be null; shared between attempts
    // Name of the field in which the other side repeats the request's identifier, and the value. An answer
    // with another value belongs to an earlier request and is dropped. Empty: not checked.
    std::string identifierField;
    std::string identifier;
    // A kept connection that was idle for longer is not used: the other side may close it at any moment, and
    // a request written at that moment is in doubt.
    Milliseconds maxIdle { 3600000 };
    // Connections to this address, in use and idle, at most; 0: unbounded.
    std::size_t maxConnections = 0;
};

enum class ExchangeFailureKind {
    NotConnected, // nothing was handed to the network
    Broken, // reset, timed out or closed before the answer was whole
    Invalid, // bytes that are no answer
};

struct ExchangeFailure {
    ExchangeFailureKind kind = ExchangeFailureKind::Broken;
    bool keptConnection = false; // it had carried a request before
    std::string reason;
};

// What an exchange tells its owner. Each function may destroy the exchange.
class OutgoingEvents {
public:
    virtual ~OutgoingEvents() = default;
    virtual void answerHead(const HttpHead&) = 0;
    virtual void answerBody(std::string_view) = 0;
    virtual void answerEnd() = 0; // the answer is whole; nothing follows
    virtual void exchangeFailed(const ExchangeFailure&) = 0; // nothing follows
};

class HttpPool;
class PooledConnection;

// One request and its answer. Destroying it before its end closes the connection.
class OutgoingExchange {
public:
    ~OutgoingExchange();
    OutgoingExchange(const OutgoingExchange&) = delete;
    OutgoingExchange& operator=(const OutgoingExchange&) = delete;

    // Whether a byte of the request was handed to the network.
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

    PooledConnection* m_connection; // null after the end
    OutgoingEvents& m_events;
    bool m_written = false;
};

struct HttpPoolOptions {
    TcpOptions tcp { Milliseconds(300), Milliseconds(2000), std::chrono::seconds(1) };
    std::size_t maxHeadBytes = 64 * 1024;
    // For kept connections whose idle time the other side does not state.
    Milliseconds unstatedIdle { 300 };
    // Taken off a stated idle time: it ends at the other side before the close is seen here.
    Milliseconds idleMargin { 500 };
};

struct HttpPoolCounters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t strayAnswers = 0; // answers to other requests, and bytes after an answer
};

// HTTP/1.1 connections to any number of addresses. A connection is kept only after an exchange that ended
// cleanly in both directions, and is closed if anything arrives while it is idle.
//
//   HttpPool pool(base, {});
//   auto exchange = pool.start(endpoint, request, events);   // keep it: destroying it cancels
class HttpPool {
public:
    HttpPool(event_base*, HttpPoolOptions);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    // Errors: Overloaded (the bound on connections is reached), InvalidArgument, Unavailable (no descriptor).
    Result<std::unique_ptr<OutgoingExchange>> start(const Endpoint&, const OutgoingRequest&, OutgoingEvents&);

    // Closes idle connections to an address that is no longer used.
    void closeIdle(const Endpoint&);

    std::size_t connections(const Endpoint&) const;
    const HttpPoolCounters& counters() const { return m_counters; }

private:
    friend class PooledConnection;
    using Connections = std::list<std::unique_ptr<PooledConnection>>;
    struct Address {
        Connections idle; // most recently used last
        Connections busy;
    };

    void becameIdle(PooledConnection&);
    void discard(PooledConnection&);
    void sweep();
    std::unique_ptr<PooledConnection> take(Connections&, const PooledConnection&);
    void bury(std::unique_ptr<PooledConnection>);

    event_base* m_base;
    HttpPoolOptions m_options;
    HttpPoolCounters m_counters;
    std::map<Endpoint, Address> m_addresses;
    Connections m_buried; // closed connections whose functions may still be on the stack
    Timer m_burial;
    Ticker m_sweeper;
};

} // namespace briarwharf
