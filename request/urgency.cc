#include "request/urgency.h"

#include <algorithm>

namespace briarwharf {

int engineUrgency(int priority, std::int64_t tokensToRead)
{
    constexpr int stepsPerPriority = 2;
    constexpr int lastPriority = leastUrgent / stepsPerPriority;
    int step = tokensToRead > longReadTokens ? 1 : 0;
    return mostUrgent + stepsPerPriority * std::clamp(priority, 0, lastPriority) + step;
}

} // namespace briarwharf
