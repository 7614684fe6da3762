#include "connection/tcpstream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t readBufferBytes = 32 * 1024;
    constexpr int listenBacklog = 1024;
    constexpr int acceptsPerWakeup = 64;

    // Sent output is freed in pieces of at least this size, and only if no more than that must be moved.
    constexpr std::size_t minFreedOutputBytes = 64 * 1024;

    // Unanswered keep-alive probes after which the system closes the connection.
    constexpr int maxUnansweredProbes = 2;

    void setOption(int socket, int level, int option, int value)
    {
        setsockopt(socket, level, option, &value, sizeof value);
    }

    void setOptions(int socket, const TcpOptions& options)
    {
        setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
        if (options.unacknowledgedTimeout.count() > 0)
            setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                static_cast<int>(options.unacknowledgedTimeout.count()));
        if (options.keepAliveInterval.count() > 0) {
            int seconds = static_cast<int>(options.keepAliveInterval.count());
            setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
            setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
            setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
            setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
        }
    }

    // Of an address of either family.
    struct SocketName {
        sockaddr_storage storage {};
        socklen_t size = 0;
    };

    template <typename Name> SocketName socketName(const Name& name)
    {
        SocketName result;
        std::memcpy(&result.storage, &name, sizeof name);
        result.size = sizeof name;
        return result;
    }

    Result<SocketName> parseSocketName(const std::string& address, std::uint16_t port)
    {
        sockaddr_in version4 {};
        version4.sin_family = AF_INET;
        version4.sin_port = htons(port);
        if (inet_pton(AF_INET, address.c_str(), &version4.sin_addr) == 1)
            return socketName(version4);
        sockaddr_in6 version6 {};
        version6.sin6_family = AF_INET6;
        version6.sin6_port = htons(port);
        if (inet_pton(AF_INET6, address.c_str(), &version6.sin6_addr) == 1)
            return socketName(version6);
        return Error { ErrorKind::InvalidArgument,
            "\"" + address + "\" is not an IP number: give one such as 10.0.0.1 or 2001:db8::1" };
    }

    Error systemError(const std::string& what)
    {
        return { ErrorKind::Unavailable, what + ": " + std::strerror(errno) };
    }

} // namespace

