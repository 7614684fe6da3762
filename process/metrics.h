#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace briarwharf {

// The daemon's metrics; docs/OPERATIONS.md lists them. Names start with "briarwharf_".
class Metrics {
public:
    Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // The text exposition format of prometheus.
    std::string serialize() const;

    // Requests by pool, class and outcome, and by HTTP status.
    void countRequest(
        const std::string& pool, const std::string& requestClass, const std::string& outcome, int status);
    void observeQueueTime(const std::string& requestClass, std::chrono::nanoseconds);
    void observeFirstByte(const std::string& requestClass, std::chrono::nanoseconds);
    void observeDuration(const std::string& requestClass, std::chrono::nanoseconds);
    void countPlacement(const std::string& reason);
    void countRetry(const std::string& reason);
    void countUpstreamEnd(const std::string& end);
    void countHint(const std::string& verdict);
    void countClaim(const std::string& status);
    void countCachedTokens(double cached, double prompt);

    prometheus::Gauge& requestsInProgress() { return *m_requestsInProgress; }
    prometheus::Gauge& requestsQueued() { return *m_requestsQueued; }
    prometheus::Gauge& revision() { return *m_revision; }
    prometheus::Gauge& isCurrent() { return *m_isCurrent; }
    prometheus::Gauge& linkedPeers() { return *m_linkedPeers; }
    prometheus::Gauge& usableMembers() { return *m_usableMembers; }
    prometheus::Gauge& droppedSpans() { return *m_droppedSpans; }

    // Bytes of control traffic so far, by kind ("peers_sent", "store_received", "load_polls"...), without the
    // overhead of TCP and IP.
    void setControlBytes(const std::string& kind, double total);
    void setFrameBytes(const std::string& message, double total);
    void setStoreCalls(const std::string& kind, double total);
    // Control traffic of the last interval over all kinds, in bytes a second: sent, and both directions.
    prometheus::Gauge& controlSentRate() { return *m_controlSentRate; }
    prometheus::Gauge& controlRate() { return *m_controlRate; }

private:
    using CounterFamily = prometheus::Family<prometheus::Counter>;
    using HistogramFamily = prometheus::Family<prometheus::Histogram>;

    CounterFamily& counterFamily(const std::string& name, const std::string& help);
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    std::shared_ptr<prometheus::Registry> m_registry;
    CounterFamily* m_requests;
    CounterFamily* m_placements;
    CounterFamily* m_retries;
    CounterFamily* m_upstreamEnds;
    CounterFamily* m_hints;
    CounterFamily* m_claims;
    CounterFamily* m_promptTokens;
    HistogramFamily* m_queueTime;
    HistogramFamily* m_firstByte;
    HistogramFamily* m_duration;
    prometheus::Family<prometheus::Gauge>* m_controlBytes;
    prometheus::Family<prometheus::Gauge>* m_frameBytes;
    prometheus::Family<prometheus::Gauge>* m_storeCalls;
    prometheus::Gauge* m_requestsInProgress;
    prometheus::Gauge* m_requestsQueued;
    prometheus::Gauge* m_revision;
    prometheus::Gauge* m_isCurrent;
    prometheus::Gauge* m_linkedPeers;
    prometheus::Gauge* m_usableMembers;
    prometheus::Gauge* m_droppedSpans;
    prometheus::Gauge* m_controlSentRate;
    prometheus::Gauge* m_controlRate;
};

} // namespace briarwharf
