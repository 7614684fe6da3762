#pragma once

#include "coordination/coordination.h"
#include "process/peers.h"
#include <functional>
#include <memory>
#include <string>

namespace briarwharf {

// Routes the messages of claims between the claimants of this instance and the collectors, which run at this
// or other instances. The collector of a shard is the owner of the shard's key among the usable members.
class ClaimGateway {
public:
    ClaimGateway(Store&, PeerService&, const std::string& keyPrefix, const MonotonicClock&);

    ClaimClient& client() { return m_client; }

    // Handles claim and settlement requests from peers, and peers' answers to requests of this instance.
    void receive(const std::string& peer, const PeerFrameT&);

    void tick();

    std::size_t collectors() const { return m_service.collectors(); }

private:
    const std::string& collectorOf(std::uint32_t shard) const;
    void sendClaim(const ClaimRequestT&);
    void sendSettle(const SettleRequestT&);
    // `instance` is ID@INCARNATION. True if that incarnation is dead or was replaced, or if no member with
    // the ID is known after membershipSettleTime.
    bool isDead(const std::string& instance) const;

    Store& m_store;
    StoreEra m_era = 0; // last passed on to the client
    PeerService& m_peers;
    MonotonicClock m_clock;
    MonotonicTime m_startedAt;
    ClaimService m_service;
    ClaimClient m_client;
};

} // namespace briarwharf
