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

// Everything that this instance exchanges with other instances: membership, links, the relay of the
// configuration, and the load, usage and health in heartbeats. The coordination library makes the decisions;
// this class sends and receives its messages over the links.
class PeerService {
public:
    // Called with each frame received except the relay's, and the sender's id.
    using FrameCallback = std::function<void(const std::string& peer, const PeerFrameT&)>;

    PeerService(event_base*, const Settings&, HttpStore&, ConfigService&, FrameCallback);

    // Errors: Unavailable (the peer port is already in use).
    Status start();
    void tick();

    // Notifies the other instances that this instance leaves the fleet.
    void leave() { m_mesh.leave(); }

    // Applies the upstreams and rate limits of a configuration revision.
    void apply(const ConfigIndex&);

    // Passes records that are new in this instance's log to the relay, which sends them to the other
    // instances. `from`: the peer that sent the records; empty: the store.
    void configurationAdvanced(const std::string& from = {});

    // False if there is no link to the peer yet. One is then opened, and kept while it is used; the caller
    // must send its message again.
    template <typename Message> bool send(const std::string& peer, Message message)
    {
        if (!m_mesh.ensureLink(peer))
            return false;
        m_mesh.outbox().send(peer, std::move(message));
        m_mesh.flush();
        return true;
    }

    // Whether an upstream that the configuration in force shows as serving may get new work, by the rule of
    // the design for configurations that may be out of date.
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
    // Bytes of frames sent so far, by type of message.
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
    std::optional<bool> m_watches; // whether this instance watches the store's log; nullopt: not set yet
};

} // namespace briarwharf
