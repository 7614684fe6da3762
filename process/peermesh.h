#pragma once

#include "connection/connection.h"
#include "coordination/coordination.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace briarwharf {

// This instance's links to other instances. Membership decides which links to keep; this class opens them,
// reopens silent ones, and sends and receives the frames of the protocols that run over them.
//
//   PeerMesh mesh(base, identity, [](const std::string& peer, const PeerFrameT& frame) { ... });
//   mesh.membership().addSection(table);
//   mesh.listen();
//   mesh.tick();                   // about every 100 ms
//   mesh.outbox().send(peer, message);
//   mesh.flush();
class PeerMesh {
public:
    // Called with each frame received, those that membership has handled included, and the sender's id.
    using FrameCallback = std::function<void(const std::string& peer, const PeerFrameT&)>;

    // A budget counts the memory of links and frames; null: it is not counted.
    PeerMesh(event_base*, InstanceIdentity, FrameCallback, std::shared_ptr<MemoryBudget> = nullptr);
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    // Errors: Unavailable (the peer port is already in use).
    Status listen();

    // Adds the instances to the membership and opens the links that are missing.
    void seed(const std::vector<ListedInstance>&);

    void tick();

    // Notifies the other instances that this instance leaves the fleet.
    void leave();

    // Sends the messages in the outbox; drops those to peers without a link.
    void flush();

    // Requests a link that membership does not need, and keeps it for a minute after the last call. False
    // while the link is not up.
    bool ensureLink(const std::string& peer);

    Membership& membership() { return m_membership; }
    const Membership& membership() const { return m_membership; }
    Outbox& outbox() { return m_outbox; }

    std::size_t linkCount() const { return m_links.size(); }
    const PeerLinkCounters& counters() const { return m_transport.counters(); }
    // Bytes of frames sent so far, by type of message.
    const std::map<PeerBody, std::uint64_t>& sentByKind() const { return m_sentByKind; }

private:
    struct Dial {
        std::optional<LinkId> link;
        MonotonicTime nextAttempt;
        Milliseconds delay { 0 };
    };

    void linkUp(LinkId, const HelloT&, bool outgoing);
    void linkDown(LinkId);
    void frameReceived(LinkId, const PeerFrameT&);
    void closePeer(const std::string& peer);
    void dialMissing();
    void closeUnneeded();
    void dial(const std::string& peer, MonotonicTime now);

    FrameCallback m_onFrame;
    Outbox m_outbox;
    Membership m_membership;
    PeerLinks m_transport;
    std::map<std::string, LinkId> m_links; // by peer
    std::map<LinkId, std::string> m_peers;
    std::map<LinkId, bool> m_outgoing; // true: this instance opened the link
    std::map<std::string, MonotonicTime> m_unneededSince; // of outgoing links, by peer
    std::map<std::string, Dial> m_dials;
    std::map<std::string, MonotonicTime> m_onDemandLastUsed; // links that ensureLink() requested, by peer
    std::map<PeerBody, std::uint64_t> m_sentByKind;
};

} // namespace briarwharf
