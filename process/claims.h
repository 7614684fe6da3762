#pragma once

#include "coordination/coordination.h"
#include "process/peers.h"
#include <functional>
#include <memory>
#include <string>

namespace briarwharf {

// Carries the messages of claims between this instance's claimants, its collectors and those of the other
// instances. A shard's collector is the owner of the shard's key among the usable members.
class ClaimGateway {
public:
    ClaimGateway(Store&, PeerService&, const std::string& keyPrefix, const MonotonicClock&);

    ClaimClient& client() { return m_client; }

    // Handles claims and settlements from peers, and their answers.
    void receive(const std::string& peer, const PeerFrameT&);

    void tick();

    std::size_t collectors() const { return m_service.collectors(); }

private:
    const std::string& collectorOf(std::uint32_t shard) const;
    void sendClaim(const ClaimRequestT&);
    void sendSettle(const SettleRequestT&);
    bool isGone(const std::string& instance) const;

    PeerService& m_peers;
    MonotonicClock m_clock;
    MonotonicTime m_startedAt;
    ClaimService m_service;
    ClaimClient m_client;
};

} // namespace briarwharf
