#pragma once

#include "connection/connection.h"
#include "coordination/coordination.h"
#include "process/forwardheaders.h"
#include "process/forwardmetrics.h"
#include "request/request.h"
#include "version/version.h"
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

struct ForwarderSettings {
    std::string failureDomain; // of this instance
    CostSettings cost;
    FleetBudgetSettings budget;
    AttemptLimits attempts;
    // Unsent bytes for a slow caller before reading from the upstream pauses.
    std::size_t streamBufferBytes = 256 * 1024;
    // A whole answer up to this size is held back until it is complete, so that it can be asked for again.
    std::size_t maxBufferedAnswerBytes = 512 * 1024;
};

struct ForwarderCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // whole answers of upstreams, failures included
    std::uint64_t refused = 0; // 503: not run
    std::uint64_t failed = 0; // 502 and 504: may have run
    std::uint64_t cut = 0; // answers that began and did not end
    std::uint64_t repeats = 0; // attempts beyond the first
    std::uint64_t resumes = 0; // of these, continued streams
    std::uint64_t callersLeft = 0;
};

class ForwardedRequest;

// Forwards callers' requests to the upstreams of their route's pool.
//
//   Forwarder forwarder(base, settings, headers, work, health, metrics);
//   forwarder.setRouting(table);                 // a version of the configuration
//   forwarder.setUpstreams(directory.upstreams());
//   forwarder.handle(std::move(request), caller);
class Forwarder {
public:
    Forwarder(event_base*, ForwarderSettings, ForwardingHeaders, InProgressTable&, UpstreamHealth&,
        ForwardMetrics&);
    ~Forwarder();
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    void setRouting(std::shared_ptr<const RoutingTable>);
    void setUpstreams(const std::map<std::string, UpstreamEntry>&, std::uint64_t revision);
    void setInstances(std::size_t instances);
    // From now on, requests that are not expected to end by then are refused, so that none is cut.
    void setShutdownDeadline(MonotonicTime deadline) { m_shutdownDeadline = deadline; }
    void setBudget(const FleetBudgetSettings& settings) { m_budget.setSettings(settings); }

    // Both a configuration and a list of upstreams are in force.
    bool isReady() const { return m_routing && m_directoryRevision > 0; }

    void handle(IngressRequest, CallerExchange&);

    std::size_t requestsInProgress() const { return m_requests.size(); }
    const ForwarderCounters& counters() const { return m_counters; }
    const HttpPoolCounters& connectionCounters() const { return m_connections.counters(); }
    const RoutingTable* routing() const { return m_routing.get(); }

private:
    friend class ForwardedRequest;

    // What is known of one upstream at run time.
    struct Upstream {
        UpstreamEntry entry;
        std::uint32_t hash = 0;
        MonotonicTime lastByteAt; // any byte on any connection
        MonotonicTime avoidUntil; // after a refusal
        double slowness = 1; // time to the first byte over what was expected, smoothed
        MonotonicTime slownessUpdatedAt; // of the last observation

        void updateSlowness(double ratio, double weight, MonotonicTime now);
        double decayedSlowness(MonotonicTime now) const;
    };
    struct Pool {
        std::vector<std::shared_ptr<Upstream>> upstreams;
    };

    std::vector<std::shared_ptr<Upstream>> usable(
        const std::string& pool, const std::vector<std::string>& tried) const;
    UpstreamCandidate candidate(const Upstream&, MonotonicTime now) const;
    std::size_t connectionLimit(const RoutedPool*) const;
    void finished(ForwardedRequest&);
    void checkTimeouts();

    event_base* m_base;
    ForwarderSettings m_settings;
    ForwardingHeaders m_headers;
    InProgressTable& m_inProgress;
    UpstreamHealth& m_health;
    ForwardMetrics& m_metrics;
    HttpPool m_connections;
    CostPlacement m_placement;
    FleetBudget m_budget;
    FirstByteForecast m_forecast;
    ForwarderCounters m_counters;
    std::shared_ptr<const RoutingTable> m_routing;
    std::uint64_t m_directoryRevision = 0;
    std::size_t m_instances = 1;
    std::optional<MonotonicTime> m_shutdownDeadline; // this instance shuts down
    std::map<std::string, std::shared_ptr<Upstream>> m_upstreams; // by id
    std::unordered_map<std::string, Pool> m_pools; // serving upstreams
    std::list<std::unique_ptr<ForwardedRequest>> m_requests;
    std::list<std::unique_ptr<ForwardedRequest>> m_done; // whose functions may still be on the stack
    Timer m_deferredDelete;
    Ticker m_timeoutTicker;
};

} // namespace briarwharf
