#include "request/attempt.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

enum class Kind { AtMostOnce, Repeatable, Resumable };

AttemptSituation situationOf(Kind kind)
{
    AttemptSituation situation;
    situation.repeatable = kind != Kind::AtMostOnce;
    situation.resumable = kind == Kind::Resumable;
    situation.maxAttempts = 2;
    situation.budgetLeft = true;
    situation.timeLeft = Milliseconds(500);
    return situation;
}

struct Row {
    const char* description;
    Kind kind;
    AttemptEnd end;
    int attempts; // written to the network, this one included
    bool mayHaveRun;
    bool answerBegun;
    AttemptVerdict verdict;
};

const std::vector<Row> rows {
    // Nothing was written to the network: the request goes to another upstream, whatever its kind.
    { "not connected", Kind::AtMostOnce, AttemptEnd::NotConnected, 0, false, false,
        AttemptVerdict::TryAgain },
    { "not connected", Kind::Repeatable, AttemptEnd::NotConnected, 0, false, false,
        AttemptVerdict::TryAgain },
    { "not connected while resuming", Kind::Resumable, AttemptEnd::NotConnected, 1, true, true,
        AttemptVerdict::Resume },
    // The upstream reports that it did not run the request.
    { "refused, attempts left", Kind::AtMostOnce, AttemptEnd::Refused, 1, false, false,
        AttemptVerdict::TryAgain },
    { "refused, none left", Kind::AtMostOnce, AttemptEnd::Refused, 2, false, false,
        AttemptVerdict::RefuseNotRun },
    { "refused after an attempt that may have run", Kind::Repeatable, AttemptEnd::Refused, 2, true, false,
        AttemptVerdict::Fail },
    { "refused while resuming", Kind::Resumable, AttemptEnd::Refused, 2, true, true, AttemptVerdict::Cut },
    { "wrong upstream", Kind::AtMostOnce, AttemptEnd::WrongUpstream, 0, false, false,
        AttemptVerdict::TryAgain },
    // The request may have run: it is sent again only if it may run again, and the answer is never that it
    // did not run.
    { "broken", Kind::AtMostOnce, AttemptEnd::Broken, 1, true, false, AttemptVerdict::Fail },
    { "broken", Kind::Repeatable, AttemptEnd::Broken, 1, true, false, AttemptVerdict::TryAgain },
    { "broken, none left", Kind::Repeatable, AttemptEnd::Broken, 2, true, false, AttemptVerdict::Fail },
    { "broken before events", Kind::Resumable, AttemptEnd::Broken, 1, true, false, AttemptVerdict::TryAgain },
    { "broken after events", Kind::Resumable, AttemptEnd::Broken, 1, true, true, AttemptVerdict::Resume },
    { "broken after events, none left", Kind::Resumable, AttemptEnd::Broken, 2, true, true,
        AttemptVerdict::Cut },
    { "broken after the answer began", Kind::AtMostOnce, AttemptEnd::Broken, 1, true, true,
        AttemptVerdict::Cut },
    // The upstream answered with its own failure: the request ran.
    { "failure", Kind::AtMostOnce, AttemptEnd::FailureAnswered, 1, true, false, AttemptVerdict::PassOn },
    { "failure", Kind::Repeatable, AttemptEnd::FailureAnswered, 1, true, false, AttemptVerdict::TryAgain },
    { "failure, none left", Kind::Repeatable, AttemptEnd::FailureAnswered, 2, true, false,
        AttemptVerdict::PassOn },
    { "failure while resuming", Kind::Resumable, AttemptEnd::FailureAnswered, 2, true, true,
        AttemptVerdict::Cut },
    // The time is over.
    { "time up before anything was sent", Kind::AtMostOnce, AttemptEnd::TimeUp, 0, false, false,
        AttemptVerdict::RefuseNotRun },
    { "time up after a refusal", Kind::AtMostOnce, AttemptEnd::TimeUp, 1, false, false,
        AttemptVerdict::RefuseNotRun },
    { "time up in doubt", Kind::AtMostOnce, AttemptEnd::TimeUp, 1, true, false, AttemptVerdict::TimeOut },
    { "time up in a stream", Kind::Resumable, AttemptEnd::TimeUp, 1, true, true, AttemptVerdict::Cut },
};

} // namespace

