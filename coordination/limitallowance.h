#pragma once

#include "base/time.h"
#include <cstddef>
#include <cstdint>
#include <deque>

namespace briarwharf {

// The demand for an upstream with a limit, in requests per second, and which instances are included.
struct LimitedDemand {
    double own = 0; // of this instance
    double total = 0; // of the covered instances
    std::size_t covered = 1;
    std::size_t instances = 1; // in the fleet
    // The latest demand for all upstreams with limits over the demand in the window of the other estimates.
    double surge = 1;
};

// How far the requests of all instances to an upstream may exceed a limit.
struct LimitBound {
    Milliseconds window { 4000 };
    double factor = 1.5; // of the requests that the limit allows in the window
    double extra = 5; // requests

    double windowSeconds() const;
    // Requests in any span of time as long as the window.
    double requests(double limit) const { return factor * limit * windowSeconds() + extra; }
};

// The place of an instance in the order in which the fleet's instances may use a limit.
struct InstanceRank {
    std::size_t rank = 0; // from 0
    std::size_t instances = 1; // in the fleet
};

// What one instance may send to an upstream that limits the requests of all instances together, so that they
// keep the limit for any demand: in no span of time more than LimitBound allows.
//
// Where that bound permits each instance one request at any time, each has a token bucket of its own. The
// rates follow the demand and add up to less than the limit, and the sizes to less than the rest of the
// bound. Larger fleets admit the same ratio of the demand everywhere. The use of the limit leaves room for
// the random fluctuation of the sum. An instance there that knows nothing of the others may send one request
// in a few spans of time, which differ from instance to instance.
//
// A bound that has to hold without any message uses updateAlone() in place of update(): each instance has a
// bucket that depends only on its rank. If the bound is below one request per instance, the first ranks have
// one request each and the others none.
class LimitAllowance {
public:
    // `phase` is a hash that differs between instances and upstreams.
    explicit LimitAllowance(std::uint64_t phase);

    // Call it about every 100 ms. `limit` is in requests per second.
    void update(double limit, const LimitedDemand&, MonotonicTime now);

    // The same without knowledge of the demand. The sum over all instances keeps to the bound for any demand,
    // as long as no two of them have the same rank.
    void updateAlone(double limit, const LimitBound&, const InstanceRank&, MonotonicTime now);

    // Whether take() would succeed, after updateAlone().
    bool isReady() const { return m_tokens >= 1; }

    // Whether a request may be sent now; deducts it.
    bool take(MonotonicTime now);

    // Estimated time until a request may be sent.
    Milliseconds retryAfter() const;

    // The part of a limit that the instances use together, in requests per second.
    static double usableRate(double limit, std::size_t instances);

private:
    struct DemandSample {
        MonotonicTime at;
        double demand = 0;
    };

    double passedOnDemand(double own, MonotonicTime now);
    void updateBucket(double limit, const LimitedDemand&, MonotonicTime now);
    void refill(MonotonicTime now);
    bool takeFromBucket();
    bool takeAlone(MonotonicTime now);

    std::uint64_t m_phase;
    std::deque<DemandSample> m_samples; // of this instance's demand
    MonotonicTime m_updated;
    double m_rate = 0; // of the bucket, in requests per second
    double m_size = 0; // of the bucket, in requests
    double m_tokens = 0;
    bool m_ownBucket = false; // each instance may keep to its bucket alone
    bool m_alone = false; // knows nothing of the others
    double m_openShare = 0; // of the spans in which an instance alone may send a request
    std::int64_t m_lastOpenSpan = -1;
    double m_ratio = 1; // of the demand that is admitted
    double m_credit = 0; // requests
};

} // namespace briarwharf
