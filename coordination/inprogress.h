#pragma once

#include "coordination/member.h"
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace briarwharf {

// Work that is queued or running at an upstream.
struct UpstreamWorkload {
    int requests = 0;
    std::int64_t promptTokens = 0; // of requests without a first answer byte so far

    bool operator==(const UpstreamWorkload&) const = default;
};

struct InProgressOptions {
    Milliseconds linkTtl { 3000 }; // a peer's workloads are not counted after this time without a heartbeat
    std::size_t maxEntriesPerHeartbeat = 512; // further changes are sent with the next heartbeat
    // Minimum time between early heartbeats for changes on links of the aggregation tree. A change waits half
    // of this at each hop on average.
    Milliseconds minTreeInterval { 400 };
};

// How much work all other instances have in progress at each upstream. In a full mesh, each instance sends
// its own workloads to every other instance. In a partial mesh, workloads are summed along the aggregation
// tree: each tree link carries the sum over the sender's side of the link, so that the traffic depends on the
// number of upstreams and not on that of instances. Only changes are sent; a link delivers them in order.
class InProgressTable : public HeartbeatSection {
public:
    InProgressTable(const Membership&, InProgressOptions);

    void started(std::uint32_t upstream, std::int64_t promptTokens);
    // The first byte of the answer has arrived.
    void answerStarted(std::uint32_t upstream, std::int64_t promptTokens);
    void ended(std::uint32_t upstream);

    // The workload of this instance.
    UpstreamWorkload own(std::uint32_t upstream) const;
    // The workload of all other instances whose heartbeats arrive, directly or through the tree.
    UpstreamWorkload others(std::uint32_t upstream) const;

    // Excludes links without a heartbeat for `linkTtl`. Call it before a round of decisions.
    void refresh(MonotonicTime now);

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    using Workloads = std::unordered_map<std::uint32_t, UpstreamWorkload>;

    struct Link {
        MonotonicTime lastReceived;
        bool counted = false;
        Workloads received;
        Workloads sent;
        std::uint64_t sentChangeCount = 0; // value of m_changeCount at the latest heartbeat to the peer
        MonotonicTime sentAt;
    };

    bool fullMesh() const;
    Workloads sumForPeer(const std::string& peer) const;
    void updateOthers();

    const Membership& m_membership;
    InProgressOptions m_options;
    Workloads m_own;
    Workloads m_others;
    std::map<std::string, Link, std::less<>> m_links;
    std::uint64_t m_changeCount = 0;
};

} // namespace briarwharf
