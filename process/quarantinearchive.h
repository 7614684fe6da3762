#pragma once

#include "coordination/coordination.h"
#include "process/directorysource.h"
#include <map>
#include <vector>

namespace briarwharf {

// Keeps a copy of the quarantines in force in the directory's source, for the case that all instances restart
// at the same time; a single one gets them from its peers. The instance that owns a quarantine writes it.
//
//   QuarantineArchive archive(membership, quarantine, source);
//   archive.restore(saved, now, wallNow);   // at the start, and when the source was restored
//   archive.sourceRestored();               // from an older copy
//   archive.tick(now, wallNow);             // about every 100 ms
class QuarantineArchive {
public:
    QuarantineArchive(const Membership&, SegmentQuarantine&, DirectorySource&);

    // Takes over the saved quarantines. Only those of the first call take effect: if a later one is not in
    // force, it ended, and is removed again.
    void restore(const std::vector<SavedQuarantine>&, MonotonicTime now, WallTime wallNow);
    // Saves the quarantines in force again.
    void sourceRestored();
    void tick(MonotonicTime now, WallTime wallNow);

private:
    using Segments = std::vector<std::uint64_t>;

    // What this instance knows of the copy of one quarantine.
    struct Copy {
        std::vector<std::uint32_t> seenUpstreams; // of the quarantine, when it last changed
        MonotonicTime changedAt;
        std::vector<std::uint32_t> savedUpstreams; // empty: not saved by this instance
        bool writing = false;
        bool returned = false; // saved, although the quarantine ended
        MonotonicTime nextAttempt;
    };

    const SuspectGroup* inForce(const Segments&) const;
    void save(Copy&, const SuspectGroup&, MonotonicTime now, WallTime wallNow);
    void remove(Copy&, const Segments&, MonotonicTime now);
    void written(const Segments&, const Status&, std::vector<std::uint32_t> saved);

    const Membership& m_membership;
    SegmentQuarantine& m_quarantine;
    DirectorySource& m_source;
    std::map<Segments, Copy> m_copies;
    bool m_restored = false; // once
    std::uint64_t m_sourceRestores = 0;
};

} // namespace briarwharf
