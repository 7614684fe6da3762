#pragma once

#include "base/time.h"
#include <string_view>

namespace briarwharf {

// How one attempt at an upstream ended, if it did not end with an answer that is passed to the caller.
enum class AttemptEnd {
    NotConnected, // there was no connection, so nothing was written to the network
    Refused, // the upstream reported that it did not run the request
    WrongUpstream, // the address belongs to another upstream now, which did not run the request
    FailureAnswered, // a complete answer with the upstream's failure (500 and above); the request ran
    Broken, // the request was sent, but no complete answer arrived; it may have run
    TimeUp, // the caller's deadline or the route's timeout has passed
};

std::string_view attemptEndName(AttemptEnd);

struct AttemptSituation {
    bool repeatable = false; // the request may run more than once and be sent again from its start
    bool resumable = false; // a stream that another upstream may continue
    bool answerBegun = false; // the caller has received some of the answer
    bool sent = false; // at least one attempt, this one included, was written to the network
    bool mayHaveRun = false; // at least one attempt, this one included, may have run the request
    int attempts = 0; // attempts that were written to the network so far
    int maxAttempts = 1;
    int uncountedAttempts = 0; // not counted in `attempts`: not connected, or the wrong upstream
    bool budgetLeft = false; // the fleet's budget allows another repeat
    bool otherInProgress = false; // a concurrent attempt at another upstream goes on
    Milliseconds timeLeft { 0 };
};

// What to do after an attempt that did not succeed.
enum class AttemptVerdict {
    TryAgain, // send the request to another upstream, from its start
    Resume, // continue the stream at another upstream, after the last event that the caller has received
    PassOn, // pass the upstream's failure to the caller as the answer
    RefuseNotRun, // answer 503: the request did not run and will not run
    Fail, // answer 502: the request may have run
    TimeOut, // answer 504: the request may have run
    Cut, // the answer has begun: close the connection, so that the caller detects an incomplete answer
    AwaitOther, // the concurrent attempt decides
};

std::string_view attemptVerdictName(AttemptVerdict);

struct AttemptLimits {
    Milliseconds minimumTimeLeft { 30 }; // no further attempt with less time until the deadline
    int maxUncountedAttempts = 4;
};

// Returns the verdict after an attempt. A request that may run only once is never sent again unless the
// upstream reported that it did not run the request or nothing of the request was written to the network. The
// verdict RefuseNotRun is given only in those cases.
AttemptVerdict decideNext(AttemptEnd, const AttemptSituation&, const AttemptLimits& = {});

} // namespace briarwharf
