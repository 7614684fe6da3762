#include "connection/peerlink.h"
#include "connection/testing/loop.h"
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

using namespace briarwharf;

namespace {

// One instance's links and everything that they have reported.
struct InstanceLinks {
    InstanceLinks(event_base* base, const std::string& id, const PeerLinkOptions& options = {})
        : links(base, options,
            { .up =
                    [this](LinkId link, const HelloT& hello, bool outgoing) {
                        up.push_back(link);
                        peer = hello.member->id;
                        lastOutgoing = outgoing;
                    },
                .down =
                    [this](LinkId link, const Error& error) {
                        down.push_back(link);
                        lastError = error;
                    },
                .frame =
                    [this](LinkId link, const PeerFrameT& frame) {
                        if (closeOnFrame)
                            links.close(link);
                        frames.push_back(frame);
                    } })
    {
        MemberT self;
        self.id = id;
        self.incarnation = 7;
        links.setSelf(self);
    }

    std::vector<LinkId> up;
    std::vector<LinkId> down;
    std::vector<PeerFrameT> frames;
    std::string peer;
    bool lastOutgoing = false;
    bool closeOnFrame = false;
    Error lastError;
    PeerLinks links;
};

PeerFrameT makePing(std::uint64_t nonce, std::size_t targetBytes = 4)
{
    PeerFrameT frame;
    PingRequestT ping;
    ping.nonce = nonce;
    ping.target.assign(targetBytes, 'x');
    frame.body.Set(std::move(ping));
    return frame;
}

// A plain connection that sends arbitrary bytes.
struct RawPeer {
    RawPeer(event_base* base, const std::string& address)
        : transport(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_storage storage {};
        int length = sizeof(storage);
        evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&storage), &length);
        auto closed = [](bufferevent*, short events, void* self) {
            if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<RawPeer*>(self)->ended = true;
        };
        bufferevent_setcb(transport, nullptr, nullptr, closed, this);
        bufferevent_enable(transport, EV_READ | EV_WRITE);
        bufferevent_socket_connect(transport, reinterpret_cast<sockaddr*>(&storage), length);
    }
    ~RawPeer() { bufferevent_free(transport); }

    void write(std::string_view bytes) { bufferevent_write(transport, bytes.data(), bytes.size()); }

    bufferevent* transport;
    bool ended = false;
};

} // namespace

TEST_CASE("two instances exchange Hello and frames in order")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a");
    InstanceLinks b(base.get(), "b");
    auto address = b.links.listen("127.0.0.1:0").value();
    auto link = a.links.connect(address).value();
    CHECK_FALSE(a.links.send(link, makePing(0)));
    runUntil(base.get(), [&] { return !a.up.empty() && !b.up.empty(); });
    CHECK(a.peer == "b");
    CHECK(b.peer == "a");
    CHECK(a.lastOutgoing);
    CHECK_FALSE(b.lastOutgoing);
    constexpr std::size_t count = 200;
    for (std::size_t i = 0; i < count; ++i)
        CHECK(a.links.send(link, makePing(i, i * 50)));
    runUntil(base.get(), [&] { return b.frames.size() == count; });
    for (std::size_t i = 0; i < count; ++i)
        CHECK(b.frames[i].body.AsPingRequest()->nonce == i);
    CHECK(b.frames[0].sender == "a");
    CHECK(b.frames[0].incarnation == 7);
    CHECK(a.links.counters().bytesSent == b.links.counters().bytesReceived);
    CHECK(b.links.lastReceived(b.up[0]) > MonotonicTime {});
    a.links.close(link);
    runUntil(base.get(), [&] { return b.down.size() == 1; });
    CHECK(a.down.empty());
    CHECK(b.links.links().empty());
    CHECK_FALSE(b.links.send(b.up[0], makePing(1)));
}

// Guards against a snapshot near the limit that is not delivered, and against a frame over the limit that
// makes the receiver close the link.
TEST_CASE("a frame near the limit is delivered and one over it is rejected by the sender")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a");
    InstanceLinks b(base.get(), "b");
    auto link = a.links.connect(b.links.listen("127.0.0.1:0").value()).value();
    runUntil(base.get(), [&] { return !a.up.empty(); });
    CHECK(a.links.send(link, makePing(1, maxPeerFrameBytes - 200)));
    CHECK_FALSE(a.links.send(link, makePing(2, maxPeerFrameBytes + 1)));
    runUntil(base.get(), [&] { return b.frames.size() == 1; });
    CHECK(a.links.links().size() == 1);
}

TEST_CASE("a peer of an older protocol version is refused")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a", { .protocolVersion = 1, .minProtocolVersion = 1 });
    InstanceLinks b(base.get(), "b", { .protocolVersion = 2, .minProtocolVersion = 2 });
    a.links.connect(b.links.listen("127.0.0.1:0").value()).value();
    runUntil(base.get(), [&] { return a.down.size() == 1; });
    CHECK(b.up.empty());
    CHECK(b.down.empty());
    CHECK(b.links.counters().handshakesFailed == 1);
}

