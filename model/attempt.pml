/*
 * Model of one forwarded request: attempts at upstreams, retries, resumed streams and the end of the caller's
 * connection, as decided by decideNext() and ForwardedRequest.
 *
 * An upstream that received the request may run it at any later time or never, even after the exchange with it
 * is closed, unless it reported that it will not. At any time the exchange may break, the request may time out,
 * the caller may close its connection and the fleet's retry budget may be exhausted. No process is forced to
 * proceed, which covers crashes and pauses of any length.
 *
 * Bounds: UPSTREAMS upstreams, each tried once; MAX_ATTEMPTS attempts that count and MAX_UNCOUNTED_ATTEMPTS that do
 * not (AttemptSituation::uncountedAttempts); streams of EVENTS events.
 * Macros that seed a mistake: RETRY_BROKEN_ONCE, RETRY_FAILED_ONCE, TIMEOUT_IS_NOT_RUN, BROKEN_IS_NOT_RUN,
 * RESUME_FROM_START, RESUME_ANY_STREAM, RETRY_FOR_NOBODY.
 */
#define UPSTREAMS 4
#define MAX_ATTEMPTS 3
#define MAX_UNCOUNTED_ATTEMPTS 2
#define EVENTS 2

/* Kinds of requests. */
#define REPEATABLE 0
#define ONCE 1
#define RESUMABLE 2
#define STREAM 3 /* cannot be resumed */

/* How an attempt ended: AttemptEnd. */
#define NOT_CONNECTED 0
#define REFUSED 1
#define WRONG_UPSTREAM 2
#define FAILURE_ANSWERED 3
#define BROKEN 4
#define TIME_UP 5

/* The final answer to the caller. */
#define NOTHING 0
#define NOT_RUN 1 /* 503 */
#define FAILED 2 /* 502 */
#define TIMED_OUT 3 /* 504 */
#define PASSED_ON 4 /* an upstream's failure answer, forwarded */
#define WHOLE 5 /* complete answer or stream */
#define CUT 6 /* stream that ended early */

byte kind;

/* State of each upstream. */
bool sent[UPSTREAMS];
bool ran[UPSTREAMS];
bool reportedNotRun[UPSTREAMS]; /* reported that it will not run the request: refused it, or is not the expected upstream */

/* State of the caller. */
bool callerLeft;
byte answer;
byte events; /* number of the stream's events that the caller received */

/* Variables that the assertions check. */
byte runs;
byte repeatsForNobody;

/* Sends the final answer to the caller, unless the caller closed its connection. */
inline answerCaller(what) {
    assert(answer == NOTHING);
    if
    :: callerLeft -> skip
    :: else ->
        answer = what;
        assert(what != NOT_RUN || runs == 0);
        assert(what != PASSED_ON || runs > 0);
        assert(what != WHOLE || runs > 0);
        assert(what != WHOLE || kind < RESUMABLE || events == EVENTS);
        assert(what == WHOLE || what == CUT || events == 0)
    fi
}

/* An upstream: runs the request once at any time after it was sent, or never. */
active [UPSTREAMS] proctype Upstream() {
end_idle:
    atomic {
        sent[_pid] && !ran[_pid] && !reportedNotRun[_pid];
        ran[_pid] = true;
        runs++;
        assert(kind != ONCE || runs == 1);
        assert(answer != NOT_RUN)
    }
}

active proctype Caller() {
    callerLeft = true
}

