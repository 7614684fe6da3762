#pragma once

#include "process/peers.h"
#include "process/router.h"
#include <vector>

namespace briarwharf {

// Notifies the linked instances of large requests that the load reports do not include yet, so that placement
// takes a burst into account that arrives through several instances before the next report. Works only in a
// small fleet: the notice traffic of each instance grows with the number of instances, and in a large fleet a
// single request is a small share of the load.
class LoadNoticeService {
public:
    LoadNoticeService(PeerService&, Router&);

    // The tokens in progress from this instance at the upstream changed by `tokens`.
    void loadChanged(const UpstreamRuntime&, std::int64_t tokens);

    void receive(const PeerFrameT&);

    // Sends the changes since the last call. Call it about every 200 ms.
    void flush();

private:
    struct Change {
        std::uint32_t upstream = 0;
        std::int64_t tokens = 0;
        MonotonicTime changedAt;
    };

    PeerService& m_peers;
    Router& m_router;
    std::vector<Change> m_changes;
};

} // namespace briarwharf
