#include "request/spillcontrol.h"

#include "base/hash.h"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarwharf {

namespace {

    // A longer gap between two observations counts as this much, since the load in between is unknown.
    constexpr double maxStepSeconds = 1;
    // Admits 2 in 100 requests, so that the load still shows when the demand falls.
    constexpr double maxIntegral = 4;
    // An older state says nothing on the present load.
    constexpr Milliseconds maxAge { 5000 };
    // Separates the selection of requests from the jitter of the cost, which has the same two hashes.
    constexpr std::uint64_t selectionSalt = 0x5b1117;

} // namespace

void SpillControl::observe(std::uint32_t upstream, int requests, double poolMean, MonotonicTime now)
{
    State& state = m_states[upstream];
    if (now - state.updatedAt > maxAge)
        state = { now, 0, 0 };
    double elapsed
        = std::clamp(std::chrono::duration<double>(now - state.updatedAt).count(), 0.0, maxStepSeconds);
    state.updatedAt = now;
    double target = m_settings.targetLoad * poolMean + m_settings.targetExtraRequests;
    double excess = requests / target - 1;
    double gain = m_settings.integralGain * (excess < 0 ? m_settings.recoveryShare : 1);
    state.integral = std::clamp(state.integral + gain * elapsed * excess, 0.0, maxIntegral);
    state.pressure = state.integral + m_settings.proportionalGain * excess;
}

bool SpillControl::admits(std::uint32_t upstream, std::uint64_t requestHash) const
{
    auto found = m_states.find(upstream);
    if (found == m_states.end() || found->second.pressure <= 0)
        return true;
    double position = unitInterval(combineHashes(requestHash ^ selectionSalt, upstream));
    return position <= std::exp(-found->second.pressure);
}

} // namespace briarwharf
