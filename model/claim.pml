/*
 * Model of calls that run at most once: claims in a shared log that is built on create-only writes.
 *
 * CLAIMANTS claimants use one idempotency key, and two collectors serve one shard. Messages may be delayed,
 * repeated, reordered or lost: either collector may handle each request and each settlement at any time after it
 * was sent, any number of times or never. The answer to a write may be lost, and that write may take effect at
 * once, later or never. No process is forced to proceed, which covers crashes and pauses of any length. A collector
 * may be replaced at any time by one that starts with empty state, and a claimant's instance may be considered
 * unreachable at any time, whether it is or not. log.pml checks the log itself.
 *
 * Bounds: SLOTS records; one late write at a time, by the first collector.
 * Macros that seed a mistake: CALL_BEFORE_DURABLE, TRUST_LEASE, RETRY_AFTER_FIRST_BYTE, CALL_AFTER_GIVING_UP.
 */
#ifndef CLAIMANTS
#define CLAIMANTS 2
#endif
#ifndef SLOTS
#define SLOTS 3
#endif
#define COLLECTORS 2
#define NOBODY 9

/* Kinds of records. A record is 1 + kind * CLAIMANTS + claimant; 0 means that it is absent. */
#define CLAIM 0
#define RELEASE 1
#define COMPLETED 2
#define UNKNOWN 3
#define RECORD(kind, who) (1 + (kind) * CLAIMANTS + (who))
#define KIND(record) (((record) - 1) / CLAIMANTS)
#define WHO(record) (((record) - 1) % CLAIMANTS)

/* States of the key. */
#define FREE 0
#define IN_PROGRESS 1
#define DONE 2
#define OUTCOME_UNKNOWN 3

/* The store. */
byte record[SLOTS];
/* A write whose answer was lost and that has not taken effect yet. */
byte lateRecord;
byte lateSlot;

/* Messages. */
byte settlement[CLAIMANTS]; /* RELEASE, COMPLETED or UNKNOWN; 0 until the claimant sends one */
bool granted[CLAIMANTS];

/* Variables that the assertions check. A claimant whose settlement is RELEASE has reported "not run". */
byte runs;
bool outcomeDurable; /* a collector reported the outcome as durable to its claimant */

#ifdef TRUST_LEASE
byte leaseHolder;
#endif

/* Temporaries of one atomic step; not part of the state. */
hidden byte state, holder, released, i, who, client, settling;

/* Computes the key's state from the records below `head`, as ClaimIndex::apply() does. */
inline fold(head) {
    d_step {
        state = FREE;
        holder = NOBODY;
        released = 0;
        i = 0;
        do
        :: i < head ->
            who = WHO(record[i]);
            if
            :: KIND(record[i]) == CLAIM && state == FREE && !(released & (1 << who)) ->
                state = IN_PROGRESS;
                holder = who
            :: KIND(record[i]) == RELEASE ->
                if
                :: holder == who && state != DONE -> state = FREE; holder = NOBODY
                :: else
                fi;
                released = released | (1 << who)
            :: KIND(record[i]) == COMPLETED && holder == who -> state = DONE
            :: KIND(record[i]) == UNKNOWN && holder == who && state == IN_PROGRESS -> state = OUTCOME_UNKNOWN
            :: else
            fi;
            i++
        :: else -> break
        od
    }
}

proctype Collector(byte k) {
    byte head, want;

serve:
    atomic {
        /* Handles one of the messages, or restarts as a new collector with empty state. */
        if
        :: head > 0 -> head = 0; goto serve
        :: client = 0; settling = 0
        :: client = 1; settling = 0
        :: settlement[0] != 0 -> client = 0; settling = 1
        :: settlement[1] != 0 -> client = 1; settling = 1
#if CLAIMANTS > 2
        :: client = 2; settling = 0
        :: settlement[2] != 0 -> client = 2; settling = 1
#endif
        fi;
        /* ClaimCollector::answer() and settle(). */
        fold(head);
        if
        :: settling == 0 && state == IN_PROGRESS && holder == client -> granted[client] = true
        :: settling == 0 && state == IN_PROGRESS && holder != client -> want = RECORD(UNKNOWN, holder) /* holder considered unreachable */
        :: settling == 0 && state == FREE && !(released & (1 << client)) ->
            want = RECORD(CLAIM, client)
#ifdef CALL_BEFORE_DURABLE
            ;
            granted[client] = true
#endif
        :: settling == 1 && settlement[client] == RELEASE && !(released & (1 << client)) -> want = RECORD(RELEASE, client)
        :: settling == 1 && settlement[client] == COMPLETED && holder == client && state == DONE -> outcomeDurable = true
        :: settling == 1 && settlement[client] == COMPLETED && holder == client && state != DONE -> want = RECORD(COMPLETED, client)
        :: settling == 1 && settlement[client] == UNKNOWN && holder == client && state == IN_PROGRESS -> want = RECORD(UNKNOWN, client)
        :: head < SLOTS && record[head] != 0 -> head++ /* Log::applyRecord() */
        :: else /* refused, or already settled */
        fi;
        if
        :: want == 0 || head == SLOTS -> want = 0; goto serve
        :: else
        fi
    };

    /*
     * Log::commit() to Log::attemptAccepted(): record number `head` becomes `want` or another writer's record.
     * After a lost answer the number is read: an existing record replaces the answer, and an absent one is
     * created again with the same bytes. Afterwards the message is handled again.
     */
#ifdef TRUST_LEASE
    if
    :: leaseHolder == k -> /* the holder may be paused here for longer than its lease */
        atomic { record[head] = want; want = 0; head++ }
    :: leaseHolder != k -> want = 0
    fi;
    goto serve;
#else
append:
    if
    :: atomic { record[head] == 0 -> record[head] = want; want = 0; head++ }; goto serve
    :: atomic { k == 0 && record[head] == 0 && lateRecord == 0 -> lateRecord = want; lateSlot = head }; goto append
    :: atomic { record[head] != 0 -> want = 0; head++ }; goto serve
    :: atomic { want = 0; head = 0 }; goto serve /* killed and replaced */
    fi;
#endif
}

inline call(c) {
    atomic {
        runs++;
        assert(runs <= 1);
        assert(settlement[c] != RELEASE);
        assert(!outcomeDurable)
    }
}

/* ClaimClient and the sender of the call. */
proctype Claimant(byte c) {
    if
    :: granted[c]
    :: settlement[c] = RELEASE; /* the deadline passed: giveUp() */
#ifdef CALL_AFTER_GIVING_UP
        granted[c];
        call(c);
#endif
        goto end
    fi;
    if
    :: skip /* tryStartCall() */
    :: settlement[c] = RELEASE; goto end /* notSent() */
    fi;
    call(c);
    if
    :: settlement[c] = COMPLETED /* finish() */
    :: settlement[c] = UNKNOWN /* finishUnknown() */
#ifdef RETRY_AFTER_FIRST_BYTE
    :: call(c)
#endif
    fi;
end:
    skip
}

/* Late writes take effect and the lease changes hands at any time. */
active proctype Environment() {
end:
    do
    :: atomic { lateRecord != 0 ->
        if :: record[lateSlot] == 0 -> record[lateSlot] = lateRecord :: else fi;
        lateRecord = 0;
        lateSlot = 0 }
#ifdef TRUST_LEASE
    :: leaseHolder == 0 -> leaseHolder = 1
#endif
    od
}

init {
    atomic {
        run Collector(0);
        run Collector(1);
        run Claimant(0);
        run Claimant(1);
#if CLAIMANTS > 2
        run Claimant(2);
#endif
    }
}
