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

// The daemon's Prometheus metrics. Their names start with "briarwharf_"; docs/OPERATIONS.md lists them.
class Metrics {
public:
    Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // All metrics in the Prometheus text format.
    std::string serialize() const;

    // Counts a finished request by pool, class, outcome and HTTP status.
    void countRequest(
        const std::string& pool, const std::string& requestClass, const std::string& outcome, int status);
    void observeQueueTime(const std::string& requestClass, std::chrono::nanoseconds);
    void observeFirstByte(const std::string& requestClass, std::chrono::nanoseconds);
    void observeDuration(const std::string& requestClass, std::chrono::nanoseconds);
    void countPlacement(const std::string& reason);
    void countRetry(const std::string& verdict);
    void countExchangeEnd(const std::string& end);
    void countHint(const std::string& verdict);
    void countClaim(const std::string& status);
    void countCachedTokens(double cached, double prompt);

    prometheus::Gauge& requestsInProgress() { return *m_requestsInProgress; }
    prometheus::Gauge& requestsQueued() { return *m_requestsQueued; }
    prometheus::Gauge& revision() { return *m_revision; }
    prometheus::Gauge& lostRecords() { return *m_lostRecords; }
    prometheus::Gauge& storeEra() { return *m_storeEra; }
    prometheus::Gauge& configurationCurrent() { return *m_configurationCurrent; }
    prometheus::Gauge& linkedPeers() { return *m_linkedPeers; }
    prometheus::Gauge& usableMembers() { return *m_usableMembers; }
    prometheus::Gauge& droppedSpans() { return *m_droppedSpans; }

    // Bytes of control traffic since the start, without the overhead of TCP and IP. The kinds are
    // "peers_sent", "peers_received", "store_sent", "store_received", "polls_sent" and "polls_received".
    void setControlBytes(const std::string& kind, double total);
    void setFrameBytes(const std::string& message, double total);
    void setStoreCalls(const std::string& kind, double total);
    // Control traffic of all kinds in the last interval: sent only, and both directions together.
    prometheus::Gauge& controlSentBytesPerSecond() { return *m_controlSentBytesPerSecond; }
    prometheus::Gauge& controlBytesPerSecond() { return *m_controlBytesPerSecond; }

private:
    using CounterFamily = prometheus::Family<prometheus::Counter>;
    using HistogramFamily = prometheus::Family<prometheus::Histogram>;

    CounterFamily& counterFamily(const std::string& name, const std::string& help);
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    std::shared_ptr<prometheus::Registry> m_registry;
    CounterFamily* m_requests;
    CounterFamily* m_placements;
    CounterFamily* m_retries;
    CounterFamily* m_exchangeEnds;
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
    prometheus::Gauge* m_lostRecords;
    prometheus::Gauge* m_storeEra;
    prometheus::Gauge* m_configurationCurrent;
    prometheus::Gauge* m_linkedPeers;
    prometheus::Gauge* m_usableMembers;
    prometheus::Gauge* m_droppedSpans;
    prometheus::Gauge* m_controlSentBytesPerSecond;
    prometheus::Gauge* m_controlBytesPerSecond;
};

} // namespace briarwharf
