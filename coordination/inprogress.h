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
    Milliseconds peerTtl { 3000 }; // what a peer said is dropped after this time without a heartbeat
};

// Which upstreams the other instances are using. Each instance tells its links what it has in progress; the
// sum over the peers is what this instance cannot see by itself. In a partial mesh only neighbours are heard,
// and the sum is scaled to the fleet.
class InProgressTable : public HeartbeatSection {
public:
    InProgressTable(const Membership&, InProgressOptions);

    void started(std::uint32_t upstream, std::int64_t promptTokens);
    void answering(std::uint32_t upstream, std::int64_t promptTokens); // the first byte came
    void ended(std::uint32_t upstream);

    // This instance's part.
    UpstreamWorkload own(std::uint32_t upstream) const;
    // All other instances together.
    UpstreamWorkload others(std::uint32_t upstream) const;

    // Drops what silent peers said and adds up the rest. Call it before a round of decisions.
    void refresh(MonotonicTime now);

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Peer {
        MonotonicTime heard;
        std::unordered_map<std::uint32_t, UpstreamWorkload> work;
    };

    const Membership& m_membership;
    InProgressOptions m_options;
    std::unordered_map<std::uint32_t, UpstreamWorkload> m_own;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::unordered_map<std::uint32_t, UpstreamWorkload> m_others;
    std::map<std::string, std::uint64_t, std::less<>> m_sent; // changes known to each peer
    std::uint64_t m_changes = 0;
    double m_scale = 1;
    bool m_stale = true;
};

} // namespace briarwharf
