/*
 * Calls that run at most once: claims in a shared log on create-only writes.
 *
 * CLAIMANTS claimants use one idempotency key, two collectors serve one shard. Messages may be late, repeated,
 * reordered or lost: every request and every settlement that was sent can be served at any time by either
 * collector, any number of times or never. Writes may lose their answer with an effect now, later or never.
 * Nothing forces a process to go on, which covers crashes and pauses of any length. A collector may be
 * replaced at any time by one that starts from nothing, and a claimant's instance may be taken for gone at any
 * time, rightly or not. log.pml checks the log itself.
 *
 * Bounds: SLOTS records; one late write at a time, of the first collector.
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

/* Kinds of records; a record is 1 + kind * CLAIMANTS + claimant, 0 is an absent one. */
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
#define LOST 3

/* The store. */
byte record[SLOTS];
/* A write whose effect is still to come. */
byte lateRecord;
byte lateSlot;

/* Messages. */
byte settlement[CLAIMANTS]; /* RELEASE, COMPLETED or UNKNOWN, once the claimant sent one */
bool granted[CLAIMANTS];

/* What the promises are about. A claimant whose settlement is RELEASE has reported "not run". */
byte runs;
bool outcomeDurable; /* reported as durable to a claimant */

#ifdef TRUST_LEASE
byte leaseHolder;
#endif

/* Scratch of one atomic step, no part of the state. */
hidden byte state, holder, released, i, who, client, settling;

/* ClaimIndex::apply() over the records below `head`. */
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
            :: KIND(record[i]) == UNKNOWN && holder == who && state == IN_PROGRESS -> state = LOST
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
        /* One of the messages; or a collector that starts from nothing takes over. */
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
        :: settling == 0 && state == IN_PROGRESS && holder != client -> want = RECORD(UNKNOWN, holder) /* taken for gone */
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
        :: else /* refused, or settled already */
        fi;
        if
        :: want == 0 || head == SLOTS -> want = 0; goto serve
        :: else
        fi
    };

    /*
     * Log::commit() to Log::attemptAccepted(): the record `want` under the number `head`, or another writer's.
     * A lost answer is followed by a read of the number: a record that is there is as good as an answer, and an
     * absent one is created again with the same bytes. The message is served again afterwards.
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
    :: skip /* mayCall() */
    :: settlement[c] = RELEASE; goto end /* notSent() */
    fi;
    call(c);
    if
    :: settlement[c] = COMPLETED /* finish() */
    :: settlement[c] = UNKNOWN /* lost() */
#ifdef RETRY_AFTER_FIRST_BYTE
    :: call(c)
#endif
    fi;
end:
    skip
}

/* Late writes and lease changes, at any time. */
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
