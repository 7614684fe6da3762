#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "coordination/reportorder.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwharf {

// A longer remaining time counts as this one: no upstream takes longer to warm up.
constexpr Milliseconds maxColdTime { 600'000 };

// An upstream as it registered itself.
struct UpstreamEntry {
    std::string id; // may be reused after a restart; `started` then differs
    std::string pool;
    Endpoint endpoint;
    std::string failureDomain;
    int slots = 1; // maximum number of concurrent requests
    bool draining = false; // announced that it will leave; gets no new work
    // Missing from the registry without a drain; gets work only if there is no other upstream.
    bool lapsed = false;
    std::int64_t started = 0; // Unix milliseconds; 0: not stated
    // Counts the upstream's reports since `started`. Of a ready upstream it may be that of an earlier report:
    // the registry passes on only those that change more than the number.
    std::optional<std::uint64_t> sequence;
    std::uint64_t revision = 0; // the registry's revision at which the entry last changed
    // How much longer the upstream is cold, when the entry was written or sent; nullopt: not stated.
    std::optional<Milliseconds> coldRemaining;
    MonotonicTime coldUntil; // the same by this instance's clock; set by the directory

    ReportOrder order() const { return { started, sequence }; }
    bool operator==(const UpstreamEntry&) const = default;
};

// An entry that was removed from the registry.
struct RemovedUpstream {
    std::string id;
    std::uint64_t revision = 0;
};

// An upstream that announced its draining, or whose entry vanished. The registry may list it as ready again
// without a newer report: after its restore from an older copy, or if it carries out an earlier write late.
struct UpstreamDeparture {
    std::uint64_t upstream = 0; // hash of its id
    std::int64_t started = 0; // as in its entry
    std::uint64_t revision = 0; // at which it became known
    bool draining = false; // announced, which is final; an entry that only vanished may come back
    std::optional<std::uint64_t> sequence; // as in its entry

    ReportOrder order() const { return { started, sequence }; }
};

// Changes in the registry after a revision.
struct DirectoryChanges {
    std::uint64_t from = 0; // 0: the complete list; ids that are not in it were removed
    std::uint64_t revision = 0;
    std::vector<UpstreamEntry> entries;
    std::vector<RemovedUpstream> removed;
};

// Sets the remaining cold times to those at `now`, by the times that the directory recorded.
void updateColdRemaining(DirectoryChanges&, MonotonicTime now);

struct DirectoryOptions {
    // An entry that disappears without a drain may be missing only because the upstream could not reach the
    // registry. It is kept as lapsed for this time. Upstreams that did leave continue to serve for longer
    // than this, so work that is sent to a lapsed one is still accepted.
    Milliseconds lapseHold { 1700 };
    std::size_t maxKeptRemovals = 4096; // kept for peers that are behind
    // In place of lapseHold, for entries that a registry lost when it was restored from an older copy: the
    // upstreams write them again.
    Milliseconds restoreHold { 3000 };
    // An entry that contradicts what is known of its upstream is in doubt for this time, unless it changes.
    // By then the registry has removed those whose upstream is gone, and a live upstream has written again.
    Milliseconds doubtPeriod { 10000 };
    std::size_t maxDepartures = 4096; // remembered; the oldest are forgotten first
};

// The upstreams in force, and the recent changes for peers that request them. Drains and removals take effect
// as soon as they are received, from the source or from a peer; revisions only increase, in the order of
// coordination/registryrevision.h. By that order an entry may be newer although its upstream wrote it
// earlier: after a restore of the registry from an older copy, or if a write was carried out late. The order
// of the upstream's own reports decides then, and departures that were known before still hold.
class UpstreamDirectory {
public:
    explicit UpstreamDirectory(DirectoryOptions);

    // Applies changes that the source or a peer reports. Changes that are older than the revision in force,
    // or that start after it, are ignored. Returns true if anything changed.
    bool apply(const DirectoryChanges&, MonotonicTime now);

    // Removes lapsed entries whose hold time has ended, and accepts those whose doubt period has ended.
    // Returns true if there were any.
    bool expire(MonotonicTime now);
    // To be called while the state in force is not confirmed as the newest: the doubt periods begin anew.
    void extendDoubts(MonotonicTime now);

    // Adds a departure that a peer knows. Returns true if an upstream in force changed.
    bool learn(const UpstreamDeparture&, MonotonicTime now);
    // The departures, since the last call, that the registry contradicts or that a peer added. The other
    // instances may not know them although they have the same revision.
    std::vector<UpstreamDeparture> takeContradicted() { return std::exchange(m_contradicted, {}); }

    // Changes after revision `from`; the complete list if the removals since then are no longer known.
    DirectoryChanges changesSince(std::uint64_t from) const;

    // The upstreams in force, by id.
    const std::map<std::string, UpstreamEntry>& upstreams() const { return m_upstreams; }
    std::uint64_t revision() const { return m_revision; }
    bool loaded() const { return m_revision > 0; }

private:
    struct Hold {
        MonotonicTime until;
        std::uint64_t revision = 0; // latest revision at which the entry was reported missing
    };
    // An entry that contradicts a later report or a departure of its upstream, which hold meanwhile.
    struct Doubt {
        UpstreamEntry listed; // as in the registry
        MonotonicTime until; // accepted then
    };
    // What a listed entry means for its upstream.
    struct Verdict {
        UpstreamEntry entry; // to be in force
        const UpstreamDeparture* departure = nullptr; // that the listed entry contradicts
        std::optional<MonotonicTime> doubtUntil;
    };

    bool replace(const std::vector<UpstreamEntry>&, std::uint64_t revision, MonotonicTime now);
    void setRevision(std::uint64_t, MonotonicTime now);
    bool isGenerationDoubtOver(MonotonicTime now) const { return now >= m_doubtEnd; }
    bool addOrUpdate(const UpstreamEntry&, MonotonicTime now);
    bool isOutdated(const UpstreamEntry& listed) const;
    Verdict judge(const UpstreamEntry& listed, const UpstreamEntry* known, MonotonicTime now) const;
    bool enforce(const UpstreamEntry& listed, const Verdict&);
    bool isInDoubt(const UpstreamEntry& listed) const;
    const UpstreamDeparture* contradictedDeparture(const UpstreamEntry&, MonotonicTime now) const;
    bool contradicts(const UpstreamEntry&, const UpstreamDeparture&, MonotonicTime now) const;
    void accept(const UpstreamEntry&);
    void recordDeparture(const UpstreamEntry&, std::uint64_t revision);
    void insertDeparture(const UpstreamDeparture&);
    bool isNews(const UpstreamDeparture&) const;
    std::map<std::string, UpstreamEntry>::const_iterator findByHash(std::uint64_t hash) const;
    bool handleRemoval(const std::string& id, std::uint64_t revision, MonotonicTime now);
    void removeNow(const std::string& id, std::uint64_t revision);
    void recordRemoval(const std::string& id, std::uint64_t revision);
    void recordListGap(std::uint64_t from, std::uint64_t to);

    DirectoryOptions m_options;
    std::map<std::string, UpstreamEntry> m_upstreams;
    std::map<std::string, Hold> m_held; // lapsed entries, by id
    std::map<std::string, Doubt> m_doubts; // by id
    std::unordered_map<std::uint64_t, UpstreamDeparture> m_departures; // by hash of the id
    std::deque<std::uint64_t> m_departureOrder; // hashes of ids, in the order in which they were added
    std::vector<UpstreamDeparture> m_contradicted; // not taken yet
    std::map<std::uint64_t, std::vector<std::string>> m_removed; // ids, by the revision of their removal
    std::size_t m_removedCount = 0;
    std::uint64_t m_removalsKnownSince = 0; // removals after this revision are known, except within gaps
    // Revision of a complete list -> the revision in force before it.
    std::map<std::uint64_t, std::uint64_t> m_gaps;
    std::uint64_t m_revision = 0;
    std::uint64_t m_generationStart = 0; // the first revision in force here in its generation
    MonotonicTime m_doubtEnd; // of entries that contradict departures of earlier generations
};

} // namespace briarwharf
