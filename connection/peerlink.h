#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/memorybudget.h"
#include "coordination/peerframe.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace briarwharf {

// Version of the peer protocol that this code implements. Increase it when the meaning of a frame changes.
constexpr std::uint32_t peerProtocolVersion = 1;

// Identifies a link within its process; never reused.
using LinkId = std::uint64_t;

struct PeerLinkOptions {
    std::uint32_t protocolVersion = peerProtocolVersion;
    std::uint32_t minProtocolVersion = peerProtocolVersion; // accepted from the other side
    // The link to a peer that does not read is closed when more output than this would be queued. A snapshot
    // and its records fit.
    std::size_t maxOutputBytes = 3 * maxPeerFrameBytes;
    std::size_t maxLinks = 512; // further connections are refused
    Milliseconds handshakeTimeout { 2000 }; // from connect or accept to the other side's Hello
    std::shared_ptr<MemoryBudget> memory; // counts links and frames; null: not counted
};

struct PeerLinkCounters {
    std::uint64_t bytesSent = 0; // frames queued on a link, without the overhead of TCP and IP
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t linksOpened = 0; // completed the Hello exchange
    std::uint64_t linksClosed = 0; // links that completed it and have ended
    std::uint64_t handshakesFailed = 0;
};

// Callbacks to the owner. Each runs from the event loop, never inside a function that the owner has called.
struct PeerLinkCallbacks {
    // The other side's Hello was received and accepted; this side's Hello was queued before.
    std::function<void(LinkId, const HelloT&, bool outgoing)> up;
    // The link ended other than by close(): the other side closed it, violated the protocol, sent no Hello in
    // time or did not read, or the connection could not be made. Called once, and for an incoming link only
    // after `up`.
    std::function<void(LinkId, const Error&)> down;
    // A verified frame other than the first Hello.
    std::function<void(LinkId, PeerFrameT)> frame;
};

// TCP links between instances: framing, the Hello exchange and bounded output. The owner decides when to
// connect, how often to send heartbeats and when a link counts as silent.
class PeerLinks {
public:
    PeerLinks(event_base*, const PeerLinkOptions&, PeerLinkCallbacks);
    ~PeerLinks(); // closes every link without calling back
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    // Sets the member that this side's Hello carries; call it before listen() and connect().
    void setSelf(const MemberT&);

    // Accepts links on an IP address and port ("10.0.0.1:7500"; port 0 lets the system choose one).
    // Returns the address in use. Errors: InvalidArgument, Unavailable (for example, the port is in use).
    Result<std::string> listen(const std::string& address);

    // Starts a link to an IP address and port; `up` or `down` follows, unless close() comes first.
    // Errors: InvalidArgument, Overloaded (too many links).
    Result<LinkId> connect(const std::string& address);

    // Queues a frame; its sender and incarnation are set here. Returns false if the link is not up, the frame
    // is over maxPeerFrameBytes, or the output would exceed maxOutputBytes; in the last case the link is
    // closed and `down` follows.
    bool send(LinkId, PeerFrameT&&);

    // Queues a frame that encodePeerFrame() made, so that a frame for many links is encoded once. Returns
    // what send() returns.
    bool sendEncoded(LinkId, const std::string& bytes);

    // Ends a link at once; queued output is dropped and `down` is not called. Unknown links are ignored.
    void close(LinkId);

    // When the last byte arrived on the link; the clock's epoch for an unknown link.
    MonotonicTime lastReceived(LinkId) const;

    // Links that are up.
    std::vector<LinkId> links() const;

    const PeerLinkCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace briarwharf
