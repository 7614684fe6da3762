#pragma once

#include "base/time.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// An upstream ended while it was to answer a prompt with the segment.
struct SegmentCrash {
    std::uint64_t segment = 0;
    std::uint32_t upstream = 0; // hash of the upstream's id and start time
    MonotonicTime at;
};

// Stands for the segment if an upstream ended while no prompt waited for its answer.
constexpr std::uint64_t noSegment = 0x9d5c3f27e1b8460a;

// An upstream has been answering a prompt with the segment since `at`, and has not ended.
struct SegmentAnswer {
    std::uint64_t segment = 0;
    MonotonicTime at;
};

struct CrashEvidenceOptions {
    // Crashes of different upstreams, without an answer since the first of them, that make a segment suspect.
    std::size_t minCrashes = 3;
    // Upstreams that end within this time of each other are one incident, which may have a cause other than
    // the request, such as a power failure. They are two incidents if an answer began between them: not all
    // upstreams were out.
    Milliseconds incidentGap { 250 };
    Milliseconds minIncidentGap { 20 }; // also with an answer in between
    // Evidence, in incidents, of a strong suspicion, and of a weak one after `settleTime` without an answer.
    double strongEvidence = 3;
    double weakEvidence = 0.75;
    Milliseconds settleTime { 1200 };
    // Incidents of which the segment explains a smaller share do not count.
    double minExplainedShare = 0.3;
    // A segment that was answered in this time before its first crash was harmless until then. It needs
    // evidence from that many more incidents.
    Milliseconds recentAnswerTime { std::chrono::seconds(30) };
    double recentAnswerEvidence = 4;
    // A segment stays suspect for its term after its last crash. The term of a strong suspicion grows by
    // `termFactor` with each further incident.
    Milliseconds weakTerm { 1500 };
    Milliseconds strongTerm { std::chrono::seconds(60) };
    int termFactor = 5;
    Milliseconds maxTerm { std::chrono::hours(6) };
    Milliseconds crashRetention { std::chrono::minutes(10) }; // of segments without a strong suspicion
    Milliseconds suspectRetention { std::chrono::hours(24) };
    Milliseconds answerRetention { std::chrono::minutes(10) };
    // News of an answer that is later than the known one by less than this are not passed on.
    Milliseconds answerStep { 1000 };
    std::size_t maxCrashesPerSegment = 32; // the latest ones
    std::size_t maxSegments = 4096;
    std::size_t maxEndedUpstreams = 16384;
    std::size_t maxAnswerTimes = 1024;
};

// Segments that were in the prompts of the same crashes, so that any of them may be the cause.
struct SuspectGroup {
    std::vector<std::uint64_t> segments; // in ascending order
    std::vector<std::uint32_t> upstreams; // that crashed; in ascending order
    MonotonicTime lastCrash;
    MonotonicTime termEnd;
    double evidence = 0; // in incidents
    bool isStrong = false;

    bool operator==(const SuspectGroup&) const = default;
};

// Finds the prompt segments that crash the upstreams which answer them. A crash accuses every shared segment
// of every prompt that waited at the upstream; an answer clears the segments of its prompt, because a segment
// that crashes upstreams is never answered.
//
// What remains is weighed against other causes, such as an outage of many upstreams, a machine that is lost,
// or one upstream that fails after the other. Each of these also ends upstreams at which harmless segments
// wait, so a crash counts for as much as the segment explains.
//
// Upstreams that end together are one incident. It counts for the share of them at which the segment waited,
// since the cause of the others explains these as well.
//
// A segment that was answered shortly before its first crash waits at upstreams anyway, at many of them if
// most prompts of a route share it. The incidents that this makes likely do not count.
//
// Of segments whose crashes are all among those of another, the other one explains them.
class CrashEvidence {
public:
    explicit CrashEvidence(CrashEvidenceOptions options = {})
        : m_options(options)
    {
    }

    // Both return false if the record adds nothing to what is known.
    bool add(const SegmentCrash&);
    bool add(const SegmentAnswer&);
    // Another instance saw an answer of an accused segment begin then. Its news may come before those of the
    // crashes, and still tell incidents from each other.
    void addAnswerTime(MonotonicTime at) { recordAnswerTime(at); }

    // Forgets evidence that is too old.
    void expire(MonotonicTime now);

    bool empty() const { return m_segments.empty(); }
    std::size_t size() const { return m_segments.size(); }
    bool contains(const SegmentCrash&) const;
    // Whether crashes accuse the segment, and no answer later than `at` is known: its news would matter.
    bool needsAnswer(std::uint64_t segment, MonotonicTime at) const;

    // A request whose prompt has all segments of a group is likely to crash its upstream.
    std::vector<SuspectGroup> suspects(MonotonicTime now) const;

private:
    struct Crash {
        std::uint32_t upstream = 0;
        MonotonicTime at;
    };
    // The segment with the least rank is forgotten first.
    struct Rank {
        std::size_t crashes = 0;
        MonotonicTime at; // of the latest crash, or of the answer
        std::uint64_t use = 0; // counts the records; of the latest one of the segment

        bool operator<(const Rank& other) const
        {
            return std::tie(crashes, at, use) < std::tie(other.crashes, other.at, other.use);
        }
    };
    struct Segment {
        std::vector<Crash> crashes; // in order of time
        MonotonicTime answeredAt; // start of the latest answer
        Rank rank; // in m_ranks
    };
    using Times = std::vector<MonotonicTime>; // in ascending order

    void recordEnd(const SegmentCrash&);
    void recordAnswerTime(MonotonicTime);
    Times endTimes() const;
    bool expire(Segment&, const Times& ends, MonotonicTime now) const;
    bool wasAnsweredBefore(const Segment&) const;
    double evidence(const Segment&, const Times& ends) const;
    bool startsIncident(const Crash&, MonotonicTime lastCounted) const;
    double explainedShare(const Segment&, const Crash&, const Times& ends) const;
    bool isSuspect(const Segment&, double evidence, MonotonicTime now) const;
    Milliseconds term(double evidence) const;
    Segment& findOrInsert(std::uint64_t segment);
    bool insert(const SegmentCrash&, Segment&) const;
    void updateRank(std::uint64_t id, Segment&);
    void makeRoom();

    CrashEvidenceOptions m_options;
    std::unordered_map<std::uint64_t, Segment> m_segments;
    std::map<Rank, std::uint64_t> m_ranks; // segments
    std::uint64_t m_uses = 0;
    std::unordered_map<std::uint32_t, MonotonicTime>
        m_ends; // by upstream: when it was first seen to have ended
    std::set<MonotonicTime> m_answerTimes; // starts of answers to any accused segment, the latest ones
};

} // namespace briarwharf
