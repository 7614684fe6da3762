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
    std::string name; // part of the store's key: lease/<name>
    std::string holder; // unique for each start of a process (randomToken())
    Milliseconds duration { 6000 };
    Milliseconds renewInterval { 2000 };
    Milliseconds observeInterval { 2000 }; // between two reads while another instance holds it

    // The holder stops acting this long before the lease expires.
    Milliseconds safetyMargin { 1000 };
};

// Lease with a fencing number that rises by one with each acquisition.
//
// An observer measures expiry with its own monotonic clock, from the moment when it first saw the object's
// present version, and the holder from the moment when it issued its last write; so no clocks are compared.
// A lease reduces contention and supplies fencing numbers. It does not exclude: a holder that is paused
// between held() and its action acts late, so whatever it does must be fenced or convergent.
//
//   Lease lease({ .name = "drain/engine-3", .holder = token }, store, clock);
//   lease.setWanted(true);
//   // call lease.tick() every 20 to 100 ms
//   if (lease.held())
//       send(order, lease.fence());
//
// Store calls: 1 read and 1 write to acquire, 1 write each renewInterval to hold, 1 read each
// observeInterval to observe, 1 write to release; 1 read more for each lost answer.
// While the store is down the holder keeps the lease until it expires; no one acquires it.
class Lease {
public:
    Lease(LeaseOptions, Store&, MonotonicClock);
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;

    // true: acquire and renew; false: stop acting at once and release.
    void setWanted(bool);

    void tick();

    // The lease is this instance's, with the safety margin left.
    bool held() const;

    // Of the last acquisition by this instance; 0: none yet.
    std::uint64_t fence() const { return m_fence; }

    // When held() last became possible after another holder or none; for waits that follow a change of
    // holder.
    std::optional<MonotonicTime> acquiredAt() const { return m_acquiredAt; }

    // Holder last seen at the store; empty: none.
    const std::string& seenHolder() const { return m_seenHolder; }

private:
    void observe();
    void observed(const std::optional<StoredObject>&);
    void write(const std::string& holder, std::uint64_t fence, ObjectVersion);
    void written(const std::string& renewal, std::uint64_t fence, WriteResult);
    void acquired(std::uint64_t fence, ObjectVersion, MonotonicTime issuedAt);
    void lost();
    void afterRelease();
    void retryLater();
    template <typename Callback> auto guarded(Callback callback);

    LeaseOptions m_options;
    Store& m_store;
    MonotonicClock m_clock;
    std::shared_ptr<bool> m_alive;
    bool m_wanted = false;
    bool m_busy = false;
    bool m_settling = false; // the last write has no definite answer: the next call reads the object
    MonotonicTime m_next; // no call before

    std::optional<ObjectVersion> m_ownVersion; // of the object that this instance wrote last
    std::uint64_t m_fence = 0;
    std::optional<MonotonicTime> m_acquiredAt;
    std::optional<MonotonicTime> m_expiry; // counted from the issue of the last write that took effect
    std::vector<std::pair<std::string, MonotonicTime>> m_unsettled; // writes without an answer, by renewal

    ObjectVersion m_seenVersion = 0;
    MonotonicTime m_seenAt;
    std::string m_seenHolder;
    std::uint64_t m_serial = 0;
};

} // namespace briarwharf
