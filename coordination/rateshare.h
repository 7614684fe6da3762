#pragma once

#include "coordination/budget.h"
#include "coordination/member.h"
#include <unordered_map>

namespace briarwharf {

struct OrganisationLimit {
    std::uint32_t organisation = 0; // nameHash of its name
    double tokensPerSecond = 0; // limit over all instances
    double weight = 1; // positive; share of the capacity when it is scarce
};

struct RateShareOptions {
    double capacity = 0; // tokens per second over all organisations; 0: only the organisations' limits count
    Milliseconds demandWindow { 2000 }; // time constant of the demand estimate
    Milliseconds fastWindow { 400 }; // time constant of the estimate that notices surges
    Milliseconds burst { 1000 }; // of the entitlement that one instance may use at once
    Milliseconds keepLostLink { 3000 }; // sums of a lost link count this long
    Milliseconds refreshAfter { 10000 }; // unchanged sums are repeated
    double significantChange = 0.05; // relative change of a sum that is worth sending
    double urgentChange = 0.5; // relative change that does not wait for the next heartbeat
    double bytesPerSecond = 4000; // of sums, over all links
};

// Weighted, work-conserving shares of organisations without a central counter.
//
// Each instance sums the demand per organisation over the aggregation tree: it sends on each tree link the
// sum of its own demand and of what the other tree links sent. The tree has no cycles, so every demand counts
// once. The organisation's entitlement is its limit, or less when the fleet's capacity is scarce (weighted
// max-min). While the total demand exceeds the entitlement, every instance admits the same fraction of its
// own demand, entitlement / total. The fraction is measured over all instances, so an instance with few
// requests needs no estimate of its own rate. As a bound for surges that the others have not heard of, a
// token bucket with the entitlement's rate limits each instance.
//
// The links also carry how many instances a sum covers. While some of the expected instances are not covered,
// the covered ones use only their part of the limit; an instance that hears nobody uses limit / instances.
class RateShare : public HeartbeatSection {
public:
    RateShare(const Membership&, RateShareOptions);

    // Organisations of the configuration in force. Buckets of known organisations are kept.
    void setLimits(const std::vector<OrganisationLimit>&, MonotonicTime now);

    // Counts the demand and takes `tokens` if there is credit. A large request may take the credit below
    // zero, and later ones wait for it. Unknown organisations: false.
    bool admit(std::uint32_t organisation, double tokens, MonotonicTime now);

    // Estimated time until there is credit again, for Retry-After; at most 60 s.
    Milliseconds retryAfter(std::uint32_t organisation, MonotonicTime now) const;

    // Adapts the fractions; call it about every 100 ms.
    void tick(MonotonicTime now);

    // Fraction of its demand that the organisation gets at present, up to 1; 0 for unknown organisations.
    double fraction(std::uint32_t organisation) const;
    // Demand over all instances that are covered, tokens per second.
    double totalDemand(std::uint32_t organisation) const;
    std::size_t covered() const { return m_covered; }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Share {
        std::uint32_t organisation = 0;
        double limit = 0;
        double weight = 1;
        double arrived = 0; // tokens since the last tick
        double demand = 0; // tokens per second, smoothed
        double fastDemand = 0; // the same over a short window
        double requestTokens = 1; // mean size of a request
        double total = 0; // with the sums of all tree links
        double fraction = 1;
        double credit = 0; // tokens earned by arrivals while the fraction is below 1
        double bucketRate = 0; // tokens per second
        double bucket = 0; // tokens
    };
    struct Sent {
        std::uint32_t value = 0;
        MonotonicTime at;
        bool any = false;
    };
    struct LinkState {
        std::vector<double> received; // by index of the organisation
        std::vector<Sent> sent;
        std::size_t covered = 0;
        bool tree = false;
        bool parent = false; // the peer was this instance's parent
        bool sending = false; // part of the tree when the latest heartbeat was filled in
        ByteBudget budget;
        std::optional<MonotonicTime> lostAt;
    };

    void updateDemand(double seconds);
    void followSurge(Share&) const;
    void updateTotals(MonotonicTime now);
    void updateFractions(double seconds);
    double entitlementLevel() const;
    double entitlement(const Share&, double level) const;
    std::uint32_t outgoing(std::size_t index, const LinkState&) const;
    void fillSums(LinkState&, std::size_t bytes, HeartbeatT&, MonotonicTime now) const;
    double priority(const Sent&, std::uint32_t value, MonotonicTime now) const;
    bool outdated(const std::string& peer, const LinkState&) const;
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
