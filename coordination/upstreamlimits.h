#pragma once

#include "coordination/limitallowance.h"
#include "coordination/member.h"
#include "coordination/rateshare.h"
#include "coordination/recordspread.h"
#include <cstdint>
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

// An upstream that has just started and takes few requests until it is warm.
struct ColdUpstream {
    std::uint32_t upstream = 0; // as in UpstreamLimit
    double perSecond = 0; // requests that it takes from all instances together; 0: it is never cold
    MonotonicTime until; // by this instance's clock
};

struct UpstreamLimitsOptions {
    // Time over which the demand is averaged. Many instances send only few requests each in it.
    Milliseconds demandWindow { 4000 };
    // The same for the demand for all upstreams with limits, which many requests show at once.
    Milliseconds surgeWindow { 400 };
    // An instance counts on news of the demand of others for this long.
    Milliseconds newsTtl { 2500 };
    // A limit rises or ends when none as low was stated for this long, since the statements of an upstream
    // may contradict each other.
    Milliseconds raiseDelay { 2000 };
    // Smaller changes of a limit, as a share of it, are not passed on.
    double significantChange = 0.1;
    // For upstreams that are cold.
    LimitBound coldBound { .window = Milliseconds(1000) };
    // During this time after the start, an instance takes no part in cold limits until no new instance has
    // become known for `settleTime`: its place among the instances depends on all of them.
    Milliseconds startPeriod { 10000 };
    Milliseconds settleTime { 1500 };
    std::size_t maxRecordsPerHeartbeat = 64; // of 12 bytes; the others wait for the following heartbeats
};

// Keeps the requests of all instances to an upstream within the limit that the upstream states. The instances
// tell each other of limits and of the demand (RateShare), and each decides by its part (LimitAllowance).
//
// An upstream that is cold has a second limit, which the configuration states. Each instance keeps to a part
// of it that depends on no message. If there is a stated limit too, both hold.
//
//   limits.stated(upstream, perSecond, now);    // with each successful answer; nullopt: it stated none
//   limits.setCold({ upstream, perSecond, until }, now);
//   if (limits.admit(upstream, now)) ... the request may be sent
class UpstreamLimits : public HeartbeatSection {
public:
    explicit UpstreamLimits(const Membership&, UpstreamLimitsOptions options = {});

    // Negative numbers and NaN are ignored.
    void stated(std::uint32_t upstream, std::optional<double> perSecond, MonotonicTime now);

    // Replaces the time until which the upstream is cold.
    void setCold(const ColdUpstream&, MonotonicTime now);
    bool isCold(std::uint32_t upstream, MonotonicTime now) const;
    Milliseconds coldTimeLeft(std::uint32_t upstream, MonotonicTime now) const;
    std::size_t coldUpstreams(MonotonicTime now) const;
    // Whether the upstream takes a request from this instance now, or is not cold.
    bool isWithinColdLimit(std::uint32_t upstream, MonotonicTime now) const;
    // For `factor` and `extra` see LimitBound.
    void setColdBound(double factor, double extra);

    // Whether a request may be sent to the upstream now. Call it only for a request that would be sent: each
    // call counts as demand.
    bool admit(std::uint32_t upstream, MonotonicTime now);
    // Estimated time until the upstream takes another request from this instance.
    Milliseconds retryAfter(std::uint32_t upstream, MonotonicTime now) const;

    // Call it about every 100 ms.
    void tick(MonotonicTime now);

    // Forgets upstreams that are not listed.
    void setUpstreams(const std::vector<std::uint32_t>&, MonotonicTime now);

    // The limit in force, in requests per second; 0: none.
    double limit(std::uint32_t upstream) const;
    // The part of it that the instances use.
    double usableRate(std::uint32_t upstream) const;
    std::size_t limitedUpstreams() const { return m_allowances.size(); }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct KnownLimit {
        UpstreamLimit limit;
        MonotonicTime statedAt; // when this limit, or one as low, was last observed
    };

    struct ColdLimit {
        double perSecond = 0;
        MonotonicTime until;
        InstanceRank place; // of this instance
        LimitAllowance allowance;
    };

    ColdLimit* coldLimit(std::uint32_t upstream, MonotonicTime now);
    const ColdLimit* coldLimit(std::uint32_t upstream, MonotonicTime now) const;
    void tickCold(MonotonicTime now);
    void updateCold(ColdLimit&, MonotonicTime now) const;
    void watchInstances(MonotonicTime now);
    bool hasSettled(MonotonicTime now) const;
    InstanceRank placeFor(std::uint32_t upstream) const;
    bool isSignificant(double before, double after) const;
    void change(const UpstreamLimit&, MonotonicTime now);
    void updateLimits(MonotonicTime now);
    double surge() const;

    const Membership& m_membership;
    UpstreamLimitsOptions m_options;
    std::unordered_map<std::uint32_t, KnownLimit> m_limits; // of upstreams that have stated one
    std::unordered_map<std::uint32_t, LimitAllowance> m_allowances; // of upstreams with a limit in force
    std::unordered_map<std::uint32_t, ColdLimit> m_cold;
    std::uint64_t m_placedDigest = 0; // of the instances by which the places in m_cold were determined
    std::size_t m_knownInstances = 0;
    MonotonicTime m_firstTick;
    MonotonicTime m_lastGrowth; // when a further instance became known
    RecordSpread<UpstreamLimit> m_records;
    RateShare m_shares;
};

} // namespace briarwharf
