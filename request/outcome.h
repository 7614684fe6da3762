#pragma once

#include <cstddef>
#include <string_view>

namespace briarwharf {

enum class Outcome {
    Completed, // the complete answer arrived
    NotRun, // certainly without effect: safe to repeat
    Unknown, // may have run
};

// The value of X-Briarwharf-Outcome.
constexpr std::string_view outcomeName(Outcome outcome)
{
    constexpr std::string_view names[] { "completed", "not-run", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

// What is known about a request when it ends.
struct OutcomeFacts {
    std::size_t bytesWritten = 0; // handed to the kernel for the upstream in the last attempt
    bool answerComplete = false; // by length, last chunk or end marker, and with this request's identifier
    bool upstreamSaysNotRun = false; // a complete answer that states it for the last attempt
    bool earlierAttemptUnknown = false; // an attempt before the last one may have run
};

// Completed only for a complete answer; NotRun only if, for every attempt, no byte left or the upstream
// itself says so; otherwise Unknown.
constexpr Outcome deriveOutcome(const OutcomeFacts& facts)
{
    bool lastNotRun = facts.answerComplete && facts.upstreamSaysNotRun;
    if (facts.answerComplete && !facts.upstreamSaysNotRun)
        return Outcome::Completed;
    if (facts.earlierAttemptUnknown)
        return Outcome::Unknown;
    return lastNotRun || facts.bytesWritten == 0 ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace briarwharf
