#pragma once

#include "connection/connection.h"
#include "connection/eventloop.h"
#include "coordination/coordination.h"
#include "process/configservice.h"
#include "process/peermesh.h"
#include "process/settings.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace briarwharf {

// This instance's place among the others: membership, its links, the relay of the configuration, and the
// load, usage and health that heartbeats carry. Decisions are in the coordination library; this class moves
// their messages over the links.
class PeerService {
public:
    // Frames that are neither membership's nor the relay's, with the sender's id.
    using FrameCallback = std::function<void(const std::string& peer, const PeerFrameT&)>;

    PeerService(event_base*, const Settings&, HttpStore&, ConfigService&, FrameCallback);

    // Errors: Unavailable (the peer port is taken).
    Status start();
    void tick();

    // Tells the others that this instance leaves.
    void leave() { m_mesh.leave(); }

    // Puts the upstreams and limits of a revision in force.
    void apply(const ConfigIndex&);

    // Called after the log has moved on by itself, to tell the others.
    void configurationAdvanced(const std::string& from = {});

    // False if there is no link to the peer yet; one is then opened and kept while it is used, and the sender
    // repeats its message.
    template <typename Message> bool send(const std::string& peer, Message message)
    {
        if (!m_mesh.ensureLink(peer))
            return false;
        m_mesh.outbox().send(peer, std::move(message));
        m_mesh.flush();
        return true;
    }

    // The rule of the design on new work to an upstream that the configuration shows as serving.
    bool mayGiveNewWork(
        bool reportsState, std::optional<Milliseconds> ownReportAge, bool ownReportServing) const;

    const Membership& membership() const { return m_mesh.membership(); }
    const ConfigurationRelay& relay() const { return m_relay; }
    LoadTable& loads() { return m_loads; }
    const LoadTable& loads() const { return m_loads; }
    RateShare& shares() { return m_shares; }
    UpstreamHealth& health() { return m_health; }

    std::size_t linkCount() const { return m_mesh.linkCount(); }
    const PeerLinkCounters& counters() const { return m_mesh.counters(); }
    // Bytes of the frames sent so far, by kind of message.
    const std::map<PeerBody, std::uint64_t>& sentByKind() const { return m_mesh.sentByKind(); }

private:
    void frameReceived(const std::string& peer, const PeerFrameT&);
    void answerSnapshotRequests();
    void refreshInstanceList();

    HttpStore& m_store;
    ConfigService& m_config;
    FrameCallback m_onFrame;
    PeerMesh m_mesh;
    ConfigurationRelay m_relay;
    LoadTable m_loads;
    RateShare m_shares;
    UpstreamHealth m_health;
    MonotonicTime m_nextListAt;
    bool m_listing = false;
    std::optional<bool> m_watches; // the store, for the configuration log
};

} // namespace briarwharf
