#pragma once

#include "base/time.h"
#include "request/placement.h"
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Records by time what this instance sent to each upstream, keeps the latest load reports of the upstreams of
// one pool, and derives the load fields of `UpstreamView`. A report is out of date when it arrives. The
// ledger therefore adds what this instance sent and finished since the report was measured, and the load that
// the peers have probably added: the growth of the whole pool (from successive reports) over the age of the
// report. The growth of the pool is used because the growth of one upstream over a second is mostly noise,
// and because in a surge reports of different ages are comparable only after the growth has been added to the
// older ones.
class LoadLedger {
public:
    // Records that a request was sent. `outputTokens` is the maximum that may be generated, which is included
    // in `tokens`; 0 if it is not known.
    void sent(UpstreamId, std::int64_t tokens, MonotonicTime now, std::int64_t outputTokens = 0);

    // Records that a request has ended, with any outcome. `tokens` must be as given to sent().
    void finished(UpstreamId, std::int64_t tokens, MonotonicTime now);

    // Records a report, from the load table or from an upstream's answer. A report that is not newer than the
    // latest one is ignored.
    void report(UpstreamId, std::int64_t tokens, MonotonicTime measuredAt);

    // Records that, as a peer notified, its tokens in progress changed at the given time. Such notices are
    // worth their traffic among a few instances and for large requests; the growth of the pool accounts for
    // the changes without a notice.
    void peerChanged(UpstreamId, std::int64_t tokens, MonotonicTime at);

    // Sets the load fields of the views, whose `id` must be set. Leaves id, weight, use and localSlots
    // unchanged. Fastest if the views are in the same order on every call.
    void fill(std::span<UpstreamView>, MonotonicTime now) const;

    // The mean of outputTokens over recent requests, each weighted by its share of the load. The load of a
    // request is its tokens times its duration, for which its output stands, because the duration grows with
    // the output. 0 if it is not known.
    std::int64_t typicalOutputTokens() const;

    void removeUpstream(UpstreamId);

private:
    static constexpr Milliseconds bucketLength { 100 };
    static constexpr std::size_t maxBuckets
        = 64; // per upstream; they cover at least 6.4 s, more than the age of reports in use

    struct Bucket {
        std::int64_t slot = 0;
        std::int64_t tokens = 0;
    };

    // Changes of the tokens in progress by time. The oldest changes are dropped.
    class Changes {
    public:
        void add(std::int64_t tokens, MonotonicTime at);
        std::int64_t since(MonotonicTime) const;

    private:
        std::int64_t m_lastSlot = 0; // lets since() skip the buckets when the last change is old
        std::vector<Bucket> m_buckets; // oldest first; only slots with a change
    };

    struct Entry {
        UpstreamId id = 0;
        std::int64_t tokens = 0;
        std::uint32_t requests = 0;
        bool reported = false;
        std::int64_t reportedTokens = 0;
        MonotonicTime measuredAt;
        Changes local;
        Changes peers;
    };

    double peerGrowth() const; // of the peers' tokens, in tokens per second and upstream
    static std::int64_t slotOf(MonotonicTime);
    void updatePeerGrowth(const Entry&, std::int64_t tokens, MonotonicTime measuredAt);

    Entry& entryOf(UpstreamId);
    const Entry* find(UpstreamId, std::size_t expectedIndex) const;
    void fillFrom(const Entry&, MonotonicTime now, UpstreamView&) const;

    std::vector<Entry> m_entries;
    std::unordered_map<UpstreamId, std::size_t> m_index;
    // Exponentially decayed sum, over recent requests, of the weight of their output: tokens times output.
    double m_outputWeightSum = 0;
    double m_weightedOutputSum = 0; // the same sum of the weights times the output
    // Exponentially decayed sums over recent reports. Their quotient is less noisy than a mean of rates.
    double m_grownTokens = 0;
    double m_grownSeconds = 0;
};

} // namespace briarwharf
