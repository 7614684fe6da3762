#pragma once

#include "connection/connection.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace briarwharf {

// Finds out whether an upstream that broke a connection has ended or only closed or lost that connection: an
// upstream that has ended refuses new connections. Collects the prompt segments of all requests that broke
// there at about the same time.
//
//   CrashDetector detector(base, [](std::uint32_t upstream, const auto& segments, MonotonicTime at) { ... });
//   detector.connectionBroke(endpoint, upstream, segments);
class CrashDetector {
public:
    // Called when the upstream is found to have ended, and again for requests that break there shortly after.
    // `segments`: empty if no unanswered request broke there. `at`: when the first connection broke.
    using Callback = std::function<void(
        std::uint32_t upstream, const std::vector<std::uint64_t>& segments, MonotonicTime at)>;

    CrashDetector(event_base*, Callback);
    ~CrashDetector();
    CrashDetector(const CrashDetector&) = delete;
    CrashDetector& operator=(const CrashDetector&) = delete;

    // `upstream`: hash of the id and start time of the upstream. `segments`: of a request that it has not
    // answered; empty if it had.
    void connectionBroke(const Endpoint&, std::uint32_t upstream, std::span<const std::uint64_t> segments);

    // Upstreams that were not looked at because too many broke connections at once.
    std::uint64_t skippedUpstreams() const { return m_skippedUpstreams; }

private:
    class Check;

    void removeFinished();

    event_base* m_base;
    Callback m_callback;
    std::map<std::uint32_t, std::unique_ptr<Check>> m_checks; // by upstream
    std::uint64_t m_skippedUpstreams = 0;
    Timer m_cleanupTimer;
};

} // namespace briarwharf
