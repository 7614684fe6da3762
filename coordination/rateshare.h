#pragma once

#include "coordination/budget.h"
#include "coordination/member.h"
#include <optional>
#include <unordered_map>

namespace briarwharf {

// A limit over all instances.
struct RateLimit {
    // Hash that identifies what is limited: the organisation that sends requests, or the upstream that gets
    // them.
    std::uint32_t subject = 0;
    double tokensPerSecond = 0;
    double weight = 1; // positive; the subject's weight in dividing the capacity when it is scarce
    std::optional<Milliseconds> demandWindow; // instead of RateShareOptions::demandWindow
};

struct RateShareOptions {
    double capacity = 0; // tokens per second over all subjects; 0: only the subjects' limits apply
    double requestTokens = 1000; // usual size of a request, until requests show it
    Milliseconds demandWindow { 2000 }; // time constant of the demand estimate
    // Share of the entitlement that is used at first, while the demand has hardly been observed. It grows to
    // 1 within twice the demand window.
    double startShare = 1;
    Milliseconds fastWindow { 400 }; // time constant of the estimate that detects surges
    Milliseconds burst { 1000 }; // bucket size of an instance, as time at its entitlement's rate
    Milliseconds downLinkTtl { 3000 }; // sums received on a link count this long after it went down
    // Instances beyond a tree link on which nothing was received for this long do not count as covered.
    Milliseconds coveredTtl { 60000 };
    Milliseconds refreshInterval { 10000 }; // unchanged sums are sent again
    double significantChange = 0.05; // relative change of a sum from which it is sent
    double urgentChange = 0.5; // relative change from which an early heartbeat is sent
    double bytesPerSecond = 4000; // for sums, over all links
};

// Weighted, work-conserving rate limiting per subject without a central counter.
//
// The demand per subject is summed over the aggregation tree: each instance sends on each tree link the
// sum of its own demand and of the sums received on its other tree links. The tree has no cycles, so every
// demand is counted once. The subject's entitlement is its limit, or less when the fleet's capacity is
// scarce (weighted max-min fairness). While the total demand exceeds the entitlement, every instance admits
// the same ratio of its own demand, entitlement / total. The ratio comes from the demand over all instances,
// so an instance with few requests needs no estimate of its own rate. A token bucket with the entitlement's
// rate limits each instance, which bounds surges that the other instances have not been notified of.
//
// The links also carry the number of instances that a sum covers. While some of the expected instances are
// not covered, the covered ones use only their proportion of the limit; an instance that receives from no
// peer uses limit / instances.
class RateShare : public HeartbeatSection {
public:
    RateShare(const Membership&, RateShareOptions);

    // Sets the limits in force. The state of subjects that were already known is kept.
    void setLimits(const std::vector<RateLimit>&, MonotonicTime now);

    // Counts the demand and, if there is credit, admits the request and deducts `tokens`. A large request may
    // make the credit negative; later requests are then refused until it is positive again. False for unknown
    // subjects.
    bool admit(std::uint32_t subject, double tokens, MonotonicTime now);

    // Counts the demand only, for an owner that decides by itself. Ignores unknown subjects.
    void recordDemand(std::uint32_t subject, double tokens);

    // Estimated time until there is credit again, for the Retry-After header; at most 60 s.
    Milliseconds retryAfter(std::uint32_t subject, MonotonicTime now) const;

    // Updates the admitted ratios; call it about every 100 ms.
    void tick(MonotonicTime now);

    // Ratio of the subject's demand that is admitted at present, up to 1; 0 for unknown subjects.
    double admittedRatio(std::uint32_t subject) const;
    // Demand over all covered instances, in tokens per second.
    double totalDemand(std::uint32_t subject) const;
    // The part of it that this instance has observed itself.
    double ownDemand(std::uint32_t subject) const;
    std::size_t covered() const { return m_covered; }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Share {
        std::uint32_t subject = 0;
        double limit = 0;
        double weight = 1;
        Milliseconds demandWindow {};
        double arrivedTokens = 0; // tokens since the last tick
        double observedSeconds = 0; // since the limit is known
        double demand = 0; // tokens per second, smoothed
        double fastDemand = 0; // the same with the time constant fastWindow
        double requestTokens = 0; // mean size of a request
        double total = 0; // own demand and the sums of all tree links, in tokens per second
        double admittedRatio = 1;
        double credit = 0; // tokens earned by arrivals while the admitted ratio is below 1
        double bucketRate = 0; // tokens per second
        double bucket = 0; // tokens
    };
    struct Sent {
        std::uint32_t value = 0;
        MonotonicTime at;
        bool everSent = false;
    };
    struct LinkState {
        std::vector<double> received; // by index of the subject
        std::vector<Sent> sent;
        std::size_t covered = 0;
        bool isTreeLink = false; // at the latest received heartbeat
        bool peerWasParent = false; // at the latest received heartbeat
        bool sendsSums = false; // the link was part of the tree when the latest heartbeat was filled in
        ByteBudget budget;
        std::optional<MonotonicTime> downSince;
        MonotonicTime receivedAt; // arrival of the latest heartbeat
    };

    void updateDemand(double seconds);
    void adjustForSurge(Share&) const;
    void updateTotals(MonotonicTime now);
    void updateAdmittedRatios(double seconds);
    double entitlementLevel() const;
    double entitlement(const Share&, double level) const;
    double startRatio(const Share&) const;
    std::uint32_t outgoingSum(std::size_t index, const LinkState&) const;
    void fillSums(LinkState&, std::size_t bytes, HeartbeatT&, MonotonicTime now) const;
    double priority(const Sent&, std::uint32_t value, MonotonicTime now) const;
    bool isOutdated(const std::string& peer, const LinkState&) const;
    std::size_t coveredBeyond(const LinkState&, MonotonicTime now) const;
    LinkState freshState() const;

    const Membership& m_membership;
    RateShareOptions m_options;
    std::unordered_map<std::uint32_t, std::size_t> m_indexes;
    std::vector<Share> m_shares;
    std::map<std::string, LinkState, std::less<>> m_links;
    std::optional<MonotonicTime> m_lastTick;
    std::size_t m_covered = 1;
};

} // namespace briarwharf
