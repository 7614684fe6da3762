#pragma once

#include "base/time.h"
#include <algorithm>
#include <cstddef>
#include <optional>

namespace briarwharf {

// Token bucket that limits the bytes which one section sends on one link. Credit is earned by time and not
// per heartbeat, so heartbeats that are sent early do not raise the rate. The bucket holds at most the credit
// of burstDuration.
class ByteBudget {
public:
    static constexpr std::chrono::milliseconds burstDuration { 1500 };

    // Adds the credit earned at the given rate since the previous call, and returns the bytes that may be
    // sent now.
    std::size_t available(double bytesPerSecond, MonotonicTime now)
    {
        double maxCredit = bytesPerSecond * std::chrono::duration<double>(burstDuration).count();
        std::chrono::duration<double> elapsed
            = m_updated ? now - *m_updated : MonotonicTime::duration(burstDuration);
        m_credit = std::min(m_credit + bytesPerSecond * std::max(elapsed.count(), 0.0), maxCredit);
        m_updated = now;
        return static_cast<std::size_t>(std::max(m_credit, 0.0));
    }

    void spend(std::size_t bytes) { m_credit -= static_cast<double>(bytes); }

private:
    std::optional<MonotonicTime> m_updated;
    double m_credit = 0;
};

} // namespace briarwharf
