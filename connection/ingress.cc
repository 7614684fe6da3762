#include "connection/ingress.h"

#include "base/hash.h"
#include "base/log.h"
#include "connection/ingressconnection.h"
#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds timeoutCheckInterval { 250 };

    // Callers' addresses share all connections freely up to this part of them. Beyond it, one address gets no
    // more than half: all callers of a failure domain may come from few addresses.
    constexpr double scarceConnections = 0.9;
    constexpr double maxSourceShare = 0.5;

    constexpr Milliseconds overloadLogInterval { 1000 };

    // The caller's address; of IPv6 a hash of the network's part, as a host has many addresses in its
    // network.
    std::uint32_t sourceOf(int socket)
    {
        sockaddr_storage name {};
        socklen_t length = sizeof name;
        getpeername(socket, reinterpret_cast<sockaddr*>(&name), &length);
        if (name.ss_family != AF_INET6)
            return ntohl(reinterpret_cast<const sockaddr_in&>(name).sin_addr.s_addr);
        constexpr std::size_t networkBytes = 8;
        const auto& address = reinterpret_cast<const sockaddr_in6&>(name).sin6_addr;
        std::string_view network(reinterpret_cast<const char*>(address.s6_addr), networkBytes);
        return static_cast<std::uint32_t>(hash64(network));
    }

} // namespace

Ingress::Ingress(
    event_base* base, IngressLimits limits, Handler handler, std::shared_ptr<MemoryBudget> memory)
    : m_base(base)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_memory(memory ? std::move(memory) : std::make_shared<MemoryBudget>(limits.maxBufferedBytes))
    , m_deferredTimer(base, [this] { runDeferred(); })
    , m_timeoutTicker(base, timeoutCheckInterval, [this] { checkTimeouts(); })
{
}

// Destroys the connections while the members that they use exist. Requests in progress get callerLeft().
Ingress::~Ingress()
{
    m_connections.clear();
    m_closedConnections.clear();
}

Result<std::uint16_t> Ingress::listen(const Endpoint& endpoint)
{
    auto listener = TcpListener::listen(
        m_base, endpoint.address, endpoint.port, [this](int socket) { accept(socket); });
    if (!listener)
        return listener.error();
    m_listener = std::move(listener.value());
    return m_listener->port();
}

void Ingress::setLimits(const IngressLimits& limits) { m_limits = limits; }

void Ingress::closeIdle(Milliseconds minIdle)
{
    MonotonicTime now = clockNow();
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        auto& current = **connection++;
        if (current.isIdle() && now - current.m_stateEntered >= minIdle)
            current.close();
    }
}

std::size_t Ingress::bufferedBytes() const
{
    return m_memory->held(MemoryKind::Bodies) + m_memory->held(MemoryKind::CallerInput)
        + m_memory->held(MemoryKind::CallerOutput);
}

void Ingress::accept(int socket)
{
    Source source = sourceOf(socket);
    if (!makeRoomFor(source)) {
        ++m_counters.refused;
        ::close(socket);
        return;
    }
    ++m_counters.accepted;
    ++m_sources[source];
    m_connections.push_back(std::make_unique<IngressConnection>(*this, socket, source));
    m_connections.back()->m_position = std::prev(m_connections.end());
}

// Returns false if a connection from this source must be refused.
bool Ingress::makeRoomFor(Source source)
{
    if (m_connections.size() >= m_limits.maxConnections)
        return displace(std::nullopt);
    auto limit = static_cast<double>(m_limits.maxConnections);
    auto found = m_sources.find(source);
    std::size_t own = found == m_sources.end() ? 0 : found->second;
    bool isScarce = static_cast<double>(m_connections.size()) >= limit * scarceConnections;
    if (!isScarce || static_cast<double>(own) < limit * maxSourceShare)
        return true;
    return displace(source);
}

// Closes the oldest connection, of this source if one is given, that has carried no request or will carry
// none, or else one whose body is behind. Returns false if there is none.
bool Ingress::displace(std::optional<Source> source)
{
    MonotonicTime now = clockNow();
    for (bool (IngressConnection::*isDisplaceable)(MonotonicTime) const :
        { &IngressConnection::isUnused, &IngressConnection::isBehind }) {
        auto found = std::find_if(m_connections.begin(), m_connections.end(), [&](const auto& connection) {
            return (!source || connection->source() == *source) && (*connection.*isDisplaceable)(now);
        });
        if (found == m_connections.end())
            continue;
        ++m_counters.displaced;
        (*found)->close();
        return true;
    }
    return false;
}

void Ingress::remove(IngressConnection& connection)
{
    auto source = m_sources.find(connection.source());
    if (source != m_sources.end() && --source->second == 0)
        m_sources.erase(source);
    std::erase(m_pipelined, &connection);
    m_closedConnections.splice(m_closedConnections.end(), m_connections, connection.m_position);
    m_deferredTimer.start(Milliseconds(0));
}

// Continues with pipelined requests, frees closed connections and memory above the limit. Runs from the loop,
// when none of the connections' functions is on the stack.
void Ingress::runDeferred()
{
    for (IngressConnection* connection : std::exchange(m_pipelined, {}))
        connection->resumeInput();
    freeMemory([this] { return !m_memory->isExceeded(); }, nullptr);
    m_closedConnections.clear();
}

void Ingress::checkTimeouts()
{
    MonotonicTime now = clockNow();
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        auto& current = **connection++;
        current.checkTimeouts(now);
        current.countHeld(); // output was sent meanwhile
    }
    freeMemory([this] { return !m_memory->isExceeded(); }, nullptr);
}

void Ingress::reportOverload(std::string_view action, std::size_t bytes)
{
    ++m_counters.overloaded;
    MonotonicTime now = clockNow();
    if (now - m_overloadLoggedAt < overloadLogInterval)
        return;
    m_overloadLoggedAt = now;
    LogLine(LogLevel::Warning, "connection", "buffers-full")
        .field("action", action)
        .field("bytes", bytes)
        .field("total", m_memory->total())
        .field("events", m_counters.overloaded);
}

void Ingress::freeSoon() { m_deferredTimer.start(Milliseconds(0)); }

// Evicts the connections that hold most and move least until there is enough. Returns false if the next one
// is the requester, which then refuses its own request, or if no connection holds anything that can be freed.
bool Ingress::freeMemory(const std::function<bool()>& enough, const IngressConnection* requester)
{
    while (!enough()) {
        MonotonicTime now = clockNow();
        auto worst = std::max_element(
            m_connections.begin(), m_connections.end(), [&](const auto& left, const auto& right) {
                return left->evictionScore(now) < right->evictionScore(now);
            });
        if (worst == m_connections.end() || (*worst)->evictableBytes() == 0 || worst->get() == requester)
            return false;
        (*worst)->evict();
    }
    return true;
}

} // namespace briarwharf
