#pragma once

#include <cstddef>
#include <string_view>

namespace briarwharf {

enum class Outcome {
    Completed, // the complete answer arrived
    NotRun, // the request certainly had no effect, so it is safe to repeat
    Unknown, // the request may have run
};

// The value of X-Briarwharf-Outcome.
constexpr std::string_view outcomeName(Outcome outcome)
{
    constexpr std::string_view names[] { "completed", "not-run", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

// The facts about a request that determine its outcome when it ends.
struct OutcomeFacts {
    std::size_t bytesWritten = 0; // of the last attempt, handed to the kernel for sending
    // The answer ended as its length, last chunk or end marker states, and carries this request's identifier.
    bool answerComplete = false;
    // The answer to the last attempt states that the request did not run. Counts only if the answer is
    // complete.
    bool upstreamReportedNotRun = false;
    bool earlierAttemptUnknown = false; // an attempt before the last one may have run
};

// Completed requires a complete answer that does not report "not run". NotRun requires, for every attempt,
// that no byte was sent or that the upstream itself reported "not run". Any other case is Unknown.
constexpr Outcome deriveOutcome(const OutcomeFacts& facts)
{
    bool lastNotRun = facts.answerComplete && facts.upstreamReportedNotRun;
    if (facts.answerComplete && !facts.upstreamReportedNotRun)
        return Outcome::Completed;
    if (facts.earlierAttemptUnknown)
        return Outcome::Unknown;
    return lastNotRun || facts.bytesWritten == 0 ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace briarwharf
