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

// One upstream of the configuration in force, with what this instance knows of it.
struct UpstreamRuntime {
    Upstream settings;
    UpstreamId id = 0;
    std::uint32_t shortId = 0; // in messages between instances
    std::unique_ptr<UpstreamClient> client;
    std::uint32_t requestsInProgress = 0; // from this instance

    // When it came back from a drain in which it was emptied; its cache is then empty.
    std::optional<WallTime> cacheLostAt;

    // This instance's own latest poll.
    std::optional<MonotonicTime> polledAt;
    bool reportedServing = false;
    std::uint64_t reportedRequestsInProgress = 0; // in progress, from all instances
    bool polling = false;
    MonotonicTime pollStarted;
};

// The upstreams of the configuration in force, their HTTP clients and the polls of their load.
class UpstreamSet {
public:
    // Called after each poll, successful or not.
    using PollCallback = std::function<void(const UpstreamRuntime&, bool reached, std::uint32_t tokens)>;

    UpstreamSet(event_base*, PollCallback);

    // Takes over the upstreams of a new revision. A client is kept while its address stays the same.
    void apply(const ConfigIndex&);

    // nullptr for an unknown name or id.
    UpstreamRuntime* find(const std::string& name);
    UpstreamRuntime* find(UpstreamId);

    const std::map<std::string, std::shared_ptr<UpstreamRuntime>>& all() const { return m_upstreams; }

    // Asks an engine for its load (GET /load); does nothing while an earlier poll is open.
    void poll(UpstreamRuntime&);

    // Bytes of polls, for the control-traffic count.
    std::uint64_t pollBytesSent() const { return m_pollBytesSent; }
    std::uint64_t pollBytesReceived() const { return m_pollBytesReceived; }

private:
    void pollEnded(const std::string& name, bool reached, const std::string& body);

    event_base* m_base;
    PollCallback m_onPolled;
    std::map<std::string, std::shared_ptr<UpstreamRuntime>> m_upstreams;
    std::unordered_map<UpstreamId, UpstreamRuntime*> m_byId;
    std::uint64_t m_pollBytesSent = 0;
    std::uint64_t m_pollBytesReceived = 0;
};

} // namespace briarwharf
