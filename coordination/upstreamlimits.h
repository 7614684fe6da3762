#pragma once

#include "coordination/member.h"
#include "coordination/recordspread.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// The requests per second that an upstream takes from all instances together.
struct UpstreamLimit {
    std::uint32_t upstream = 0; // hash of the upstream's id and start time
    // Increases with each change that an instance observes. Of two that observe one at the same time, the
    // lower limit counts.
    std::uint32_t version = 0;
    double perSecond = 0; // 0: no limit
};

struct UpstreamLimitsOptions {
    // A limit of n requests per second is shared by at most sharersPerRequest * n + minSharers instances.
    // Each of them may have one request in hand, so that this is also what all may send at once after a
    // pause.
    double sharersPerRequest = 2;
    std::size_t minSharers = 3;
    // In small fleets, what all may send at once: as many requests as make burstSeconds of the limit, and
    // burstRequests more.
    double burstSeconds = 1.5;
    double burstRequests = 2;
    // Smaller changes of a limit, as a share of it, are not passed on.
    double significantChange = 0.1;
    std::size_t maxRecordsPerHeartbeat = 64; // of 12 bytes; the others wait for the following heartbeats
};

// Keeps the requests of all instances to an upstream within the limit that the upstream states. The instances
// tell each other of limits. In a large fleet, a limit is shared by the instances that come first in the
// upstream's rendezvous order, and the others send their requests to other upstreams. Each sharer keeps to
// its equal part, so that none needs to know what the others send, and requests saved up by many instances
// cannot come at once.
//
//   limits.stated(upstream, perSecond);    // with each successful answer; nullopt: it stated none
//   if (limits.wait(upstream, now) == Milliseconds(0)) ... a request may be sent
//   limits.sent(upstream, now);
class UpstreamLimits : public HeartbeatSection {
public:
    explicit UpstreamLimits(const Membership&, UpstreamLimitsOptions options = {});

    void stated(std::uint32_t upstream, std::optional<double> perSecond);

    // Time until this instance may send a request to the upstream; 0: now; nullopt: other instances share the
    // upstream's limit.
    std::optional<Milliseconds> wait(std::uint32_t upstream, MonotonicTime now);
    void sent(std::uint32_t upstream, MonotonicTime now);

    // Forgets upstreams that are not listed.
    void setUpstreams(const std::vector<std::uint32_t>&);

    // The limit in force, in requests per second; 0: none.
    double limit(std::uint32_t upstream) const;
    std::size_t limitedUpstreams() const;

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    // This instance's part of an upstream's limit.
    struct Share {
        std::uint64_t epoch = 0; // of the membership for which it was determined
        std::size_t sharers = 0; // instances that share the limit; 0: not determined
        bool included = false; // this instance is one of them
        double tokens = 0; // requests that it may send now
        MonotonicTime updatedAt;
    };
    struct Upstream {
        UpstreamLimit limit;
        Share share;
    };

    bool isSignificant(double before, double after) const;
    void change(Upstream&, const UpstreamLimit&);
    void updateShare(Upstream&, MonotonicTime now);
    std::size_t sharersOf(double perSecond) const;
    bool isAmongFirst(std::uint32_t upstream, std::size_t count) const;
    Upstream* findLimited(std::uint32_t upstream);

    const Membership& m_membership;
    UpstreamLimitsOptions m_options;
    std::unordered_map<std::uint32_t, Upstream> m_upstreams; // those that have stated a limit
    RecordSpread<UpstreamLimit> m_records;
};

} // namespace briarwharf
