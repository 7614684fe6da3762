#pragma once

#include "connection/connection.h"
#include "coordination/coordination.h"
#include "process/crashdetector.h"
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
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

struct ForwarderSettings {
    std::string failureDomain; // of this instance; upstreams in it are preferred
    CostSettings cost;
    FleetRetryBudgetSettings budget;
    AttemptLimits attempts;
    HedgeSettings hedging;
    // Reading from the upstream pauses while more than this many bytes wait to be sent to a slow caller.
    std::size_t streamBufferBytes = 256 * 1024;
    // Answers up to this size, streams excepted, are buffered until they are complete, so that another
    // upstream can be tried if one breaks off.
    std::size_t maxBufferedAnswerBytes = 512 * 1024;
    // Incomplete answers and events of all requests together. An answer that exceeds it is given up as
    // broken, unless it is small.
    std::size_t maxBufferedBytes = 24 * 1024 * 1024;
    bool fairShares = false; // among the organisations at a pool of plain services that cannot serve all
    std::size_t maxUpstreamConnections = 0; // to all upstreams; 0 for no limit
    std::shared_ptr<MemoryBudget> memory; // of the process; null: only maxBufferedBytes limits
};

struct ForwarderCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; // complete answers of upstreams, failures included
    std::uint64_t refused = 0; // 503: the request did not run
    std::uint64_t failed = 0; // 502 and 504: the request may have run
    std::uint64_t cut = 0; // answers of which only a part was sent to the caller
    std::uint64_t repeats = 0; // attempts after the first one of a request
    std::uint64_t resumes = 0; // repeats that continued a stream at another upstream
    std::uint64_t hedges = 0; // repeats that were sent while the first attempt was in progress
    std::uint64_t hedgesWon = 0; // hedges whose answer the caller got
    std::uint64_t callersLeft = 0;
    std::uint64_t quarantined = 0; // refused because of a segment that crashes upstreams
    std::uint64_t malformedSegments = 0; // entries of callers' lists of segments that were left out
    std::uint64_t pauses = 0; // that upstreams asked for
    std::uint64_t overLimits = 0; // refused because no upstream takes more requests at present
    std::uint64_t overShare = 0; // refused because the organisation has its share of a scarce pool
    std::uint64_t tooLate = 0; // refused because the pool's queues are longer than the time left
};

// What the forwarder shares with other instances.
struct SharedState {
    InProgressTable& inProgress;
    UpstreamHealth& health;
    SegmentQuarantine& quarantine;
    UpstreamLimits& limits;
    PoolShares& shares;
};

class ForwardedRequest;

// Identifies one process of an upstream among instances: differs after a restart.
std::uint32_t upstreamLifetimeHash(const UpstreamEntry&);

// Forwards callers' requests to the upstreams of their route's pool.
//
//   Forwarder forwarder(base, settings, headers, { work, health, quarantine, limits, shares }, metrics);
//   forwarder.setRouting(table);                 // each new version of the configuration
//   forwarder.setUpstreams(directory.upstreams(), directory.revision());
//   forwarder.handle(std::move(request), caller);
class Forwarder {
public:
    Forwarder(event_base*, ForwarderSettings, ForwardingHeaders, SharedState, ForwardMetrics&);
    ~Forwarder();
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    void setRouting(std::shared_ptr<const RoutingTable>);
    void setUpstreams(const std::map<std::string, UpstreamEntry>&, std::uint64_t revision);
    // Sends nothing more to the upstreams of these failure domains. What is in progress there goes on.
    void setEvacuatedDomains(std::set<std::string>);
    // Refuses requests until setEvacuatedDomains() is called.
    void awaitEvacuatedDomains() { m_awaitsEvacuatedDomains = true; }
    void setInstances(std::size_t instances);
    // Tells the shares of scarce pools how full the pools are. Call it before each tick of the shares.
    void updatePoolStates(MonotonicTime now);
    // From now on, refuses requests that are not expected to end by `deadline`, so that none is cut off.
    // Requests that must not run twice, and from `estimateUntil` on all, are refused even if only their
    // longest duration would exceed it.
    void setShutdownDeadline(MonotonicTime deadline, MonotonicTime estimateUntil)
    {
        m_shutdownDeadline = deadline;
        m_shutdownEstimateUntil = estimateUntil;
    }
    // Ends all requests in progress. Each caller whose answer has not begun gets one.
    void endRequests();
    void setMaxBufferedBytes(std::size_t bytes) { m_settings.maxBufferedBytes = bytes; }
    void setBudget(const FleetRetryBudgetSettings& settings) { m_budget.setSettings(settings); }
    void setHedging(const HedgeSettings& settings) { m_hedging.setSettings(settings); }

    bool hasUpstreamList() const { return m_directoryRevision > 0; }
    bool hasRoutingAndUpstreams() const { return m_routing && hasUpstreamList(); }
    bool knowsEvacuatedDomains() const { return !m_awaitsEvacuatedDomains; }
    // Whether a configuration, a list of upstreams and, if awaited, the evacuated domains are in force.
    bool isReady() const { return hasRoutingAndUpstreams() && knowsEvacuatedDomains(); }
    bool isEvacuated(const UpstreamEntry& entry) const
    {
        return m_evacuatedDomains.count(entry.failureDomain) == 1;
    }

