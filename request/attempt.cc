#include "request/attempt.h"

#include <cstddef>

namespace briarwharf {

namespace {

    bool mayRunAgain(const AttemptSituation& situation)
    {
        return situation.repeatable || situation.resumable || !situation.mayHaveRun;
    }

    Verdict giveUp(const AttemptSituation& situation)
    {
        if (situation.answerBegun)
            return Verdict::Cut;
        return situation.mayHaveRun ? Verdict::Fail : Verdict::RefuseNotRun;
    }

    Verdict again(const AttemptSituation& situation)
    {
        if (!situation.answerBegun)
            return Verdict::TryAgain;
        return situation.resumable ? Verdict::Resume : Verdict::Cut;
    }

    Verdict afterTimeUp(const AttemptSituation& situation)
    {
        if (situation.answerBegun)
            return Verdict::Cut;
        return situation.sent && situation.mayHaveRun ? Verdict::TimeOut : Verdict::RefuseNotRun;
    }

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    constexpr std::string_view names[] { "not-connected", "refused", "wrong-upstream", "failure-answered",
        "broken", "time-up" };
    return names[static_cast<std::size_t>(end)];
}

std::string_view verdictName(Verdict verdict)
{
    constexpr std::string_view names[] { "try-again", "resume", "pass-on", "refuse-not-run", "fail",
        "time-out", "cut" };
    return names[static_cast<std::size_t>(verdict)];
}

Verdict decideNext(AttemptEnd end, const AttemptSituation& situation, const AttemptLimits& limits)
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
            return timeLeft && attemptLeft ? again(situation) : Verdict::Cut;
        return timeLeft && attemptLeft && situation.repeatable ? Verdict::TryAgain : Verdict::PassOn;
    case AttemptEnd::Broken:
        return timeLeft && attemptLeft && mayRunAgain(situation) ? again(situation) : giveUp(situation);
    case AttemptEnd::TimeUp:
        break;
    }
    return giveUp(situation);
}

} // namespace briarwharf