// Guards against a second run of a request that may run only once, and against the answer "not run" for a
// request that may have run.
TEST_CASE("the verdict after each end of an attempt")
{
    for (const Row& row : rows) {
        CAPTURE(row.description);
        CAPTURE(static_cast<int>(row.kind));
        AttemptSituation situation = situationOf(row.kind);
        situation.attempts = row.attempts;
        situation.sent = row.attempts > 0;
        situation.mayHaveRun = row.mayHaveRun;
        situation.answerBegun = row.answerBegun;
        CHECK(attemptVerdictName(decideNext(row.end, situation)) == attemptVerdictName(row.verdict));
    }
}

TEST_CASE("no repeat without budget, without time, or beyond the maximum of uncounted attempts")
{
    AttemptSituation situation = situationOf(Kind::Repeatable);
    situation.attempts = 1;
    situation.sent = situation.mayHaveRun = true;
    situation.budgetLeft = false;
    CHECK(decideNext(AttemptEnd::Broken, situation) == AttemptVerdict::Fail);
    situation.budgetLeft = true;
    situation.timeLeft = Milliseconds(10);
    CHECK(decideNext(AttemptEnd::Broken, situation) == AttemptVerdict::Fail);
    AttemptSituation fresh = situationOf(Kind::AtMostOnce);
    fresh.uncountedAttempts = AttemptLimits {}.maxUncountedAttempts;
    CHECK(decideNext(AttemptEnd::NotConnected, fresh) == AttemptVerdict::RefuseNotRun);
}

// Guards against giving up, or sending again, a request whose other attempt may still be answered.
TEST_CASE("while a concurrent attempt is in progress, only the end of the time ends the request")
{
    AttemptSituation situation = situationOf(Kind::Repeatable);
    situation.attempts = 1;
    situation.sent = situation.mayHaveRun = true;
    situation.otherInProgress = true;
    for (AttemptEnd end : { AttemptEnd::NotConnected, AttemptEnd::Refused, AttemptEnd::WrongUpstream,
             AttemptEnd::FailureAnswered, AttemptEnd::Broken })
        CHECK(decideNext(end, situation) == AttemptVerdict::AwaitOther);
    CHECK(decideNext(AttemptEnd::TimeUp, situation) == AttemptVerdict::TimeOut);
}

// Applies random sequences of attempt ends in the way the forwarder does.
TEST_CASE("no sequence of attempt ends runs a request twice or falsely reports that it did not run")
{
    rc::check([] {
        auto kind = static_cast<Kind>(*rc::gen::inRange(0, 3));
        AttemptSituation situation = situationOf(kind);
        situation.maxAttempts = *rc::gen::inRange(1, 5);
        int runs = 0;
        for (int step = 0; step < 20; ++step) {
            auto end = static_cast<AttemptEnd>(*rc::gen::inRange(0, 6));
            situation.budgetLeft = *rc::gen::arbitrary<bool>();
            situation.timeLeft = Milliseconds(*rc::gen::inRange(0, 200));
            bool ran = end == AttemptEnd::FailureAnswered || end == AttemptEnd::Broken
                || end == AttemptEnd::TimeUp;
            bool uncounted = end == AttemptEnd::NotConnected || end == AttemptEnd::WrongUpstream;
            runs += ran ? 1 : 0;
            situation.attempts += uncounted ? 0 : 1;
            situation.uncountedAttempts += uncounted ? 1 : 0;
            situation.sent = situation.sent || !uncounted;
            situation.mayHaveRun = situation.mayHaveRun || ran;
            if (ran && kind == Kind::Resumable && *rc::gen::arbitrary<bool>())
                situation.answerBegun = true;
            situation.repeatable
                = kind == Kind::Repeatable || (kind == Kind::Resumable && !situation.answerBegun);
            AttemptVerdict verdict = decideNext(end, situation);
            if (verdict == AttemptVerdict::RefuseNotRun)
                RC_ASSERT(runs == 0);
            if (kind == Kind::AtMostOnce && runs > 0)
                RC_ASSERT(verdict != AttemptVerdict::TryAgain && verdict != AttemptVerdict::Resume);
            if (situation.answerBegun)
                RC_ASSERT(verdict == AttemptVerdict::Resume || verdict == AttemptVerdict::Cut);
            if (verdict != AttemptVerdict::TryAgain && verdict != AttemptVerdict::Resume)
                break;
            RC_ASSERT(situation.attempts < situation.maxAttempts || uncounted);
        }
    });
}