active proctype Router() {
    byte upstream = 0; /* the next one to try */
    byte attempts = 0;
    byte uncountedAttempts = 0;
    byte end;
    byte position; /* in the stream of the upstream in use */
    bool mayHaveRun = false;
    bool budgetLeft;
    bool mayRepeat; /* AttemptSituation::repeatable */
    bool mayResume;
    bool again;

    if
    :: kind = REPEATABLE
    :: kind = ONCE
    :: kind = RESUMABLE
    :: kind = STREAM
    fi;

place:
    if
    :: upstream == UPSTREAMS -> goto giveUp
    :: else -> skip
    fi;
    /* Connecting: the upstream receives nothing before the request is written. */
    if
    :: end = NOT_CONNECTED; goto decide
    :: end = TIME_UP; goto decide
    :: callerLeft -> goto closed
    :: atomic { sent[upstream] = true; position = (kind == RESUMABLE -> events : 0) }
    fi;
#ifdef RESUME_FROM_START
    position = 0;
#endif

wait:
    if
    :: atomic { !ran[upstream] -> reportedNotRun[upstream] = true; end = REFUSED }
    :: atomic { !ran[upstream] -> reportedNotRun[upstream] = true; end = WRONG_UPSTREAM }
    :: ran[upstream] -> end = FAILURE_ANSWERED
    :: end = BROKEN
    :: end = TIME_UP
    :: callerLeft && kind != ONCE -> goto closed
    :: ran[upstream] && kind < RESUMABLE -> goto whole
    :: ran[upstream] && kind >= RESUMABLE && position == EVENTS -> goto whole
    :: atomic {
        ran[upstream] && kind >= RESUMABLE && position < EVENTS && !callerLeft ->
        position++;
        assert(position == events + 1); /* no event is missing or repeated */
        events = position
    }; goto wait
    fi;

decide:
    /* ForwardedRequest::attemptEnded() */
    atomic {
        if
        :: end == NOT_CONNECTED || end == WRONG_UPSTREAM -> uncountedAttempts++
        :: else ->
            if
            :: sent[upstream] ->
                attempts++;
                mayHaveRun = mayHaveRun || end != REFUSED
            :: else -> skip
            fi
        fi;
        upstream++;
        if
        :: budgetLeft = true
        :: budgetLeft = (attempts == 0)
        fi;
        mayRepeat = kind == REPEATABLE || (kind == RESUMABLE && events == 0);
        mayResume = kind == RESUMABLE;
#ifdef RESUME_ANY_STREAM
        mayResume = kind >= RESUMABLE;
#endif
        /* decideNext() */
        again = false;
        if
        :: end == NOT_CONNECTED -> again = uncountedAttempts < MAX_UNCOUNTED_ATTEMPTS
        :: end == WRONG_UPSTREAM -> again = uncountedAttempts < MAX_UNCOUNTED_ATTEMPTS && budgetLeft
        :: end == REFUSED -> again = attempts < MAX_ATTEMPTS && budgetLeft
        :: end == FAILURE_ANSWERED ->
            again = attempts < MAX_ATTEMPTS && budgetLeft && (events > 0 || mayRepeat)
#ifdef RETRY_FAILED_ONCE
            ;
            again = attempts < MAX_ATTEMPTS && budgetLeft
#endif
        :: end == BROKEN ->
            again = attempts < MAX_ATTEMPTS && budgetLeft && (mayRepeat || mayResume || !mayHaveRun)
#ifdef RETRY_BROKEN_ONCE
            ;
            again = attempts < MAX_ATTEMPTS && budgetLeft
#endif
        :: else -> skip
        fi;
        again = again && (events == 0 || mayResume)
    };
    if
    :: again ->
        /* ForwardedRequest::act() */
#ifdef RETRY_FOR_NOBODY
        repeatsForNobody = repeatsForNobody + callerLeft;
        assert(repeatsForNobody == 0);
        goto place
#else
        if
        :: callerLeft -> goto closed
        :: else -> goto place
        fi
#endif
    :: else -> skip
    fi;
    if
    :: end == TIME_UP && events == 0 && mayHaveRun ->
#ifdef TIMEOUT_IS_NOT_RUN
        answerCaller(NOT_RUN);
#else
        answerCaller(TIMED_OUT);
#endif
        goto done
    :: end == FAILURE_ANSWERED && events == 0 -> answerCaller(PASSED_ON); goto done
    :: else -> skip
    fi;

giveUp:
    if
    :: events > 0 -> answerCaller(CUT)
#ifdef BROKEN_IS_NOT_RUN
    :: events == 0 -> answerCaller(NOT_RUN)
#else
    :: events == 0 && mayHaveRun -> answerCaller(FAILED)
    :: events == 0 && !mayHaveRun -> answerCaller(NOT_RUN)
#endif
    fi;
    goto done;

whole:
    answerCaller(WHOLE);
    goto done;

closed:
    skip;
done:
    skip
}