Result<std::unique_ptr<TcpStream>> TcpStream::connect(event_base* base, const std::string& address,
    std::uint16_t port, const TcpOptions& options, TcpStreamEvents& events)
{
    auto target = parseSocketName(address, port);
    if (!target)
        return target.error();
    int socket = ::socket(target.value().storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return systemError("cannot open a socket (raise the limit of open files)");
    setOptions(socket, options);
    const SocketName& name = target.value();
    int result = ::connect(socket, reinterpret_cast<const sockaddr*>(&name.storage), name.size);
    bool refused = result < 0 && errno == ECONNREFUSED; // known at once only on loopback
    if (result < 0 && errno != EINPROGRESS && !refused) {
        Error error = systemError("cannot connect to " + address + ":" + std::to_string(port));
        ::close(socket);
        return error;
    }
    std::unique_ptr<TcpStream> stream(new TcpStream(base, socket, true, options.connectTimeout, events));
    if (refused) {
        event_del(stream->m_writeEvent.get());
        stream->failLater(ECONNREFUSED);
    }
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(
    event_base* base, int socket, const TcpOptions& options, TcpStreamEvents& events)
{
    setOptions(socket, options);
    return std::unique_ptr<TcpStream>(new TcpStream(base, socket, false, options.connectTimeout, events));
}

TcpStream::TcpStream(
    event_base* base, int socket, bool connecting, Milliseconds connectTimeout, TcpStreamEvents& events)
    : m_socket(socket)
    , m_connecting(connecting)
    , m_events(events)
    , m_readEvent(event_new(base, socket, EV_READ | EV_PERSIST, &TcpStream::onReadable, this))
    , m_writeEvent(event_new(base, socket, EV_WRITE, &TcpStream::onWritable, this))
    , m_deferredEvent(event_new(base, -1, 0, &TcpStream::onDeferred, this))
{
    if (!connecting) {
        resumeReading();
        return;
    }
    timeval timeout = toTimeval(connectTimeout);
    event_add(m_writeEvent.get(), &timeout);
}

TcpStream::~TcpStream()
{
    m_readEvent.reset();
    m_writeEvent.reset();
    ::close(m_socket);
}

void TcpStream::write(std::string_view bytes)
{
    if (bytes.empty() || m_deferredError != 0)
        return;
    if (m_connecting || pendingBytes() > 0) {
        if (m_shared)
            appendOutput(std::string_view(*std::exchange(m_shared, nullptr)).substr(m_sharedSent));
        appendOutput(bytes);
        return;
    }
    ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR)
        return failLater(errno);
    std::size_t taken = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    if (taken == bytes.size())
        return;
    m_output.assign(bytes.substr(taken));
    m_outputSent = 0;
    event_add(m_writeEvent.get(), nullptr);
}

void TcpStream::write(std::shared_ptr<const std::string> bytes)
{
    if (!bytes || bytes->empty() || m_deferredError != 0)
        return;
    if (m_shared)
        return write(std::string_view(*bytes));
    m_sharedSent = 0;
    if (!m_connecting && pendingBytes() == 0) {
        ssize_t sent = ::send(m_socket, bytes->data(), bytes->size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR)
            return failLater(errno);
        m_sharedSent = sent < 0 ? 0 : static_cast<std::size_t>(sent);
        if (m_sharedSent == bytes->size())
            return;
        event_add(m_writeEvent.get(), nullptr);
    }
    m_shared = std::move(bytes);
}

// Grows by a quarter and without the sent part: std::string doubles its capacity, which for a slow reader
// would be mostly unused.
void TcpStream::appendOutput(std::string_view bytes)
{
    std::size_t unsent = m_output.size() - m_outputSent;
    if (m_output.size() + bytes.size() > m_output.capacity()) {
        std::string larger;
        larger.reserve((unsent + bytes.size()) * 5 / 4);
        larger.append(m_output, m_outputSent);
        m_output = std::move(larger);
        m_outputSent = 0;
    }
    m_output.append(bytes);
}

// A string without a block of its own holds up to its capacity in the object.
std::size_t TcpStream::heldOutputBytes() const
{
    return m_output.capacity() > std::string().capacity() ? m_output.capacity() : 0;
}

void TcpStream::pauseReading()
{
    if (!m_reading)
        return;
    m_reading = false;
    event_del(m_readEvent.get());
}

void TcpStream::resumeReading()
{
    if (m_reading || m_ended || m_connecting)
        return;
    m_reading = true;
    event_add(m_readEvent.get(), nullptr);
}

void TcpStream::resetOnClose()
{
    linger reset { 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void TcpStream::onReadable(int, short, void* self) { static_cast<TcpStream*>(self)->readInput(); }

void TcpStream::onWritable(int, short what, void* self)
{
    auto* stream = static_cast<TcpStream*>(self);
    if (stream->m_connecting)
        stream->finishConnecting((what & EV_TIMEOUT) != 0);
    else
        stream->flushOutput();
}

void TcpStream::onDeferred(int, short, void* self)
{
    auto* stream = static_cast<TcpStream*>(self);
    stream->fail(stream->m_deferredError);
}

TcpStream::OutputState TcpStream::outputState() const
{
    int error = m_deferredError;
    socklen_t length = sizeof error;
    if (error == 0)
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return OutputState::Failed;
    return undeliveredBytes() > 0 ? OutputState::Pending : OutputState::Delivered;
}

std::size_t TcpStream::undeliveredBytes() const
{
    int unacknowledged = 0;
    ioctl(m_socket, SIOCOUTQ, &unacknowledged);
    return pendingBytes() + static_cast<std::size_t>(std::max(unacknowledged, 0));
}

// Reads once per wake-up: the event is level-triggered, so the remaining input wakes the loop again.
void TcpStream::readInput()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count > 0)
        return m_events.streamReceived(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR)
            fail(errno);
        return;
    }
    // A reset that a write has met is not met again: the end of the input then looks orderly.
    if (m_deferredError != 0)
        return;
    pauseReading();
    m_ended = true;
    m_events.streamEnded();
}

