#pragma once

#include "base/time.h"
#include "request/placement.h"
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Keeps what this instance sent to each upstream, by time, beside the latest load reports of one pool, and
// derives the load fields of `UpstreamView`. A report lags; the ledger adds what this instance sent and
// finished since it was measured, and what the peers are likely to have added: the growth of the whole pool
// (from successive reports) during the report's age. The pool's growth is used because one upstream's
// growth over a second is mostly noise, while reports of different ages are comparable only after a surge's
// growth has been added to the older ones.
class LoadLedger {
public:
    // `outputTokens` is the part of `tokens` that may be generated; 0: not known.
    void sent(UpstreamId, std::int64_t tokens, MonotonicTime now, std::int64_t outputTokens = 0);

    // The request ended in any way. `tokens` as given to sent().
    void finished(UpstreamId, std::int64_t tokens, MonotonicTime now);

    // A report, from the load table or from an upstream's answer. Older ones than the latest are ignored.
    void report(UpstreamId, std::int64_t tokens, MonotonicTime measuredAt);

    // A peer says that its tokens in progress changed at that time. Worth the traffic among a few instances
    // and for large requests; the growth of the pool stands for what is not noticed.
    void peerChanged(UpstreamId, std::int64_t tokens, MonotonicTime at);

    // Sets the load fields of views whose id is set; leaves id, weight, use and localSlots. Fastest if the
    // views keep their order from call to call.
    void fill(std::span<UpstreamView>, MonotonicTime now) const;

    // The mean of outputTokens over recent requests, each weighted by its part of the load: its tokens times
    // its duration, which grows with the output. 0: not known.
    std::int64_t typicalOutputTokens() const;

    void removeUpstream(UpstreamId);

private:
    static constexpr Milliseconds bucketLength { 100 };
    static constexpr std::size_t maxBuckets = 64; // for each upstream; 6.4 s, older than reports in use

    struct Bucket {
        std::int64_t slot = 0;
        std::int64_t tokens = 0;
    };

    // Changes by time; the oldest are dropped.
    class Changes {
    public:
        void add(std::int64_t tokens, MonotonicTime at);
        std::int64_t since(MonotonicTime) const;

    private:
        std::int64_t m_lastSlot = 0; // spares a look at the buckets when the last change is old
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

    double growth() const; // of the peers' part, tokens per second and upstream
    static std::int64_t slotOf(MonotonicTime);
    void learnGrowth(const Entry&, std::int64_t tokens, MonotonicTime measuredAt);

    Entry& entryOf(UpstreamId);
    const Entry* find(UpstreamId, std::size_t expectedIndex) const;
    void fillFrom(const Entry&, MonotonicTime now, UpstreamView&) const;

    std::vector<Entry> m_entries;
    std::unordered_map<UpstreamId, std::size_t> m_index;
    double m_recentLoad = 0; // sum of tokens times output of recent requests, fading
    double m_recentOutput = 0; // the same times the output once more
    double m_grownTokens
        = 0; // sums over recent reports, fading; their quotient is less noisy than a mean of rates
    double m_grownSeconds = 0;
};

} // namespace briarwharf
