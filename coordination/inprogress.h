#pragma once

#include "coordination/member.h"
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace briarwharf {

// Work that waits or runs at an upstream.
struct UpstreamWorkload {
    int requests = 0;
    std::int64_t promptTokens = 0; // of requests whose answer has not begun

    bool operator==(const UpstreamWorkload&) const = default;
};

struct InProgressOptions {
    Milliseconds linkTtl { 3000 }; // what a link said is not counted after this time without a heartbeat
    std::size_t entriesPerHeartbeat = 512; // further changes wait for the next one
    // Between heartbeats with changes along the aggregation tree: at each hop a sum waits half of this.
    Milliseconds treeInterval { 400 };
};

// How much work all other instances have at each upstream. In a full mesh each instance tells every other its
// own part. In a partial mesh the parts are added up along the aggregation tree: on each tree link goes the
// sum over the sender's side of it, so that bytes follow the number of upstreams and not that of instances.
// Only changes are sent; a link carries them in order.
class InProgressTable : public HeartbeatSection {
public:
    InProgressTable(const Membership&, InProgressOptions);

    void started(std::uint32_t upstream, std::int64_t promptTokens);
    void answerStarted(std::uint32_t upstream, std::int64_t promptTokens); // the first byte came
    void ended(std::uint32_t upstream);

    // This instance's part.
    UpstreamWorkload own(std::uint32_t upstream) const;
    // All other instances together, as far as they are heard.
    UpstreamWorkload others(std::uint32_t upstream) const;

    // Leaves out links that fell silent. Call it before a round of decisions.
    void refresh(MonotonicTime now);

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    using Workloads = std::unordered_map<std::uint32_t, UpstreamWorkload>;

    struct Link {
        MonotonicTime heard;
        bool counted = false;
        Workloads received;
        Workloads sent;
        std::uint64_t sentChanges = 0; // changes of this side known to the peer
        MonotonicTime sentAt;
    };

    bool fullMesh() const;
    Workloads sideOf(const std::string& peer) const;
    void addUp();

    const Membership& m_membership;
    InProgressOptions m_options;
    Workloads m_own;
    Workloads m_others;
    std::map<std::string, Link, std::less<>> m_links;
    std::uint64_t m_changes = 0;
};

} // namespace briarwharf
