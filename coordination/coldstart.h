#pragma once

#include "base/time.h"
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// What the directory and the configuration say about the start of a listed upstream.
struct ListedStart {
    std::uint32_t upstream = 0; // hash of the upstream's id and start time
    std::optional<MonotonicTime> coldUntil; // nullopt: the entry does not state it
    Milliseconds coldDuration { 0 }; // after a start; 0: unknown
};

// Determines until when upstreams are cold: by their entries, by their answers and, for one that starts while
// this instance runs and whose entry states nothing, by the duration that the configuration states.
//
//   starts.setUpstreams(listed, now);          // with each change of the list
//   starts.answered(upstream, remaining, now);
//   MonotonicTime until = starts.coldUntil(upstream);
class ColdStarts {
public:
    // The first list has the upstreams that ran before this instance: none of them counts as newly started.
    void setUpstreams(const std::vector<ListedStart>&, MonotonicTime now);

    // An answer stated that the upstream stays cold for this long. It never shortens the time, because it may
    // have been written before the upstream became cold again.
    void answered(std::uint32_t upstream, Milliseconds remaining, MonotonicTime now);

    MonotonicTime coldUntil(std::uint32_t upstream) const;

private:
    struct Start {
        MonotonicTime byEntry;
        MonotonicTime byStart;
        MonotonicTime byAnswer;
        MonotonicTime listedAt; // last
    };

    bool m_isListed = false;
    std::unordered_map<std::uint32_t, Start> m_starts;
};

} // namespace briarwharf
