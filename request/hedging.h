#pragma once

#include "request/costplacement.h"
#include "request/firstbytetimes.h"
#include "request/fleetbudget.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace briarwharf {

struct HedgeSettings {
    double ratio = 0; // hedges per request to a pool, over the window and all instances; 0: no hedges
    double quantile = 0.95; // of the route's times to the first byte at the pool, after which one is sent
    Milliseconds window { 10000 };
    std::uint64_t seed = 0; // differs between instances
};

// The state of a request whose only attempt has not been answered.
struct HedgeSituation {
    bool repeatable = false; // may run more than once; of streams: another upstream may continue it
    bool written = false; // the attempt was handed to the network: otherwise it can be moved at no cost
    bool answerStarted = false; // a part of an answer has arrived
    bool hedgedBefore = false;
    int attempts = 0; // written to the network so far, the one in progress included
    int maxAttempts = 1;
    bool retryBudgetLeft = false; // a hedge is a repeat in the fleet's budget as well
    Milliseconds waited { 0 };
    Milliseconds timeLeft { 0 };
    bool poolIsScarce = false; // the demand exceeds what the pool can serve, so that requests are refused
};

// What the choice of a hedge's upstream needs to know in addition to the candidate.
struct HedgeTarget {
    std::string_view failureDomain;
    bool tried = false; // by an attempt of the request
};

// Decides whether and when a request that waits for its first byte gets a second, concurrent attempt (a
// hedge). docs/design/hedging.md gives the reasons.
//
//   hedging.requestStarted(pool, now);                    // each request, hedged or not
//   hedging.observe(route, pool, waited, now);            // the first attempt's time to the first byte
//   if (auto delay = hedging.delay(route, pool, now)) ... wait until the attempt is that old
//   if (hedging.allows(situation, route, pool, now) && keepHedgeTargets(candidates, targets, domain))
//       ... place the request among the candidates that are still available, then
//       hedging.hedgeSent(pool, now);
class Hedging {
public:
    explicit Hedging(const HedgeSettings&);

    void setSettings(const HedgeSettings&);
    void setInstances(std::size_t instances, MonotonicTime now) { m_budget.setInstances(instances, now); }
    bool isEnabled() const { return m_settings.ratio > 0; }

    void requestStarted(std::string_view pool, MonotonicTime now);
    void observe(
        std::string_view route, std::string_view pool, std::chrono::nanoseconds waited, MonotonicTime now);
    void hedgeSent(std::string_view pool, MonotonicTime now);

    // The age at which an attempt without a first byte is hedged. Empty: not enough is known of the route.
    std::optional<Milliseconds> delay(std::string_view route, std::string_view pool, MonotonicTime now);
    bool allows(const HedgeSituation&, std::string_view route, std::string_view pool, MonotonicTime now);

private:
    HedgeSettings m_settings;
    FleetRetryBudget m_budget; // hedges in the place of repeats
    RouteFirstByteTimes m_times;
};

// Marks the candidates that must not get a hedge as not available: those that were tried, are cold, limited,
// slow or to be avoided, or have no free capacity; and those in the first attempt's failure domain if one in
// another is left. The candidates and targets are those of the whole pool, in the same order. Returns whether
// any candidate is left; none is while the pool is short of slots.
bool keepHedgeTargets(
    std::vector<UpstreamCandidate>&, std::span<const HedgeTarget>, std::string_view firstDomain);

// Whether the upstream that placement chose is worth a hedge: it answers in the time left and does not have
// to read a long prompt, which would delay the requests of others.
bool isWorthHedging(const CostDecision&, Milliseconds timeLeft);

} // namespace briarwharf
