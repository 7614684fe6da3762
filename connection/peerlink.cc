#include "connection/peerlink.h"

#include "connection/tcpstream.h"
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace briarwharf {

namespace {

    // Maximum size of the first frame. Anyone may connect, so the full size counts only after the Hello.
    constexpr std::size_t maxHelloBytes = 16 * 1024;

    // What a link without frames takes: its objects, events and the first blocks of its buffers.
    constexpr std::size_t linkBytes = 4096;

    struct SocketAddress {
        sockaddr_storage storage {};
        int length = sizeof(sockaddr_storage);

        sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    };

    void setPort(SocketAddress& address, std::uint16_t port)
    {
        if (address.storage.ss_family == AF_INET6)
            reinterpret_cast<sockaddr_in6&>(address.storage).sin6_port = htons(port);
        else
            reinterpret_cast<sockaddr_in&>(address.storage).sin_port = htons(port);
    }

    std::uint16_t portOf(const SocketAddress& address)
    {
        if (address.storage.ss_family == AF_INET6)
            return ntohs(reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_port);
        return ntohs(reinterpret_cast<const sockaddr_in&>(address.storage).sin_port);
    }

    // Without brackets.
    std::string hostOf(const SocketAddress& address)
    {
        std::array<char, INET6_ADDRSTRLEN> text {};
        const void* number = &reinterpret_cast<const sockaddr_in&>(address.storage).sin_addr;
        if (address.storage.ss_family == AF_INET6)
            number = &reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_addr;
        evutil_inet_ntop(address.storage.ss_family, number, text.data(), text.size());
        return text.data();
    }

    // libevent's parser rejects port 0, so the port is parsed separately.
    Result<SocketAddress> parseAddress(const std::string& text)
    {
        Error malformed { ErrorKind::InvalidArgument,
            "\"" + text + "\" is not an IP number and port: write it as 10.0.0.1:7500 or [fd00::1]:7500" };
        auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return malformed;
        std::uint16_t port = 0;
        const char* end = text.data() + text.size();
        auto [last, error] = std::from_chars(text.data() + colon + 1, end, port);
        if (error != std::errc() || last != end)
            return malformed;
        SocketAddress address;
        auto host = text.substr(0, colon);
        if (evutil_parse_sockaddr_port(host.c_str(), address.get(), &address.length) != 0)
            return malformed;
        setPort(address, port);
        return address;
    }

    std::string formatAddress(const SocketAddress& address)
    {
        std::string host = hostOf(address);
        bool isVersion6 = address.storage.ss_family == AF_INET6;
        return (isVersion6 ? "[" + host + "]" : host) + ":" + std::to_string(portOf(address));
    }

    void disableDelay(evutil_socket_t socket)
    {
        int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }

} // namespace

class PeerLinks::Impl {
public:
    Impl(event_base* base, const PeerLinkOptions& options, PeerLinkCallbacks callbacks)
        : m_base(base)
        , m_options(options)
        , m_callbacks(std::move(callbacks))
    {
    }

    Result<std::string> listen(const std::string& address);
    Result<LinkId> connect(const std::string& address);
    bool send(LinkId, PeerFrameT&&);
    bool sendEncoded(LinkId, const std::string& bytes);
    void close(LinkId);
    MonotonicTime lastReceived(LinkId) const;
    std::vector<LinkId> links() const;

    MemberT self;
    PeerLinkCounters counters;

private:
    struct Link {
        Link(Impl& owner, LinkId id, evutil_socket_t socket, bool outgoing);
        ~Link();
        Link(const Link&) = delete;
        Link& operator=(const Link&) = delete;

        Impl& owner;
        LinkId id;
        bool outgoing;
        bool up = false;
        bool failed = false;
        Error reason;
        bufferevent* transport;
        event* timer; // handshake timeout; once `failed` is set, reports the failure
        MonotonicTime lastReceived;
        MemoryHold memory;

        void countHeld();
    };

    void accept(evutil_socket_t);
    static void handleRead(bufferevent*, void* link);
    static void handleEvent(bufferevent*, short events, void* link);
    static void handleTimer(evutil_socket_t, short, void* link);

    Link& addLink(evutil_socket_t, bool outgoing);
    Link* find(LinkId) const;
    void sendHello(Link&);
    void write(Link&, const std::string& bytes);
    void fail(Link&, Error);
    bool readFrame(Link&);
    void handleFrame(Link&, PeerFrameT);
    void handleHello(Link&, const PeerFrameT&);

    event_base* m_base;
    PeerLinkOptions m_options;
    PeerLinkCallbacks m_callbacks;
    std::unique_ptr<TcpListener> m_listener;
    LinkId m_nextId = 1;
    std::map<LinkId, std::unique_ptr<Link>> m_links;
};

PeerLinks::Impl::Link::Link(Impl& impl, LinkId number, evutil_socket_t socket, bool isOutgoing)
    : owner(impl)
    , id(number)
    , outgoing(isOutgoing)
    , transport(bufferevent_socket_new(impl.m_base, socket, BEV_OPT_CLOSE_ON_FREE))
    , timer(event_new(impl.m_base, -1, 0, &Impl::handleTimer, this))
    , lastReceived(std::chrono::steady_clock::now())
    , memory(impl.m_options.memory, MemoryKind::Peers)
{
    memory.set(linkBytes);
    bufferevent_setcb(transport, &Impl::handleRead, nullptr, &Impl::handleEvent, this);
    // Reading pauses once the input buffer holds a frame of the maximum length.
    bufferevent_setwatermark(transport, EV_READ, 0, peerFrameHeaderBytes + maxHelloBytes);
    timeval limit = toTimeval(impl.m_options.handshakeTimeout);
    event_add(timer, &limit);
}

PeerLinks::Impl::Link::~Link()
{
    bufferevent_free(transport);
    event_free(timer);
}

void PeerLinks::Impl::Link::countHeld()
{
    memory.set(linkBytes + evbuffer_get_length(bufferevent_get_input(transport))
        + evbuffer_get_length(bufferevent_get_output(transport)));
}

PeerLinks::Impl::Link& PeerLinks::Impl::addLink(evutil_socket_t socket, bool outgoing)
{
    auto id = m_nextId++;
    auto& link = m_links[id];
    link = std::make_unique<Link>(*this, id, socket, outgoing);
    return *link;
}

PeerLinks::Impl::Link* PeerLinks::Impl::find(LinkId id) const
{
    auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second.get();
}

Result<std::string> PeerLinks::Impl::listen(const std::string& text)
{
    auto address = parseAddress(text);
    if (!address)
        return address.error();
    SocketAddress& bound = address.value();
    auto listener
        = TcpListener::listen(m_base, hostOf(bound), portOf(bound), [this](int socket) { accept(socket); });
    if (!listener)
        return Error { ErrorKind::Unavailable,
            "peer address " + text + " cannot be bound: " + listener.error().message };
    m_listener = std::move(listener.value());
    setPort(bound, m_listener->port());
    return formatAddress(bound);
}

void PeerLinks::Impl::accept(evutil_socket_t socket)
{
    if (m_links.size() >= m_options.maxLinks) {
        ++counters.handshakesFailed;
        evutil_closesocket(socket);
        return;
    }
    disableDelay(socket);
    auto& link = addLink(socket, false);
    bufferevent_enable(link.transport, EV_READ | EV_WRITE);
    sendHello(link);
}

Result<LinkId> PeerLinks::Impl::connect(const std::string& text)
{
    auto address = parseAddress(text);
    if (!address)
        return address.error();
    if (m_links.size() >= m_options.maxLinks)
        return Error { ErrorKind::Overloaded, "too many peer links: close one first" };
    auto& link = addLink(-1, true);
    bufferevent_enable(link.transport, EV_READ | EV_WRITE);
    sendHello(link);
    if (bufferevent_socket_connect(link.transport, address.value().get(), address.value().length) != 0)
        fail(link, { ErrorKind::Unavailable, "peer " + text + " cannot be reached: retry later" });
    return link.id;
}

void PeerLinks::Impl::sendHello(Link& link)
{
    PeerFrameT frame;
    frame.sender = self.id;
    frame.incarnation = self.incarnation;
    HelloT hello;
    hello.member = std::make_unique<MemberT>(self);
    hello.protocolVersion = m_options.protocolVersion;
    frame.body.Set(std::move(hello));
    write(link, encodePeerFrame(frame));
}

void PeerLinks::Impl::write(Link& link, const std::string& bytes)
{
    bufferevent_write(link.transport, bytes.data(), bytes.size());
    link.countHeld();
    ++counters.framesSent;
    counters.bytesSent += bytes.size();
}

bool PeerLinks::Impl::send(LinkId id, PeerFrameT&& frame)
{
    frame.sender = self.id;
    frame.incarnation = self.incarnation;
    return sendEncoded(id, encodePeerFrame(frame));
}

bool PeerLinks::Impl::sendEncoded(LinkId id, const std::string& bytes)
{
    auto* link = find(id);
    if (!link || !link->up || link->failed || bytes.size() > peerFrameHeaderBytes + maxPeerFrameBytes)
        return false;
    auto queuedBytes = evbuffer_get_length(bufferevent_get_output(link->transport));
    if (queuedBytes + bytes.size() > m_options.maxOutputBytes) {
        fail(*link,
            { ErrorKind::Overloaded,
                "the peer did not read " + std::to_string(queuedBytes) + " bytes: connect again" });
        return false;
    }
    write(*link, bytes);
    return true;
}

// Stops the link at once; the owner is notified from the event loop.
void PeerLinks::Impl::fail(Link& link, Error reason)
{
    if (link.failed)
        return;
    link.failed = true;
    link.reason = std::move(reason);
    bufferevent_disable(link.transport, EV_READ | EV_WRITE);
    event_active(link.timer, EV_TIMEOUT, 0);
}

void PeerLinks::Impl::handleTimer(evutil_socket_t, short, void* argument)
{
    auto& link = *static_cast<Link*>(argument);
    auto& self = link.owner;
    if (!link.failed)
        link.reason = { ErrorKind::DeadlineExceeded, "the peer sent no Hello in time: retry later" };
    ++(link.up ? self.counters.linksClosed : self.counters.handshakesFailed);
    bool report = link.up || link.outgoing;
    auto owned = std::move(self.m_links.at(link.id));
    self.m_links.erase(owned->id);
    if (report)
        self.m_callbacks.down(owned->id, owned->reason);
}

void PeerLinks::Impl::handleEvent(bufferevent* transport, short events, void* argument)
{
    auto& link = *static_cast<Link*>(argument);
    if (events & BEV_EVENT_CONNECTED) {
        disableDelay(bufferevent_getfd(transport));
        return;
    }
    std::string reason = "the peer closed the link";
    if (events & BEV_EVENT_ERROR)
        reason = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    link.owner.fail(link, { ErrorKind::Unavailable, "peer link ended: " + reason });
}

void PeerLinks::Impl::handleRead(bufferevent*, void* argument)
{
    auto* link = static_cast<Link*>(argument);
    auto& self = link->owner;
    auto id = link->id;
    link->lastReceived = std::chrono::steady_clock::now();
    // A callback may close this link, so it is looked up again after each frame.
    link->countHeld();
    while (link && !link->failed && self.readFrame(*link))
        link = self.find(id);
    if (link)
        link->countHeld();
}

// Reads one frame from the input buffer. Returns false if none is complete or the link failed.
bool PeerLinks::Impl::readFrame(Link& link)
{
    auto* input = bufferevent_get_input(link.transport);
    std::array<char, peerFrameHeaderBytes> header {};
    if (evbuffer_copyout(input, header.data(), header.size()) < static_cast<ev_ssize_t>(header.size()))
        return false;
    auto length = peerFrameLength({ header.data(), header.size() });
    if (!length) {
        fail(link, length.error());
        return false;
    }
    if (!link.up && length.value() > maxHelloBytes) {
        fail(
            link, { ErrorKind::TooLarge, "the peer's first frame is too large for a Hello: close the link" });
        return false;
    }
    if (evbuffer_get_length(input) < header.size() + length.value())
        return false;
    evbuffer_drain(input, header.size());
    std::string bytes(length.value(), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    ++counters.framesReceived;
    counters.bytesReceived += header.size() + bytes.size();
    auto frame = decodePeerFrame(bytes);
    if (!frame) {
        fail(link, frame.error());
        return false;
    }
    handleFrame(link, std::move(frame.value()));
    return true;
}

void PeerLinks::Impl::handleFrame(Link& link, PeerFrameT frame)
{
    if (link.up)
        m_callbacks.frame(link.id, std::move(frame));
    else
        handleHello(link, frame);
}

void PeerLinks::Impl::handleHello(Link& link, const PeerFrameT& frame)
{
    const auto* hello = frame.body.AsHello();
    if (!hello || !hello->member)
        return fail(link, { ErrorKind::Corrupt, "the peer's first frame is not a Hello: close the link" });
    if (hello->protocolVersion < m_options.minProtocolVersion) {
        return fail(link,
            { ErrorKind::InvalidArgument,
                "peer " + hello->member->id + " speaks protocol version "
                    + std::to_string(hello->protocolVersion) + ", at least "
                    + std::to_string(m_options.minProtocolVersion) + " is needed: update it" });
    }
    link.up = true;
    bufferevent_setwatermark(link.transport, EV_READ, 0, peerFrameHeaderBytes + maxPeerFrameBytes);
    event_del(link.timer);
    ++counters.linksOpened;
    m_callbacks.up(link.id, *hello, link.outgoing);
}

void PeerLinks::Impl::close(LinkId id)
{
    auto* link = find(id);
    if (!link)
        return;
    ++(link->up ? counters.linksClosed : counters.handshakesFailed);
    m_links.erase(id);
}

MonotonicTime PeerLinks::Impl::lastReceived(LinkId id) const
{
    const auto* link = find(id);
    return link ? link->lastReceived : MonotonicTime {};
}

std::vector<LinkId> PeerLinks::Impl::links() const
{
    std::vector<LinkId> up;
    for (const auto& [id, link] : m_links) {
        if (link->up && !link->failed)
            up.push_back(id);
    }
    return up;
}

PeerLinks::PeerLinks(event_base* base, const PeerLinkOptions& options, PeerLinkCallbacks callbacks)
    : m_impl(std::make_unique<Impl>(base, options, std::move(callbacks)))
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::setSelf(const MemberT& member) { m_impl->self = member; }

Result<std::string> PeerLinks::listen(const std::string& address) { return m_impl->listen(address); }

Result<LinkId> PeerLinks::connect(const std::string& address) { return m_impl->connect(address); }

bool PeerLinks::send(LinkId id, PeerFrameT&& frame) { return m_impl->send(id, std::move(frame)); }

bool PeerLinks::sendEncoded(LinkId id, const std::string& bytes) { return m_impl->sendEncoded(id, bytes); }

void PeerLinks::close(LinkId id) { m_impl->close(id); }

MonotonicTime PeerLinks::lastReceived(LinkId id) const { return m_impl->lastReceived(id); }

std::vector<LinkId> PeerLinks::links() const { return m_impl->links(); }

const PeerLinkCounters& PeerLinks::counters() const { return m_impl->counters; }

} // namespace briarwharf
