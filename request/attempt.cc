#include "request/attempt.h"

#include <cstddef>

namespace briarwharf {

namespace {

    bool mayRunAgain(const AttemptSituation& situation)
    {
        return situation.repeatable || situation.resumable || !situation.mayHaveRun;
    }

    AttemptVerdict giveUp(const AttemptSituation& situation)
    {
        if (situation.answerBegun)
            return AttemptVerdict::Cut;
        return situation.mayHaveRun ? AttemptVerdict::Fail : AttemptVerdict::RefuseNotRun;
    }

    AttemptVerdict again(const AttemptSituation& situation)
    {
        if (!situation.answerBegun)
            return AttemptVerdict::TryAgain;
        return situation.resumable ? AttemptVerdict::Resume : AttemptVerdict::Cut;
    }

    AttemptVerdict afterTimeUp(const AttemptSituation& situation)
    {
        if (situation.answerBegun)
            return AttemptVerdict::Cut;
        return situation.sent && situation.mayHaveRun ? AttemptVerdict::TimeOut
                                                      : AttemptVerdict::RefuseNotRun;
    }

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    constexpr std::string_view names[] { "not-connected", "refused", "wrong-upstream", "failure-answered",
        "broken", "time-up" };
    return names[static_cast<std::size_t>(end)];
}

std::string_view attemptVerdictName(AttemptVerdict verdict)
{
    constexpr std::string_view names[] { "try-again", "resume", "pass-on", "refuse-not-run", "fail",
        "time-out", "cut" };
    return names[static_cast<std::size_t>(verdict)];
}

AttemptVerdict decideNext(AttemptEnd end, const AttemptSituation& situation, const AttemptLimits& limits)
{
    if (end == AttemptEnd::TimeUp)
        return afterTimeUp(situation);
    bool timeLeft = situation.timeLeft >= limits.minimumTimeLeft;
    bool attemptLeft = situation.attempts < situation.maxAttempts && situation.budgetLeft;
    bool detourLeft = situation.uncountedAttempts < limits.maxUncountedAttempts;
    switch (end) {
    case AttemptEnd::NotConnected:
        return timeLeft && detourLeft ? again(situation) : giveUp(situation);
    case AttemptEnd::WrongUpstream:
        return timeLeft && detourLeft && situation.budgetLeft ? again(situation) : giveUp(situation);
    case AttemptEnd::Refused:
        return timeLeft && attemptLeft ? again(situation) : giveUp(situation);
    case AttemptEnd::FailureAnswered:
        if (situation.answerBegun)
            return timeLeft && attemptLeft ? again(situation) : AttemptVerdict::Cut;
        return timeLeft && attemptLeft && situation.repeatable ? AttemptVerdict::TryAgain
                                                               : AttemptVerdict::PassOn;
    case AttemptEnd::Broken:
        return timeLeft && attemptLeft && mayRunAgain(situation) ? again(situation) : giveUp(situation);
    case AttemptEnd::TimeUp:
        break;
    }
    return giveUp(situation);
}

} // namespace briarwharf
