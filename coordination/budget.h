#pragma once

#include "base/time.h"
#include <algorithm>
#include <cstddef>
#include <optional>

namespace briarwharf {

// Bytes that one section may put on one link. Unused bytes add up for at most `depth`, so that heartbeats
// that are sent early do not raise the rate.
class ByteBudget {
public:
    static constexpr std::chrono::milliseconds depth { 1500 };

    // Bytes that may be spent now, at the given rate from the previous call on.
    std::size_t available(double bytesPerSecond, MonotonicTime now)
    {
        double most = bytesPerSecond * std::chrono::duration<double>(depth).count();
        std::chrono::duration<double> elapsed = m_updated ? now - *m_updated : MonotonicTime::duration(depth);
        m_credit = std::min(m_credit + bytesPerSecond * std::max(elapsed.count(), 0.0), most);
        m_updated = now;
        return static_cast<std::size_t>(std::max(m_credit, 0.0));
    }

    void spend(std::size_t bytes) { m_credit -= static_cast<double>(bytes); }

private:
    std::optional<MonotonicTime> m_updated;
    double m_credit = 0;
};

} // namespace briarwharf
