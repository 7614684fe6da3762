#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/httpmessage.h"
#include "connection/memorybudget.h"
#include "connection/tcpstream.h"
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwharf {

struct IngressLimits {
    std::size_t maxHeadBytes = 32 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headTimeout { 5000 }; // from the first byte of a request to the end of its head
    Milliseconds idleTimeout { 75000 }; // for a connection between two requests
    std::size_t maxConnections = 3000; // beyond it, unused connections or the new one are closed
    bool requiresHost = false; // refuse HTTP/1.1 requests without a Host field
    // Limit of the memory budget, if the constructor gets none.
    std::size_t maxBufferedBytes = 48 * 1024 * 1024;
};

struct IngressRequest {
    HttpHead head;
    std::shared_ptr<const std::string> body; // null without a body
    MonotonicTime received; // when its first byte arrived
};

// Receives the events of a caller's connection while its request is being answered.
class CallerEvents {
public:
    virtual ~CallerEvents() = default;
    // The connection ended, usually because the caller closed it. The CallerExchange must not be used after
    // this returns.
    virtual void callerLeft() = 0;
    // All buffered output has been written to the socket.
    virtual void callerDrained() { }
};

// One request of a caller that waits for its answer. Must not be used after the answer has ended, after
// abort() or after callerLeft().
class CallerExchange {
public:
    virtual ~CallerExchange() = default;
    // Sets the receiver of the events; null for none. It must be set to null before the receiver is
    // destroyed, which CallerHandle does.
    virtual void setEvents(CallerEvents*) = 0;

    // Sends a complete answer. `fields` are complete header lines; Content-Length, Connection and the empty
    // line are added here.
    virtual void answer(int status, std::string_view fields, std::string_view body) = 0;

    // Starts an answer whose body is sent by several calls. If `length` is given, their bytes must add up to
    // it; otherwise they are sent as chunks.
    virtual void startAnswer(
        int status, std::string_view fields, std::optional<std::uint64_t> length, std::string_view firstBytes)
        = 0;
    virtual void write(std::string_view) = 0;
    virtual void end() = 0;

    // Closes the connection, so that the caller detects that the answer is missing or truncated.
    virtual void abort() = 0;

    virtual std::size_t pendingBytes() const = 0;
};

// Holds an exchange for the object that receives its events. The destructor sets the receiver to null, so
// that a destroyed object receives no events.
//
//   CallerHandle m_caller { exchange, *this };
//   void callerLeft() override { m_caller.release(); }
//   m_caller.release()->answer(200, lines, body);   // the last call to the exchange
class CallerHandle {
public:
    CallerHandle(CallerExchange& exchange, CallerEvents& events)
        : m_exchange(&exchange)
    {
        exchange.setEvents(&events);
    }
    ~CallerHandle()
    {
        if (m_exchange)
            m_exchange->setEvents(nullptr);
    }
    CallerHandle(const CallerHandle&) = delete;
    CallerHandle& operator=(const CallerHandle&) = delete;

    // False after release(): the caller has left or the last call was made.
    explicit operator bool() const { return m_exchange != nullptr; }
    CallerExchange* operator->() const { return m_exchange; }

    // Empties the handle and returns the exchange. Used when the exchange has become invalid, or for the last
    // call to it, which ends it.
    CallerExchange* release() { return std::exchange(m_exchange, nullptr); }

private:
    CallerExchange* m_exchange;
};

struct IngressCounters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0; // connections over maxConnections, closed at once
    std::uint64_t displaced = 0; // connections closed to make room for others
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0; // answered with 400, 408, 413 or 431 here
    std::uint64_t tooSlow = 0; // of `malformed`: bodies below the minimum rate
    std::uint64_t overloaded = 0; // refused or closed because the memory budget was used up
    std::uint64_t abandoned = 0; // requests whose connection ended before their answer
};

class IngressConnection;

// HTTP/1.1 server for callers. On each connection it reads one complete request at a time and passes it to
// the handler; pipelined requests wait until the one before has been answered.
//
//   Ingress ingress(base, limits, [](IngressRequest request, CallerExchange& caller) { ... });
//   ingress.listen({ "10.0.0.1", 8080 });
class Ingress {
public:
    using Handler = std::function<void(IngressRequest, CallerExchange&)>;

    // Null: a budget of its own, with the limit maxBufferedBytes.
    Ingress(event_base*, IngressLimits, Handler, std::shared_ptr<MemoryBudget> = nullptr);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    // Returns the port in use. Errors: InvalidArgument (not an IPv4 address), Unavailable (for example, the
    // address is in use).
    Result<std::uint16_t> listen(const Endpoint&);

    // Limits of size apply to requests that begin from now on, on open connections, too; requests that have
    // begun get the larger of the old and the new limits. The idle timeout applies to connections that become
    // idle from now on. Connections that are idle already get the longer of the old and the new timeout,
    // because their callers may still rely on the old one.
    void setLimits(const IngressLimits&);

    // From now on each answer carries Connection: close, and its connection is closed after it.
    void startClosing() { m_closing = true; }
    // Closes the connections that have been idle, without a byte of a request, for at least this long.
    void closeIdle(Milliseconds minIdle);
    // Accepts no more connections.
    void stopListening() { m_listener.reset(); }

    std::size_t connections() const { return m_connections.size(); }
    std::size_t requestsInProgress() const { return m_inProgress; }
    // Memory of bodies, pipelined input and unsent output; with a shared budget, that of all its users.
    std::size_t bufferedBytes() const;
    const IngressCounters& counters() const { return m_counters; }

private:
    friend class IngressConnection;
    using Connections = std::list<std::unique_ptr<IngressConnection>>;

    using Source = std::uint32_t; // IPv4 address

    void accept(int socket);
    bool makeRoomFor(Source);
    bool displace(std::optional<Source>);
    void remove(IngressConnection&);
    void runDeferred();
    void checkTimeouts();
    void freeSoon();
    // Counts a refusal or a closed connection for lack of memory, and logs it at most once a second.
    void reportOverload(std::string_view action, std::size_t bytes);
    bool freeMemory(const std::function<bool()>& enough, const IngressConnection* requester);

    event_base* m_base;
    IngressLimits m_limits;
    Handler m_handler;
    std::shared_ptr<MemoryBudget> m_memory;
    MonotonicTime m_overloadLoggedAt;
    IngressCounters m_counters;
    std::unique_ptr<TcpListener> m_listener;
    Connections m_connections;
    Connections m_closedConnections; // freed from the loop: their functions may still be on the stack
    std::unordered_map<Source, std::size_t> m_sources; // number of open connections
    std::vector<IngressConnection*> m_pipelined; // answered, with buffered input of a further request
    Timer m_deferredTimer;
    Ticker m_timeoutTicker;
    std::size_t m_inProgress = 0;
    bool m_closing = false;
};

} // namespace briarwharf
