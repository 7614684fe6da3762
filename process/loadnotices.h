#pragma once

#include "process/peers.h"
#include "process/router.h"
#include <vector>

namespace briarwharf {

// Tells the linked instances about large requests that the load reports do not show yet, so that a burst
// through several instances within one report's lag is seen. Only in a small fleet: the traffic of an
// instance grows with the number of instances, and in a large one each request is a small part of the load.
class LoadNoticeService {
public:
    LoadNoticeService(PeerService&, Router&);

    // The tokens in progress from this instance changed by `tokens`.
    void changed(const UpstreamRuntime&, std::int64_t tokens);

    void receive(const PeerFrameT&);

    // Sends what has gathered; call it about every 200 ms.
    void flush();

private:
    struct Change {
        std::uint32_t upstream = 0;
        std::int64_t tokens = 0;
        MonotonicTime at;
    };

    PeerService& m_peers;
    Router& m_router;
    std::vector<Change> m_changes;
};

} // namespace briarwharf
