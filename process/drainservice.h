#pragma once

#include "process/configservice.h"
#include "process/drainer.h"
#include "process/peers.h"
#include "process/router.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// Carries out drains on whichever instance holds the drain lease: gathers what the drainer needs to know of
// engines and of the other instances, and performs its actions. The owner of the lease's key among the
// usable members asks for the lease, and only while there is something to do.
class DrainService : private DrainLease {
public:
    DrainService(
        Store&, const std::string& keyPrefix, const MonotonicClock&, ConfigService&, PeerService&, Router&);

    void receive(const std::string& peer, const PeerFrameT&);

    // Renews the lease; call it every 20 to 100 ms.
    void tick();
    // One step of the drains; call it every few hundred milliseconds.
    void step();

    // Where the drain of each upstream is, at the holder of the lease.
    const std::map<std::string, DrainPhase>& phases() const { return m_drainer.phases(); }

private:
    struct InstanceAnswer {
        MonotonicTime at;
        std::uint64_t revision = 0;
        std::uint64_t requests = 0;
        std::vector<DrainChat> residents;
    };

    bool holdsLease() const override { return m_lease.held(); }
    std::uint64_t fence() const override { return m_lease.fence(); }

    bool hasWork(const Config&) const;
    bool engineDiffersFromConfig(const Upstream&) const;
    std::vector<std::string> involvedUpstreams(const Config&) const;
    void queryInstances(const std::vector<std::string>& upstreams);
    DrainFacts factsOf(const Upstream&) const;
    InstanceAnswer localAnswer(const std::string& upstream, bool withResidents) const;
    void answerQuery(const std::string& peer, const DrainQueryT&);

    void perform(const DrainAction&);
    void perform(std::uint64_t id, const std::string& upstream, const AppendCommand&);
    void perform(std::uint64_t id, const std::string& upstream, const SendOrder&);
    void perform(std::uint64_t id, const std::string& upstream, const MoveChat&);
    void importChat(std::uint64_t id, const MoveChat&, const std::string& exported);
    void finish(std::uint64_t id, ActionResult);

    MonotonicClock m_clock;
    ConfigService& m_config;
    PeerService& m_peers;
    Router& m_router;
    Lease m_lease;
    Drainer m_drainer;
    std::map<std::string, std::map<std::string, InstanceAnswer>> m_answers; // by upstream and instance
    MonotonicTime m_nextQuery;
    std::uint64_t m_lastNonce = 0;
};

} // namespace briarwharf
