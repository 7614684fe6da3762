#pragma once

#include "coordination/crashevidence.h"
#include "coordination/member.h"
#include "coordination/recentanswers.h"
#include "coordination/recordspread.h"
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace briarwharf {

struct QuarantineOptions {
    CrashEvidenceOptions evidence;
    // Records of 16 bytes in one heartbeat; the others wait for the following heartbeats. Several prompts of
    // a hundred segments each fit into one.
    std::size_t maxRecordsPerHeartbeat = 256;
    // Time after which a trial that ended neither in a crash nor in an answer is repeated.
    Milliseconds weakTrialRetryDelay { 1500 };
    Milliseconds strongTrialRetryDelay { 30000 };
    // Only the owner of a quarantine admits a trial for this long after the term, or after upstreams were
    // first seen to answer since the last crash; then every instance may admit one if there were few crashes.
    Milliseconds weakOwnerTime { 1000 };
    Milliseconds strongOwnerTime { 60000 };
    // A quarantine from before a restart counts as this many crashes at most.
    std::size_t maxRestoredCrashes = 3;
};

// Keeps requests that crash the upstreams which answer them away from the upstreams. All instances share
// their evidence.
//
//   quarantine.recordCrash(segments, upstream, crashedAt, now);   // of a request that waited there
//   quarantine.recordAnswer(segments, answerBegan, now);          // the upstream went on after its first
//   event if (auto retryAfter = quarantine.refuse(segments, now)) ... the request must not be sent
class SegmentQuarantine : public HeartbeatSection {
public:
    explicit SegmentQuarantine(const Membership&, QuarantineOptions options = {});

    // An empty list: no prompt waited there.
    void recordCrash(
        std::span<const std::uint64_t> segments, std::uint32_t upstream, MonotonicTime at, MonotonicTime now);
    void recordAnswer(std::span<const std::uint64_t> segments, MonotonicTime began, MonotonicTime now);

    // Adds evidence from before a restart of the fleet.
    void restore(const std::vector<std::uint64_t>& segments, const std::vector<std::uint32_t>& upstreams,
        MonotonicTime lastCrash, MonotonicTime now);

    // For a request with these segments: the time after which it may be admitted, or an empty value if it is
    // admitted now. When the term of a quarantine has ended, the instance that owns it admits one request as
    // a trial, and later every instance one; a crash then starts a longer term, and an answer ends the
    // quarantine everywhere.
    std::optional<Milliseconds> refuse(std::span<const std::uint64_t> segments, MonotonicTime now);
    // For a request that was admitted at this time and has not run: if it was a trial, another one may be
    // admitted at once. Otherwise the trials that find no upstream during an outage would delay those after
    // it.
    void withdrawTrial(std::span<const std::uint64_t> segments, MonotonicTime admittedAt);
    // Whether requests with these segments are refused, except for trials.
    bool isQuarantined(std::span<const std::uint64_t> segments) const;

    // Call it about every 100 ms.
    void tick(MonotonicTime now);

    const std::vector<SuspectGroup>& groups() const { return m_groups; }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    using Record = std::variant<SegmentCrash, SegmentAnswer>;

    // Since the term of a quarantine ended.
    struct Trials {
        MonotonicTime lastCrash; // of the term that ended
        MonotonicTime answering; // when upstreams were first seen to answer since then
        MonotonicTime latest;
    };

    template <typename Evidence> void add(const Evidence&);
    void addCrash(const SegmentCrash&);
    Milliseconds trialRetryDelay(const SuspectGroup&) const;
    bool mayTry(const SuspectGroup&, const Trials&, MonotonicTime now) const;
    Trials& trialsOf(const SuspectGroup&);
    void updateGroups(MonotonicTime now);
    void dropOutdatedRecords(MonotonicTime now);

    const Membership& m_membership;
    QuarantineOptions m_options;
    CrashEvidence m_evidence;
    std::vector<SuspectGroup> m_groups;
    RecentAnswers m_recentAnswers; // that this instance has seen
    std::map<std::vector<std::uint64_t>, Trials> m_trials; // by the segments of the group
    RecordSpread<Record> m_records;
    bool m_changed = false; // the evidence, since the groups were determined
    MonotonicTime m_lastCleanup;
    std::size_t m_maxRecords; // more are cleaned up at once
};

} // namespace briarwharf
