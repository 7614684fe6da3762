#include "request/attempt.h"

#include <cstddef>

namespace briarwharf {

namespace {

    bool mayRunAgain(const AttemptSituation& situation)
    {
        return situation.repeatable || situation.resumable || !situation.mayHaveRun;
    }

    AttemptVerdict failOrRefuse(const AttemptSituation& situation)
    {
        if (situation.answerBegun)
            return AttemptVerdict::Cut;
        return situation.mayHaveRun ? AttemptVerdict::Fail : AttemptVerdict::RefuseNotRun;
    }

    AttemptVerdict tryAgainOrResume(const AttemptSituation& situation)
    {
        if (!situation.answerBegun)
            return AttemptVerdict::TryAgain;
        return situation.resumable ? AttemptVerdict::Resume : AttemptVerdict::Cut;
    }

    AttemptVerdict verdictAfterTimeUp(const AttemptSituation& situation)
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
        "time-out", "cut", "await-other" };
    return names[static_cast<std::size_t>(verdict)];
}

AttemptVerdict decideNext(AttemptEnd end, const AttemptSituation& situation, const AttemptLimits& limits)
{
    if (end == AttemptEnd::TimeUp)
        return verdictAfterTimeUp(situation);
    if (situation.otherInProgress)
        return AttemptVerdict::AwaitOther;
    bool timeLeft = situation.timeLeft >= limits.minimumTimeLeft;
    bool attemptLeft = situation.attempts < situation.maxAttempts && situation.budgetLeft;
    bool detourLeft = situation.uncountedAttempts < limits.maxUncountedAttempts;
    switch (end) {
    case AttemptEnd::NotConnected:
        return timeLeft && detourLeft ? tryAgainOrResume(situation) : failOrRefuse(situation);
    case AttemptEnd::WrongUpstream:
        return timeLeft && detourLeft && situation.budgetLeft ? tryAgainOrResume(situation)
                                                              : failOrRefuse(situation);
    case AttemptEnd::Refused:
        return timeLeft && attemptLeft ? tryAgainOrResume(situation) : failOrRefuse(situation);
    case AttemptEnd::FailureAnswered:
        if (situation.answerBegun)
            return timeLeft && attemptLeft ? tryAgainOrResume(situation) : AttemptVerdict::Cut;
        return timeLeft && attemptLeft && situation.repeatable ? AttemptVerdict::TryAgain
                                                               : AttemptVerdict::PassOn;
    case AttemptEnd::Broken:
        return timeLeft && attemptLeft && mayRunAgain(situation) ? tryAgainOrResume(situation)
                                                                 : failOrRefuse(situation);
    case AttemptEnd::TimeUp:
        break;
    }
    return failOrRefuse(situation);
}

} // namespace briarwharf