TEST_CASE("a connection that cannot be made is reported once, from the loop")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a");
    std::string address;
    {
        InstanceLinks closed(base.get(), "closed");
        address = closed.links.listen("127.0.0.1:0").value();
    }
    auto link = a.links.connect(address).value();
    CHECK(a.down.empty());
    runUntil(base.get(), [&] { return !a.down.empty(); });
    CHECK(a.down == std::vector<LinkId> { link });
    CHECK(a.lastError.kind == ErrorKind::Unavailable);
    CHECK(a.links.connect("nowhere").error().kind == ErrorKind::InvalidArgument);
    CHECK(a.links.connect("127.0.0.1").error().kind == ErrorKind::InvalidArgument);
}

// Guards against accepting bytes of another protocol, corrupt frames and frames before the Hello.
TEST_CASE("a link that breaks the protocol is closed")
{
    Base base = makeBase();
    InstanceLinks b(base.get(), "b");
    auto address = b.links.listen("127.0.0.1:0").value();
    std::string corrupt("\x08\0\0\0garbage!", 12);
    for (const auto& bytes :
        { std::string("GET / HTTP/1.1\r\n\r\n"), corrupt, encodePeerFrame(makePing(1)) }) {
        RawPeer raw(base.get(), address);
        raw.write(bytes);
        runUntil(base.get(), [&] { return raw.ended; });
    }
    CHECK(b.up.empty());
    CHECK(b.links.counters().handshakesFailed == 3);
}

// Guards against connections that never send a Hello and count towards maxLinks for ever.
TEST_CASE("a peer that sends no Hello is closed")
{
    Base base = makeBase();
    InstanceLinks b(base.get(), "b", { .handshakeTimeout = Milliseconds(50) });
    RawPeer raw(base.get(), b.links.listen("127.0.0.1:0").value());
    runUntil(base.get(), [&] { return raw.ended; });
    CHECK(b.up.empty());
}

// Guards against memory that grows without limit with the output that a slow peer does not read.
TEST_CASE("a peer that does not read is closed")
{
    Base base = makeBase();
    InstanceLinks b(base.get(), "b");
    RawPeer raw(base.get(), b.links.listen("127.0.0.1:0").value());
    PeerFrameT hello;
    HelloT body;
    body.member = std::make_unique<MemberT>();
    body.protocolVersion = peerProtocolVersion;
    hello.body.Set(std::move(body));
    raw.write(encodePeerFrame(hello));
    runUntil(base.get(), [&] { return b.up.size() == 1; });
    bufferevent_disable(raw.transport, EV_READ);
    constexpr int maxFrames = 100;
    int sent = 0;
    while (sent < maxFrames && b.links.send(b.up[0], makePing(1, 1000000))) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
        ++sent;
    }
    CHECK(sent < maxFrames);
    runUntil(base.get(), [&] { return b.down.size() == 1; });
    CHECK(b.lastError.kind == ErrorKind::Overloaded);
}

// Guards against use after free of a link that its owner closed inside a callback while more frames were
// buffered.
TEST_CASE("an owner may close a link inside the frame callback")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a");
    InstanceLinks b(base.get(), "b");
    b.closeOnFrame = true;
    auto link = a.links.connect(b.links.listen("127.0.0.1:0").value()).value();
    runUntil(base.get(), [&] { return !a.up.empty(); });
    for (int i = 0; i < 10; ++i)
        a.links.send(link, makePing(1));
    runUntil(base.get(), [&] { return a.down.size() == 1; });
    CHECK(b.frames.size() == 1);
    CHECK(b.down.empty());
}

TEST_CASE("links over the limit are refused")
{
    Base base = makeBase();
    InstanceLinks a(base.get(), "a");
    InstanceLinks b(base.get(), "b", { .maxLinks = 1 });
    auto address = b.links.listen("127.0.0.1:0").value();
    a.links.connect(address).value();
    runUntil(base.get(), [&] { return b.up.size() == 1; });
    a.links.connect(address).value();
    runUntil(base.get(), [&] { return a.down.size() == 1; });
    CHECK(b.links.connect(address).error().kind == ErrorKind::Overloaded);
}

// Guards against connections that fill the memory before they have shown that they are instances.
TEST_CASE("a first frame that is too large for a Hello ends the connection before it is read")
{
    Base base = makeBase();
    PeerLinkOptions options;
    options.handshakeTimeout = std::chrono::minutes(10); // is not what ends the connection
    InstanceLinks a(base.get(), "a", options);
    auto address = a.links.listen("127.0.0.1:0").value();
    RawPeer peer(base.get(), address);
    peer.write(std::string("\x00\x00\x10\x00", peerFrameHeaderBytes)); // 1 MiB follows, little endian
    runUntil(base.get(), [&] { return peer.ended; });
    CHECK(a.links.counters().handshakesFailed == 1);
}
