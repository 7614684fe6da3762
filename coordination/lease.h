#pragma once

#include "base/time.h"
#include "coordination/log.h"
#include "coordination/store.h"
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarwharf {

struct LeaseOptions {
    std::string name; // the store's key is lease/<name>
    std::string holder; // unique for each start of a process (randomToken())
    Milliseconds duration { 6000 };
    Milliseconds renewInterval { 2000 };
    Milliseconds observeInterval { 2000 }; // between two reads while another instance holds the lease

    // held() becomes false this long before the lease expires.
    Milliseconds safetyMargin { 1000 };
};

// Lease with a fencing number that increases by one with each acquisition.
//
// Each instance measures expiry with its own monotonic clock: an observer from the time when it first saw the
// latest version of the object, the holder from the time when it issued its last successful write. So clocks
// of different machines are never compared.
//
// The lease reduces contention and supplies fencing numbers. It does not guarantee mutual exclusion: a holder
// that is paused between held() and its action acts after the lease has expired. So each action must either
// be protected by the fencing number or be harmless when it is late or repeated.
//
//   Lease lease({ .name = "drain/engine-3", .holder = token }, store, clock);
//   lease.setWanted(true);
//   // call lease.tick() every 20 to 100 ms
//   if (lease.held())
//       send(order, lease.fence());
//
// When the store comes back from an older copy, the object may name an earlier holder or none, while the
// latest holder does not know it yet. So held() becomes false at once, and no instance takes a lease that was
// written in an earlier era before it has seen it unchanged for its duration. The first fencing number of an
// era is above all of earlier ones (firstFence()).
//
// Store calls: 1 read and 1 write to acquire, 1 write per renewInterval to hold, 1 read per observeInterval
// to observe, 1 write to release; 1 additional read for each lost answer. While the store is down, the holder
// keeps the lease until it expires, and no instance acquires it.
class Lease {
public:
    Lease(LeaseOptions, Store&, MonotonicClock);
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;

    // true: acquires the lease and renews it. false: held() becomes false at once, and the lease is released.
    void setWanted(bool);

    void tick();

    // Whether this instance holds the lease and more than the safety margin remains until it expires.
    bool held() const;

    // Fencing number of the last acquisition by this instance; 0 if it has not acquired the lease yet.
    std::uint64_t fence() const { return m_fence; }

    // Time of the last acquisition by this instance with a new fencing number. Renewals do not change it.
    // Used for delays that must follow a change of holder.
    std::optional<MonotonicTime> acquiredAt() const { return m_acquiredAt; }

    // Holder according to the last read or acquisition; empty if none.
    const std::string& seenHolder() const { return m_seenHolder; }

private:
    void checkEra();
    std::uint64_t nextFence(std::uint64_t storedFence) const;
    void observe();
    void observed(const std::optional<StoredObject>&);
    void write(const std::string& holder, std::uint64_t fence, ObjectVersion);
    void writeAnswered(const std::string& renewal, std::uint64_t fence, WriteResult);
    void acquired(std::uint64_t fence, ObjectVersion, MonotonicTime issuedAt);
    void observedAbsent();
    void conflicted();
    void afterRelease();
    void retryLater();
    template <typename Callback> auto guarded(Callback callback);

    LeaseOptions m_options;
    Store& m_store;
    MonotonicClock m_clock;
    std::shared_ptr<bool> m_alive;
    bool m_wanted = false;
    bool m_callInProgress = false;
    bool m_resolving = false; // the answer to the last write was lost: the next call reads the object
    MonotonicTime m_nextCallAt; // earliest time of the next call to the store

    // Version of the object after this instance's last write; nullopt if the instance does not own the
    // object.
    std::optional<ObjectVersion> m_ownVersion;
    std::uint64_t m_fence = 0;
    std::optional<MonotonicTime> m_acquiredAt;
    // Time at which the lease expires: LeaseOptions::duration after the issue of the last write that took
    // effect.
    std::optional<MonotonicTime> m_expiry;
    // StoredLease::renewal and time of issue of the writes without an answer.
    std::vector<std::pair<std::string, MonotonicTime>> m_unansweredWrites;

    StoreEra m_era = 0; // of what is known here about the object
    std::uint64_t m_restore = 0; // answers to calls from before the last rise of the era are dropped
    std::uint64_t m_highestFence = 0; // seen in the object or written, in any era
    std::optional<ObjectVersion> m_seenVersion; // according to the last read or acquisition
    MonotonicTime m_seenAt; // when m_seenVersion was first seen
    std::string m_seenHolder;
    std::uint64_t m_serial = 0;
};

} // namespace briarwharf