    void handle(IngressRequest, CallerExchange&);

    std::size_t requestsInProgress() const { return m_requests.size(); }
    // Bytes of incomplete answers that are kept in memory until they are complete.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    const ForwarderCounters& counters() const { return m_counters; }
    const CrashDetector& crashDetector() const { return m_crashDetector; }
    const HttpPoolCounters& connectionCounters() const { return m_connections.counters(); }
    const RoutingTable* routing() const { return m_routing.get(); }
    const UpstreamAvailability& availability() const { return m_availability; }

private:
    friend class ForwardedRequest;
    friend struct UpstreamAttempt;

    // Run-time state of one upstream.
    struct Upstream {
        UpstreamEntry entry;
        std::uint32_t hash = 0;
        std::uint32_t lifetimeHash = 0; // by upstreamLifetimeHash()
        MonotonicTime lastByteAt; // when any byte last arrived on any connection
        MonotonicTime avoidUntil; // set after a refusal; other upstreams are preferred until then
        double slowness = 1; // moving average of the time to the first byte over the expected time
        MonotonicTime slownessUpdatedAt; // time of the last observation
        double homeWeight = 1;

        void updateSlowness(double ratio, double weight, MonotonicTime now);
        double decayedSlowness(MonotonicTime now) const;
    };
    struct Pool {
        std::vector<std::shared_ptr<Upstream>> upstreams;
    };
    // Of the requests to a pool.
    struct PoolRate {
        double meanSeconds = 1; // from sending a request to the end of its answer
        double perSecond = 0; // from all instances
    };

    std::vector<std::shared_ptr<Upstream>> untriedUpstreams(
        const std::string& pool, const std::vector<std::string>& tried) const;
    // Whether an upstream that has not been tried, has no known fault and is within its limit takes a request
    // now.
    bool hasUsableUpstream(
        const std::string& pool, const std::vector<std::string>& tried, MonotonicTime now) const;
    // Estimated time until an upstream of the pool takes a request; 0: one may take it now, or there is none.
    Milliseconds retryAfter(const std::string& pool, MonotonicTime now) const;
    UpstreamCandidate candidate(const Upstream&, MonotonicTime now) const;
    void observeLoads(const std::vector<UpstreamCandidate>&, MonotonicTime now);
    std::size_t connectionLimit(const RoutedPool*) const;
    double coldPerSecond(const Upstream&) const;
    void updateColdStarts(MonotonicTime now);
    // Applies a change of the time until which the upstream is cold.
    void setCold(const Upstream&, MonotonicTime now);
    // An answer of the upstream states that it stays cold for this long.
    void recordCold(const Upstream&, Milliseconds remaining);
    // Both return whether the upstream's statement is news.
    bool setLeaving(const Upstream&);
    bool pause(const Upstream&, Milliseconds duration);
    // Another upstream answered at the address of this one.
    void setStale(const Upstream&);
    void updatePools();
    // Finds another upstream for the requests to these ones whose connection is still being opened.
    void placeUnwrittenAgain(const Upstream&);
    void placeUnwrittenAgain(const std::function<bool(const Upstream&)>& isGivenUp);
    void attemptFinished(const std::string& pool, std::chrono::nanoseconds duration);
    void finished(ForwardedRequest&);
    void checkTimeouts();
    void updateHomeWeights();
    void updateHomeWeights(const Pool&, PoolRate&);

    event_base* m_base;
    ForwarderSettings m_settings;
    ForwardingHeaders m_headers;
    InProgressTable& m_inProgress;
    UpstreamHealth& m_health;
    SegmentQuarantine& m_quarantine;
    UpstreamLimits& m_limits;
    PoolShares& m_shares;
    ForwardMetrics& m_metrics;
    HttpPool m_connections;
    CrashDetector m_crashDetector;
    CostPlacement m_placement;
    FleetRetryBudget m_budget;
    Hedging m_hedging;
    FirstByteForecast m_forecast;
    UpstreamAvailability m_availability;
    ColdStarts m_coldStarts;
    ForwarderCounters m_counters;
    std::shared_ptr<const RoutingTable> m_routing;
    std::uint64_t m_directoryRevision = 0;
    std::set<std::string> m_evacuatedDomains;
    bool m_awaitsEvacuatedDomains = false;
    std::size_t m_instances = 1;
    std::size_t m_bufferedBytes = 0; // of all requests
    std::optional<MonotonicTime> m_shutdownDeadline; // set while this instance shuts down
    MonotonicTime m_shutdownEstimateUntil;
    std::map<std::string, std::shared_ptr<Upstream>> m_upstreams; // by id
    std::unordered_map<std::string, Pool> m_pools; // by name, without upstreams that get no requests
    std::unordered_map<std::string, PoolRate> m_poolRates; // by name
    bool m_weightsInUse = false; // an upstream had a limit when the weights were last determined
    std::list<std::unique_ptr<ForwardedRequest>> m_requests;
    std::list<std::unique_ptr<ForwardedRequest>> m_done; // ended, but maybe still on the call stack
    Timer m_deferredDelete;
    Ticker m_timeoutTicker;
    Ticker m_weightTicker;
};

} // namespace briarwharf
