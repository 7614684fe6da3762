#pragma once

#include "connection/connection.h"
#include "coordination/coordination.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace briarwharf {

// The links of this instance to the others. Membership decides which to hold; this class dials them, replaces
// silent ones and moves the frames of whatever runs over them.
//
//   PeerMesh mesh(base, identity, [](const std::string& peer, const PeerFrameT& frame) { ... });
//   mesh.membership().addSection(table);
//   mesh.listen();
//   mesh.tick();                   // about every 100 ms
//   mesh.outbox().send(peer, message);
//   mesh.flush();
class PeerMesh {
public:
    // Frames that are not membership's, with the sender's id.
    using FrameCallback = std::function<void(const std::string& peer, const PeerFrameT&)>;

    PeerMesh(event_base*, InstanceIdentity, FrameCallback);
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    // Errors: Unavailable (the peer port is taken).
    Status listen();

    // Takes the platform's list of instances and dials those that are missing.
    void seed(const std::vector<ListedInstance>&);

    void tick();

    // Tells the others that this instance leaves.
    void leave();

    // Sends what the outbox holds.
    void flush();

    // Opens a link beside the mesh and keeps it while this is called from time to time. False while it is
    // not up.
    bool ensureLink(const std::string& peer);

    Membership& membership() { return m_membership; }
    const Membership& membership() const { return m_membership; }
    Outbox& outbox() { return m_outbox; }

    std::size_t linkCount() const { return m_links.size(); }
    const PeerLinkCounters& counters() const { return m_transport.counters(); }
    // Bytes of the frames sent so far, by kind of message.
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
    void dial(const std::string& peer, MonotonicTime now);

    FrameCallback m_onFrame;
    Outbox m_outbox;
    Membership m_membership;
    PeerLinks m_transport;
    std::map<std::string, LinkId> m_links; // by peer
    std::map<LinkId, std::string> m_peers;
    std::map<LinkId, bool> m_outgoing;
    std::map<std::string, Dial> m_dials;
    std::map<std::string, MonotonicTime> m_onDemandLastUsed; // links beside the mesh
    std::map<PeerBody, std::uint64_t> m_sentByKind;
};

} // namespace briarwharf
