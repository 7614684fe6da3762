#include "process/forwardmetrics.h"

#include <prometheus/text_serializer.h>

namespace briarwharf {

namespace {

    const prometheus::Histogram::BucketBoundaries latencySeconds { 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1,
        2, 4, 8, 16 };
    const prometheus::Histogram::BucketBoundaries ratios { 0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8 };

    prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name,
        const std::string& help, const prometheus::Histogram::BucketBoundaries& bounds)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
    }

    prometheus::Family<prometheus::Gauge>& gaugeFamily(
        prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }

    prometheus::Counter& counter(
        prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

ForwardMetrics::ForwardMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(&prometheus::BuildCounter()
                      .Name("briarwharf_forwarded_requests_total")
                      .Help("Requests that ended, by outcome.")
                      .Register(*m_registry))
    , m_onTime(&counter(*m_registry, "briarwharf_forwarded_on_time_total",
          "Requests whose first byte came within the target of their route."))
    , m_promptTokens(
          &counter(*m_registry, "briarwharf_prompt_tokens_total", "Prompt tokens of answered requests."))
    , m_tokensToRead(&counter(*m_registry, "briarwharf_prompt_tokens_to_read_total",
          "Prompt tokens that were expected not to be in the engine's memory."))
    , m_firstByte(&histogram(*m_registry, "briarwharf_forwarded_first_byte_seconds",
          "Time from a request's first byte to the first byte of an upstream's answer.", latencySeconds))
    , m_duration(&histogram(*m_registry, "briarwharf_forwarded_duration_seconds",
          "Time from a request's first byte to the end of its answer.", latencySeconds))
    , m_forecast(&histogram(*m_registry, "briarwharf_forecast_ratio",
          "Time to the first byte over the time that placement expected.", ratios))
    , m_poolCapacity(&gaugeFamily(*m_registry, "briarwharf_pool_capacity_per_second",
          "Requests per second that a pool can serve; 0: not known."))
    , m_poolDemand(&gaugeFamily(*m_registry, "briarwharf_pool_demand_per_second",
          "Requests per second that callers of all instances send for a pool."))
    , m_poolOccupancy(
          &gaugeFamily(*m_registry, "briarwharf_pool_occupancy", "Requests in progress per slot of a pool."))
    , m_poolScarce(&gaugeFamily(
          *m_registry, "briarwharf_pool_scarce", "1 while the demand for a pool exceeds what it can serve."))
{
}

void ForwardMetrics::observe(const EndedRequest& ended)
{
    auto outcome = m_outcomes.find(ended.outcome);
    if (outcome == m_outcomes.end()) {
        std::string label(ended.outcome);
        outcome = m_outcomes.emplace(label, &m_requests->Add({ { "outcome", label } })).first;
    }
    outcome->second->Increment();
    m_duration->Observe(ended.totalSeconds);
    if (ended.firstByteSeconds)
        m_firstByte->Observe(*ended.firstByteSeconds);
    if (ended.forecastRatio)
        m_forecast->Observe(*ended.forecastRatio);
    if (ended.onTime)
        m_onTime->Increment();
    m_promptTokens->Increment(static_cast<double>(ended.promptTokens));
    m_tokensToRead->Increment(static_cast<double>(ended.tokensToRead));
}

void ForwardMetrics::set(const std::string& name, const std::string& help, double value)
{
    auto& gauge = m_gauges[name];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
    gauge->Set(value);
}

void ForwardMetrics::set(const PoolShareStatus& pool)
{
    prometheus::Labels labels { { "pool", pool.pool } };
    m_poolCapacity->Add(labels).Set(pool.capacity);
    m_poolDemand->Add(labels).Set(pool.demand);
    m_poolOccupancy->Add(labels).Set(pool.occupancy);
    m_poolScarce->Add(labels).Set(pool.scarce ? 1 : 0);
}

void ForwardMetrics::setTotal(const std::string& name, const std::string& help, double total)
{
    auto& value = m_totals[name];
    if (!value)
        value = &counter(*m_registry, name, help);
    if (total > value->Value())
        value->Increment(total - value->Value());
}

std::string ForwardMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace briarwharf
