#pragma once

#include "coordination/member.h"
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Work that is queued or running at an upstream.
struct UpstreamWorkload {
    int requests = 0;
    std::int64_t promptTokens = 0; // of requests without a first answer byte so far

    bool operator==(const UpstreamWorkload&) const = default;
};

struct InProgressOptions {
    Milliseconds linkTtl { 3000 }; // a peer's workloads are not counted after this time without a heartbeat
    // Of several changes the largest are sent first; the others wait for the following heartbeats.
    std::size_t maxEntriesPerHeartbeat = 192;
    // Minimum time between early heartbeats for changes on links of the aggregation tree. A change waits half
    // of this at each hop on average. A tree link carries at most maxEntriesPerHeartbeat entries of 8 bytes
    // in this time, whatever the number of upstreams.
    Milliseconds minTreeInterval { 400 };
    // A change of an upstream's requests by at least this number is not delayed by minTreeInterval, but only
    // by MembershipOptions::minImmediateInterval, so that a hot context is known before the tree's interval
    // ends. The number of entries in minTreeInterval has the same bound.
    int largeChange = 3;
};

// How much work all other instances have in progress at each upstream. In a full mesh, each instance sends
// its own workloads to every other instance. In a partial mesh, workloads are summed along the aggregation
// tree: each tree link carries the sum over the sender's side of the link, so that the traffic does not grow
// with the number of instances. Only changes are sent; a link delivers them in order.
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

    // Whether all instances exchange their workloads directly, without the hops of the aggregation tree.
    bool fullMesh() const;

    // Excludes links without a heartbeat for `linkTtl`. Call it before a round of decisions.
    void refresh(MonotonicTime now);

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    bool urgentAtOnce(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    using Workloads = std::unordered_map<std::uint32_t, UpstreamWorkload>;

    // What a link contributes to the sums of this instance.
    enum class Contribution {
        None, // no heartbeat for linkTtl, or a link of a partial mesh that is not part of the tree
        Own, // of a full mesh: counted here, but not passed on
        Tree, // counted here and passed on along the tree
    };

    struct Link {
        MonotonicTime lastReceived;
        Contribution contribution = Contribution::None;
        bool sends = false; // this instance sends its workloads to the peer
        Workloads received;
        Workloads sent; // what the peer has received, which it ignores while the link is not used
        std::uint64_t sentChangeCount = 0; // value of m_changeCount at the latest heartbeat to the peer
        bool changesLeft = false; // that heartbeat did not carry all changes
        MonotonicTime sentAt;
    };

    struct Change {
        std::uint32_t upstream = 0;
        UpstreamWorkload work;
        std::int64_t size = 0;
        std::uint64_t tieBreaker = 0;
    };

    bool hasLargeChange(const Link&) const;
    Contribution contributionOf(const std::string& peer, const Link&, MonotonicTime now) const;
    UpstreamWorkload workloadFor(const Link&, std::uint32_t upstream) const;
    std::vector<Change> changesFor(const Link&) const;
    void addChange(const Link&, std::uint32_t upstream, std::vector<Change>&) const;
    std::size_t maxChanges(const Link&, MonotonicTime now) const;
    void receive(Link&, std::uint32_t upstream, const UpstreamWorkload&);
    void updateSums();

    const Membership& m_membership;
    InProgressOptions m_options;
    Workloads m_own;
    Workloads m_others; // received on all links that contribute
    Workloads m_tree; // the part of it that is passed on along the tree
    std::map<std::string, Link, std::less<>> m_links;
    std::uint64_t m_changeCount = 0;
};

} // namespace briarwharf