void TcpStream::finishConnecting(bool timedOut)
{
    int error = ETIMEDOUT;
    socklen_t length = sizeof error;
    if (!timedOut)
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return fail(error);
    m_connecting = false;
    resumeReading();
    if (pendingBytes() > 0)
        event_active(m_writeEvent.get(), EV_WRITE, 0);
    m_events.streamConnected();
}

void TcpStream::flushOutput()
{
    if (!sendPending())
        return;
    if (pendingBytes() > 0) {
        freeSentOutput();
        event_add(m_writeEvent.get(), nullptr);
        return;
    }
    m_output.clear();
    m_output.shrink_to_fit();
    m_outputSent = 0;
    m_shared.reset();
    m_events.streamDrained();
}

// Sends once from the copied output, or from the shared bytes after it. Returns false if the stream failed.
bool TcpStream::sendPending()
{
    bool fromShared = m_output.size() == m_outputSent;
    std::string_view rest = std::string_view(m_output).substr(m_outputSent);
    if (fromShared && m_shared)
        rest = std::string_view(*m_shared).substr(m_sharedSent);
    ssize_t sent = rest.empty() ? 0 : ::send(m_socket, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        fail(errno);
        return false;
    }
    (fromShared ? m_sharedSent : m_outputSent) += sent < 0 ? 0 : static_cast<std::size_t>(sent);
    return true;
}

// A reader that is never quite done would otherwise let the sent part grow without bound. The rest is copied:
// erasing would keep the block.
void TcpStream::freeSentOutput()
{
    if (m_outputSent < minFreedOutputBytes || m_outputSent < m_output.size() - m_outputSent)
        return;
    m_output = std::string(m_output, m_outputSent);
    m_outputSent = 0;
}

void TcpStream::fail(int error)
{
    m_refused = error == ECONNREFUSED;
    event_del(m_readEvent.get());
    event_del(m_writeEvent.get());
    event_del(m_deferredEvent.get());
    m_events.streamFailed(std::strerror(error));
}

void TcpStream::failLater(int error)
{
    m_deferredError = error;
    event_active(m_deferredEvent.get(), EV_TIMEOUT, 0);
}

Result<std::unique_ptr<TcpListener>> TcpListener::listen(
    event_base* base, const std::string& address, std::uint16_t port, Accepted accepted)
{
    auto name = parseSocketName(address, port);
    if (!name)
        return name.error();
    const SocketName& value = name.value();
    int socket = ::socket(value.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return systemError("cannot open a listening socket");
    setOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&value.storage), value.size) < 0
        || ::listen(socket, listenBacklog) < 0) {
        Error error = systemError("cannot listen on " + address + ":" + std::to_string(port)
            + " (stop the process that holds it, or choose another address)");
        ::close(socket);
        return error;
    }
    return std::unique_ptr<TcpListener>(new TcpListener(base, socket, std::move(accepted)));
}

TcpListener::TcpListener(event_base* base, int socket, Accepted accepted)
    : m_socket(socket)
    , m_accepted(std::move(accepted))
    , m_event(event_new(base, socket, EV_READ | EV_PERSIST, &TcpListener::onReadable, this))
{
    event_add(m_event.get(), nullptr);
}

TcpListener::~TcpListener()
{
    m_event.reset();
    ::close(m_socket);
}

std::uint16_t TcpListener::port() const
{
    sockaddr_storage name {};
    socklen_t length = sizeof name;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&name), &length);
    // The port stands at the same place in addresses of both families.
    return ntohs(reinterpret_cast<const sockaddr_in&>(name).sin_port);
}

void TcpListener::onReadable(int, short, void* self)
{
    auto* listener = static_cast<TcpListener*>(self);
    for (int accepted = 0; accepted < acceptsPerWakeup; ++accepted) {
        int socket = accept4(listener->m_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            return;
        listener->m_accepted(socket);
    }
}

} // namespace briarwharf
