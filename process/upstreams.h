#pragma once

#include "connection/upstreamclient.h"
#include "coordination/coordination.h"
#include "request/request.h"
#include "version/index.h"
#include "version/version.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace briarwharf {

// One upstream of the configuration in force, with its client and what this instance measured and polled.
struct UpstreamRuntime {
    Upstream settings;
    UpstreamId id = 0;
    std::uint32_t shortId = 0; // identifies it in messages between instances
    std::unique_ptr<UpstreamClient> client;
    std::uint32_t requestsInProgress = 0; // from this instance

    // When the upstream returned to serving after a drain that emptied it. Its cache was empty at that time.
    std::optional<WallTime> cacheEmptySince;

    // The latest poll by this instance that the upstream answered.
    std::optional<MonotonicTime> polledAt; // when the poll was sent
    bool reportedServing = false;
    std::uint64_t reportedRequestsInProgress = 0; // from all instances

    // The latest poll, which may have failed or be in progress.
    bool pollInProgress = false;
    MonotonicTime pollStarted;
};

// The upstreams of the configuration in force, with their HTTP clients and load polls.
class UpstreamSet {
public:
    // Called after each poll. `reached` is false if the poll failed or its answer has no load.
    using PollCallback = std::function<void(const UpstreamRuntime&, bool reached, std::uint32_t tokens)>;

    UpstreamSet(event_base*, PollCallback);

    // Applies the upstreams of a new revision. An upstream whose address did not change keeps its state and
    // its client.
    void apply(const ConfigIndex&);

    // nullptr for an unknown name or identifier.
    UpstreamRuntime* find(const std::string& name);
    UpstreamRuntime* find(UpstreamId);

    const std::map<std::string, std::shared_ptr<UpstreamRuntime>>& all() const { return m_upstreams; }

    // Requests the load of an engine (GET /load). Does nothing while an earlier poll is in progress.
    void poll(UpstreamRuntime&);

    // Estimated bytes of all polls, for the metric of control traffic.
    std::uint64_t pollBytesSent() const { return m_pollBytesSent; }
    std::uint64_t pollBytesReceived() const { return m_pollBytesReceived; }

private:
    void pollEnded(const std::string& name, bool reached, const std::string& body);

    event_base* m_base;
    std::shared_ptr<HttpPool> m_pool; // of all clients
    PollCallback m_onPolled;
    std::map<std::string, std::shared_ptr<UpstreamRuntime>> m_upstreams;
    std::unordered_map<UpstreamId, UpstreamRuntime*> m_byId;
    std::uint64_t m_pollBytesSent = 0;
    std::uint64_t m_pollBytesReceived = 0;
};

} // namespace briarwharf
