#pragma once

#include "base/time.h"
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// An upstream ended while it was to answer a prompt with the segment.
struct SegmentCrash {
    std::uint64_t segment = 0;
    std::uint32_t upstream = 0; // hash of the upstream's id and start time
    MonotonicTime at;
};

// An upstream has been answering a prompt with the segment since `at`, and has not ended.
struct SegmentAnswer {
    std::uint64_t segment = 0;
    MonotonicTime at;
};

struct CrashEvidenceOptions {
    // Crashes of different upstreams, without an answer since the first of them, that make a segment suspect.
    std::size_t minCrashes = 3;
    // Upstreams that crash within this time of each other count as one incident, which may have a cause other
    // than the request, such as a power failure. After fewer than minCrashes incidents a segment is suspect
    // only if there has been no answer for `settleTime`.
    Milliseconds incidentGap { 250 };
    Milliseconds settleTime { 1200 };
    // A segment stays suspect for `firstTerm` after its last crash; the term doubles with each crash beyond
    // minCrashes.
    Milliseconds firstTerm { std::chrono::minutes(10) };
    Milliseconds maxTerm { std::chrono::hours(6) };
    Milliseconds crashRetention { std::chrono::minutes(10) }; // of segments that are not suspect
    Milliseconds suspectRetention { std::chrono::hours(24) };
    Milliseconds answerRetention { std::chrono::minutes(10) };
    std::size_t maxCrashesPerSegment = 16; // the latest ones
    std::size_t maxSegments = 4096;
};

// Segments that were in the prompts of the same crashes, so that any of them may be the cause.
struct SuspectGroup {
    std::vector<std::uint64_t> segments; // in ascending order
    std::vector<std::uint32_t> upstreams; // that crashed; in ascending order
    MonotonicTime lastCrash;
    MonotonicTime termEnd;

    bool operator==(const SuspectGroup&) const = default;
};

// Finds the prompt segments that crash the upstreams which answer them. A crash accuses every shared segment
// of every prompt that waited at the upstream; an answer clears the segments of its prompt, because a segment
// that crashes upstreams is never answered. Of the segments that remain, one whose crashes are all among
// those of another is not suspect: the other one explains them.
class CrashEvidence {
public:
    explicit CrashEvidence(CrashEvidenceOptions options = {})
        : m_options(options)
    {
    }

    // Both return false if the record adds nothing to what is known.
    bool add(const SegmentCrash&);
    bool add(const SegmentAnswer&);

    // Forgets evidence that is too old.
    void expire(MonotonicTime now);

    bool empty() const { return m_segments.empty(); }
    std::size_t size() const { return m_segments.size(); }
    bool contains(const SegmentCrash&) const;

    // A request whose prompt has all segments of a group is likely to crash its upstream.
    std::vector<SuspectGroup> suspects(MonotonicTime now) const;

private:
    struct Crash {
        std::uint32_t upstream = 0;
        MonotonicTime at;
    };
    struct Segment {
        std::vector<Crash> crashes; // in order of time
        MonotonicTime answeredAt; // start of the latest answer
    };

    bool isSuspect(const Segment&, MonotonicTime now) const;
    bool isExplained(const Segment&) const;
    std::size_t incidents(const Segment&) const;
    Milliseconds termAfter(std::size_t crashes) const;
    void makeRoom();

    CrashEvidenceOptions m_options;
    std::unordered_map<std::uint64_t, Segment> m_segments;
};

} // namespace briarwharf
