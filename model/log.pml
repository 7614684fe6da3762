/*
 * Model of the shared log with lost answers, snapshots and removal of old records.
 *
 * Two writers and one reader. The answer to a create may be lost, and that create may take effect at once, later or
 * never. Every process may be paused between any two steps, so that a late create can write a number whose record
 * was removed. Conditional updates raise the manifest's number, and records at or below it are removed in any
 * order.
 *
 * Checked: every process that advances past a number counts the same record for it, an append that was reported as
 * accepted is that record, and an append that was reported as lost to another writer never is.
 *
 * Bounds: SLOTS numbers, KEPT tokens in the manifest, one late write at a time, by the first writer.
 * Macros that seed a mistake: SKIP_MANIFEST, LOST_ANSWER_IS_FAILURE, OVERWRITE.
 */
#ifndef SLOTS
#define SLOTS 3
#endif
#define KEPT 1

/* The token (1 + writer) of the record with each number; 0: absent. Numbers start at 1. */
byte record[SLOTS + 1];
/* The first record that each number had, even if it was removed since. */
byte first[SLOTS + 1];
byte manifest;
byte lateNumber; /* of a create whose answer was lost and that has not taken effect yet; 0: none */

#define ME (w + 1)

inline create(number, token) {
    record[number] = token;
    if
    :: first[number] == 0 -> first[number] = token
    :: else
    fi
}

/* The token that the manifest holds for a number of the snapshot; 0: the manifest no longer holds it. */
#define NAMED(number) (manifest - (number) < KEPT -> first[number] : 0)

proctype Writer(byte w) {
    byte head;
    bool taken;

next:
    if
    :: head == SLOTS -> goto end
    :: manifest > head -> atomic { manifest > head -> head = manifest }; goto next /* Log::restoreSnapshot() */
    :: head < SLOTS
    fi;

    /* Log::createRecord(), Log::readBack(). */
attempt:
    taken = false;
    if
    :: atomic { record[head + 1] == 0 -> create(head + 1, ME) } /* answered, or found by reading it back */
    :: atomic { w == 0 && record[head + 1] == 0 && lateNumber == 0 -> lateNumber = head + 1 };
#ifdef LOST_ANSWER_IS_FAILURE
        goto lost
#else
        skip
#endif
    :: record[head + 1] == ME
#ifdef OVERWRITE
    :: atomic { record[head + 1] != 0 && record[head + 1] != ME -> record[head + 1] = ME }
#else
    :: record[head + 1] != 0 && record[head + 1] != ME -> taken = true
#endif
    fi;

    /* Log::verified(), Log::resolveBySnapshot(). */
    atomic {
        if
#ifndef SKIP_MANIFEST
        :: manifest > head && NAMED(head + 1) == ME -> goto accepted
        :: manifest > head && NAMED(head + 1) != 0 && NAMED(head + 1) != ME -> goto lost
        :: manifest > head && NAMED(head + 1) == 0 -> goto next /* reported as unknown */
        :: manifest <= head && taken -> goto lost
        :: manifest <= head && !taken && record[head + 1] != ME -> goto attempt
        :: manifest <= head && !taken && record[head + 1] == ME -> goto accepted
#else
        :: taken -> goto lost
        :: !taken && record[head + 1] != ME -> goto attempt
        :: !taken && record[head + 1] == ME -> goto accepted
#endif
        fi
    };

accepted:
    atomic {
        assert(first[head + 1] == ME);
        head++;
        goto next
    };

lost: /* The commands are appended under another number: this number must never become the writer's. */
    atomic {
        assert(first[head + 1] != ME && first[head + 1] != 0);
        head++;
        goto next
    };

end:
    skip
}

/* Log::syncRecords(), Log::syncVerify(). */
proctype Reader() {
    byte head, seen;

next:
    seen = 0;
    if
    :: head == SLOTS -> goto end
    :: atomic { manifest > head -> head = manifest }; goto next
    :: head < SLOTS && record[head + 1] != 0 -> seen = record[head + 1]
    fi;
    atomic {
        if
#ifndef SKIP_MANIFEST
        :: manifest > head -> head = manifest
#endif
        :: else ->
            assert(first[head + 1] == seen);
            head++
        fi;
        goto next
    };
end:
    skip
}

/* Snapshots, removals and late creates happen at any time. */
active proctype Environment() {
    byte n;
end:
    do
    :: atomic { manifest < SLOTS && first[manifest + 1] != 0 -> manifest++ }
    :: atomic { n = 0; do :: n < SLOTS -> n++ :: n > 0 -> break od;
        if :: n <= manifest && record[n] != 0 -> record[n] = 0 :: else fi; n = 0 }
    :: atomic { lateNumber != 0 ->
        if :: record[lateNumber] == 0 -> create(lateNumber, 1) :: else fi; lateNumber = 0 }
    od
}

init {
    atomic {
        run Writer(0);
        run Writer(1);
        run Reader()
    }
}
