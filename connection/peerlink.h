#pragma once

#include "base/error.h"
#include "base/time.h"
#include "coordination/peerframe.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace briarwharf {

// Version of the peer protocol that this code speaks. Raise it when a frame gets another meaning.
constexpr std::uint32_t peerProtocolVersion = 1;

// Names a link within its process; never reused.
using LinkId = std::uint64_t;

struct PeerLinkOptions {
    std::uint32_t protocolVersion = peerProtocolVersion;
    std::uint32_t oldestProtocolVersion = peerProtocolVersion; // of the other side, accepted
    // A peer that does not read is closed when this much waits for it; a snapshot and its records fit.
    std::size_t maxOutputBytes = 3 * maxPeerFrameBytes;
    std::size_t maxLinks = 512; // further connections are refused
    Milliseconds handshakeTimeout { 2000 }; // from connect or accept to the other side's Hello
};

struct PeerLinkCounters {
    std::uint64_t bytesSent = 0; // frames given to a link, without the overhead of TCP and IP
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t linksOpened = 0; // got past the Hello exchange
    std::uint64_t linksClosed = 0; // of these, ended
    std::uint64_t handshakesFailed = 0;
};

// What the owner learns. Every callback comes from the event loop, never from inside a call of the owner.
struct PeerLinkCallbacks {
    // Both Hello frames have passed.
    std::function<void(LinkId, const HelloT&, bool outgoing)> up;
    // The link ended other than by close(): the other side closed it, it broke the protocol, it did not read,
    // or connect() failed. Called once, and for an incoming link only after `up`.
    std::function<void(LinkId, const Error&)> down;
    // A verified frame other than the first Hello.
    std::function<void(LinkId, PeerFrameT)> frame;
};

// TCP links between instances: framing, the Hello exchange and bounded output. When to connect, how often to
// send heartbeats and when a link counts as silent is the owner's decision.
class PeerLinks {
public:
    PeerLinks(event_base*, const PeerLinkOptions&, PeerLinkCallbacks);
    ~PeerLinks(); // closes every link without calling back
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    // The member that this side's Hello carries; set it before listen() and connect().
    void setSelf(const MemberT&);

    // Accepts links on an IP number and port ("10.0.0.1:7500"; port 0 lets the system choose).
    // Returns the address in force. Errors: InvalidArgument, Unavailable (the port is taken).
    Result<std::string> listen(const std::string& address);

    // Starts a link to an IP number and port; `up` or `down` follows, unless close() comes first.
    // Errors: InvalidArgument, Overloaded (too many links).
    Result<LinkId> connect(const std::string& address);

    // Queues a frame; the sender and incarnation are filled in. False if the link is not up, the frame is
    // over maxPeerFrameBytes, or the output is full; in the last case the link is closed and `down` follows.
    bool send(LinkId, PeerFrameT&&);

    // Queues a frame that encodePeerFrame made, for the same frame to many links. Same results as send().
    bool sendEncoded(LinkId, const std::string& bytes);

    // Ends a link at once; queued output is dropped and `down` is not called. Unknown links are ignored.
    void close(LinkId);

    // When the last byte arrived on the link; the epoch for an unknown link.
    MonotonicTime lastReceived(LinkId) const;

    // Links that are up.
    std::vector<LinkId> links() const;

    const PeerLinkCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace briarwharf
