#pragma once

#include "coordination/fairlevel.h"
#include "coordination/member.h"
#include "coordination/poolcapacity.h"
#include "coordination/rateshare.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// An organisation that may send requests of one priority to a pool.
struct PoolClaimant {
    std::string organisation; // empty: requests without one
    int priority = 0; // 0 is the highest, as is a negative one
    double weight = 1; // one that is not positive counts as 1
};

struct SharedPool {
    std::string name;
    std::vector<PoolClaimant> claimants;
    Milliseconds targetLatency { 0 }; // the shortest of its routes; 0: none
};

struct PoolSharesOptions {
    Milliseconds demandWindow { 2000 }; // time constant of the demand of an organisation
    Milliseconds surgeWindow { 400 }; // of the demand for a pool, which many requests show at once
    Milliseconds holdingWindow { 10000 }; // of the time for which requests hold a slot
    // The same as that of UpstreamLimits, whose sums travel in the same fields.
    Milliseconds newsTtl { 2500 };
    // Share of the capacity that is handed out. The rest keeps the queues short at random arrivals.
    double usedShare = 0.95;
    // What an organisation gets at least, whatever its priority, as a share of what it would get in
    // proportion to its demand. Twice the quarter that must be served, because the demand of those who are
    // refused includes their repeats.
    double floorShare = 0.5;
    // Pools whose claimants would exceed this number in total are not shared: each claimant is a sum in the
    // heartbeats.
    std::size_t maxClaimants = 2048;
};

// A request that arrives, before its first attempt.
struct ShareRequest {
    std::string_view pool;
    std::string_view organisation;
    int priority = 0;
    Milliseconds timeLeft { 0 }; // until its deadline
};

struct ShareRefusal {
    bool lateOnly = false; // within the share, but it would not be answered before its deadline
    Milliseconds retryAfter { 0 };
    double ratio = 1; // of the organisation's requests that is admitted
    double demand = 0; // of the organisation, in requests per second from all instances
};

struct PoolShareStatus {
    std::string pool;
    double capacity = 0; // requests per second; 0: not known
    double demand = 0; // requests per second
    double holdingMs = 0;
    double occupancy = 0;
    bool scarce = false;
    std::uint64_t overShare = 0; // requests refused
    std::uint64_t late = 0; // requests refused
};

// Fair shares of pools of plain services whose upstreams cannot serve the whole demand.
//
// The demand of each organisation is summed over all instances (RateShare). While the sum exceeds what the
// pool can serve (PoolCapacity), every instance admits the same ratio of an organisation's requests, by
// priority and weight (divideCapacity). Requests that are sent again count as demand, so they lower the ratio
// of their own organisation and not that of others. The time for which requests hold a slot and the served
// requests are summed the same way, so that all instances use about the same capacity.
//
//   shares.setPools(pools, now);                    // each new configuration
//   shares.setState("desk", slots, inProgress);     // before each tick
//   shares.tick(now);                               // about every 100 ms
//   if (auto refusal = shares.refuse({ "desk", organisation, priority, timeLeft }, now)) ... answer 503
//   shares.answered("desk", duration, waited);      // each complete answer
class PoolShares : public HeartbeatSection {
public:
    explicit PoolShares(const Membership&, PoolSharesOptions options = {});

    // Returns the names of the pools that are left out because of `maxClaimants`.
    std::vector<std::string> setPools(const std::vector<SharedPool>&, MonotonicTime now);

    // Slots of the pool's usable upstreams, and the requests in progress there from all instances.
    void setState(std::string_view pool, double places, double inProgress);
    void tick(MonotonicTime now);

    // Counts the request as demand; empty: it may be sent. Call it once for each request.
    std::optional<ShareRefusal> refuse(const ShareRequest&, MonotonicTime now);

    // `mayHaveWaited`: the upstream had no free slot, as far as known, when the request was sent.
    void answered(std::string_view pool, std::chrono::nanoseconds duration, bool mayHaveWaited);

    // Whether the demand for the pool exceeds its capacity, or did so within the last second.
    bool isScarce(std::string_view pool) const;
    std::vector<std::string> pools() const;
    std::vector<PoolShareStatus> status() const;

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Claimant {
        std::uint32_t subject = 0;
        double weight = 1;
        double ratio = 1;
        double credit = 0; // requests
    };
    using ClaimantKey = std::pair<int, std::string>; // priority and organisation
    struct Pool {
        std::map<ClaimantKey, Claimant, std::less<>> claimants;
        std::uint32_t offered = 0; // subjects
        std::uint32_t served = 0;
        std::uint32_t sampled = 0;
        std::uint32_t held = 0;
        Milliseconds targetLatency { 0 };
        double places = 0;
        double inProgress = 0;
        PoolCapacity capacity;
        HoldingFilter holdingFilter;
        double demand = 0; // requests per second
        bool scarce = false;
        MonotonicTime scarceUntil;
        MonotonicTime scarceSince;
        MonotonicTime nextReturn; // for which no refused caller was told to come back yet
        std::uint64_t overShare = 0;
        std::uint64_t late = 0;
    };

    void addPool(const SharedPool&, Pool&) const;
    void setDemandLimits(MonotonicTime now);
    void update(const std::string& name, Pool&, MonotonicTime now);
    PoolObservation observe(const Pool&) const;
    double surge(const Pool&, double averaged) const;
    void setScarce(const std::string& name, Pool&, bool exceeded, MonotonicTime now);
    std::optional<ShareRefusal> refuseByShare(Pool&, Claimant&, MonotonicTime now);
    std::optional<ShareRefusal> refuseLate(Pool&, Milliseconds timeLeft, MonotonicTime now);
    Milliseconds bookReturn(Pool&, MonotonicTime now);
    double total(std::uint32_t subject) const;
    double countRatio() const;
    double coverage() const;

    const Membership& m_membership;
    PoolSharesOptions m_options;
    std::map<std::string, Pool, std::less<>> m_pools;
    std::uint64_t m_refusals = 0;
    RateShare m_shares;
};

} // namespace briarwharf
