#pragma once

#include "base/time.h"
#include <cstdint>
#include <unordered_map>

namespace briarwharf {

// The target number of requests at an upstream is targetLoad times the mean of the pool plus
// targetExtraRequests, below the load bound, since the number varies around the target.
struct SpillSettings {
    double targetLoad = 1.5;
    double targetExtraRequests = 2;
    // The exponent of the admitted share rises by proportionalGain times the relative excess over the target,
    // and by integralGain times the excess in each second. Stable with news that are about a second old.
    double proportionalGain = 0.7;
    double integralGain = 1.5;
    // Of integralGain, below the target. A hot context usually stays hot, so admission grows more slowly than
    // it shrinks.
    double recoveryShare = 0.5;
};

// Which share of the requests that prefer an upstream it gets when the numbers of requests are old news.
//
// Instances that compare the same old number with the same bound all stop sending at one moment, and all
// return at one moment, so that the load swings around the bound. Here each upstream has a proportional and
// integral controller on the number of its requests, as queue management in routers (PIE) has on a queue's
// delay. All instances hear about the same numbers and so admit about the same share, and a hash of request
// and upstream selects the requests. The share is exp(-pressure): a change of the pressure then has the same
// relative effect whatever the demand, and the loop is equally stable for a context of 10 or 100 times the
// usual rate.
//
//   control.observe(upstream, requests, meanOfPool, now);
//   if (!control.admits(upstream, requestHash)) ...    // prefer another upstream
class SpillControl {
public:
    explicit SpillControl(SpillSettings settings = {})
        : m_settings(settings)
    {
    }

    // Takes the upstream's number of requests. Call it before each decision.
    void observe(std::uint32_t upstream, int requests, double poolMean, MonotonicTime now);

    // By the latest observation; true for an upstream that was not observed.
    bool admits(std::uint32_t upstream, std::uint64_t requestHash) const;

    void remove(std::uint32_t upstream) { m_states.erase(upstream); }
    void clear() { m_states.clear(); }

private:
    struct State {
        MonotonicTime updatedAt;
        double integral = 0;
        double pressure = 0; // admitted share: exp(-pressure)
    };

    SpillSettings m_settings;
    std::unordered_map<std::uint32_t, State> m_states;
};

} // namespace briarwharf
