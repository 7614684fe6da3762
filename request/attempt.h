#pragma once

#include "base/time.h"
#include <string_view>

namespace briarwharf {

// How one attempt at an upstream ended, other than with an answer that is passed on.
enum class AttemptEnd {
    NotConnected, // nothing was handed to the network
    Refused, // the upstream says that it did not run the request
    WrongUpstream, // another upstream has the address now and did not run the request
    FailureAnswered, // a whole answer that blames the upstream (500 and above); the request ran
    Broken, // sent, but no whole answer came; the request may have run
    TimeUp, // the caller's time or the route's timeout is over
};

std::string_view attemptEndName(AttemptEnd);

struct AttemptSituation {
    bool repeatable = false; // the request may run more than once, from its start
    bool resumable = false; // a stream that another upstream may continue
    bool answerBegun = false; // the caller has a part of the answer
    bool sent = false; // some attempt, this one included, was handed to the network
    bool mayHaveRun = false; // some attempt, this one included, is not known to have not run
    int attempts = 0; // handed to the network so far
    int maxAttempts = 1;
    int uncountedAttempts = 0; // attempts that cost nothing: not connected, or met a wrong upstream
    bool budgetLeft = false; // of the fleet's repeats
    Milliseconds timeLeft { 0 };
};

// What to do next.
enum class AttemptVerdict {
    TryAgain, // at another upstream, from the start
    Resume, // at another upstream, after the last event that the caller has
    PassOn, // the upstream's failure is the answer
    RefuseNotRun, // 503: it did not run and never will
    Fail, // 502: it may have run
    TimeOut, // 504: it may have run
    Cut, // the answer has begun: close the connection, so that the caller sees that it is not whole
};

std::string_view attemptVerdictName(AttemptVerdict);

struct AttemptLimits {
    Milliseconds minimumTimeLeft { 30 }; // no further attempt closer to the deadline
    int maxUncountedAttempts = 4;
};

// The verdict after an attempt. A request that may run only once is never sent again unless the upstream said
// that it did not run or nothing of it reached the network, and 503 is said only in those cases.
AttemptVerdict decideNext(AttemptEnd, const AttemptSituation&, const AttemptLimits& = {});

} // namespace briarwharf
