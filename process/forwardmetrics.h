#pragma once

#include "coordination/poolshares.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace briarwharf {

// Measurements of one request that has ended.
struct EndedRequest {
    std::string_view outcome; // answered, refused, failed, cut, rejected, caller-left
    std::optional<double> firstByteSeconds;
    double totalSeconds = 0;
    bool onTime = false; // the first byte arrived within the route's target latency
    std::optional<double> forecastRatio; // time to the first byte over the time that placement expected
    std::int64_t promptTokens = 0;
    std::int64_t tokensToRead = 0; // of promptTokens, those expected to be missing from the engine's memory
};

// The metrics of forwarded routes; docs/OPERATIONS.md describes them.
class ForwardMetrics {
public:
    ForwardMetrics();
    ForwardMetrics(const ForwardMetrics&) = delete;
    ForwardMetrics& operator=(const ForwardMetrics&) = delete;

    void observe(const EndedRequest&);

    // For values that are counted elsewhere and copied here whenever the metrics are requested. set() is for
    // gauges. setTotal() is for counters; it ignores a total lower than the last one.
    void set(const std::string& name, const std::string& help, double value);
    void setTotal(const std::string& name, const std::string& help, double total);

    // The gauges of a shared pool, with its name as the label "pool".
    void set(const PoolShareStatus&);

    // The metrics in the text exposition format of Prometheus.
    std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>* m_requests;
    prometheus::Counter* m_onTime;
    prometheus::Counter* m_promptTokens;
    prometheus::Counter* m_tokensToRead;
    prometheus::Histogram* m_firstByte;
    prometheus::Histogram* m_duration;
    prometheus::Histogram* m_forecast;
    prometheus::Family<prometheus::Gauge>* m_poolCapacity;
    prometheus::Family<prometheus::Gauge>* m_poolDemand;
    prometheus::Family<prometheus::Gauge>* m_poolOccupancy;
    prometheus::Family<prometheus::Gauge>* m_poolScarce;
    std::map<std::string, prometheus::Gauge*> m_gauges;
    std::map<std::string, prometheus::Counter*> m_totals;
    std::map<std::string, prometheus::Counter*, std::less<>> m_outcomes;
};

} // namespace briarwharf
