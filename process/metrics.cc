#include "process/metrics.h"

#include <prometheus/text_serializer.h>

namespace briarwharf {

namespace {

    double toSeconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    // Bucket boundaries in seconds. They include the limits of the latency target: 1.9 s to the first token
    // and 80 ms between tokens.
    const prometheus::Histogram::BucketBoundaries& timeBuckets()
    {
        static const prometheus::Histogram::BucketBoundaries boundaries { 0.001, 0.005, 0.01, 0.02, 0.04,
            0.08, 0.2, 0.5, 1, 1.9, 5, 10, 30, 60, 120 };
        return boundaries;
    }

    prometheus::Family<prometheus::Histogram>& histogramFamily(
        prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildHistogram().Name("briarwharf_" + name).Help(help).Register(registry);
    }

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(&counterFamily("requests_total", "Finished requests."))
    , m_placements(&counterFamily("placements_total", "Placement decisions by reason."))
    , m_retries(&counterFamily("retries_total", "Attempts after the first, and retries refused, by verdict."))
    , m_exchangeEnds(
          &counterFamily("upstream_exchanges_total", "Exchanges with upstreams by how they ended."))
    , m_hints(&counterFamily("residence_hints_total", "Residence hints by verdict."))
    , m_claims(&counterFamily("claims_total", "Claims of calls that run at most once, by status."))
    , m_promptTokens(&counterFamily("prompt_tokens_total", "Prompt tokens as engines report them."))
    , m_queueTime(&histogramFamily(*m_registry, "queue_seconds", "Time in the admission queue."))
    , m_firstByte(
          &histogramFamily(*m_registry, "first_byte_seconds", "Time to the first byte of the answer."))
    , m_duration(&histogramFamily(*m_registry, "request_seconds", "Time to the end of the answer."))
    , m_controlBytes(&prometheus::BuildGauge()
                          .Name("briarwharf_control_bytes")
                          .Help("Bytes of control traffic since the start, by kind.")
                          .Register(*m_registry))
    , m_frameBytes(&prometheus::BuildGauge()
                        .Name("briarwharf_peer_frame_bytes")
                        .Help("Bytes of frames sent to other instances since the start, by message.")
                        .Register(*m_registry))
    , m_storeCalls(&prometheus::BuildGauge()
                        .Name("briarwharf_store_calls")
                        .Help("Calls to the platform's store since the start, by kind.")
                        .Register(*m_registry))
    , m_requestsInProgress(&gauge("requests_in_progress", "Requests that hold a slot."))
    , m_requestsQueued(&gauge("requests_queued", "Requests that wait for a slot."))
    , m_revision(&gauge("configuration_revision", "Configuration revision in force."))
    , m_lostRecords(&gauge("configuration_records_lost",
          "Configuration records that the store may have lost and that were not appended again."))
    , m_storeEra(&gauge("store_era", "How often the store has come back from an older copy, as it states."))
    , m_configurationCurrent(&gauge("configuration_current", "1 if the log's head was confirmed within 2 s."))
    , m_linkedPeers(&gauge("peer_links", "Links to other instances."))
    , m_usableMembers(&gauge("members_usable", "Instances that are alive or suspected, this one included."))
    , m_droppedSpans(&gauge(
          "trace_spans_dropped", "Spans dropped since the start because the collector was slow or down."))
    , m_controlSentBytesPerSecond(&gauge(
          "control_sent_bytes_per_second", "Control traffic sent in the last interval, all kinds together."))
    , m_controlBytesPerSecond(
          &gauge("control_bytes_per_second", "Control traffic of the last interval, all kinds together."))
{
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

Metrics::CounterFamily& Metrics::counterFamily(const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name("briarwharf_" + name).Help(help).Register(*m_registry);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name("briarwharf_" + name).Help(help).Register(*m_registry).Add({});
}

void Metrics::countRequest(
    const std::string& pool, const std::string& requestClass, const std::string& outcome, int status)
{
    m_requests
        ->Add({ { "pool", pool }, { "class", requestClass }, { "outcome", outcome },
            { "status", std::to_string(status) } })
        .Increment();
}

void Metrics::observeQueueTime(const std::string& requestClass, std::chrono::nanoseconds time)
{
    m_queueTime->Add({ { "class", requestClass } }, timeBuckets()).Observe(toSeconds(time));
}

void Metrics::observeFirstByte(const std::string& requestClass, std::chrono::nanoseconds time)
{
    m_firstByte->Add({ { "class", requestClass } }, timeBuckets()).Observe(toSeconds(time));
}

void Metrics::observeDuration(const std::string& requestClass, std::chrono::nanoseconds time)
{
    m_duration->Add({ { "class", requestClass } }, timeBuckets()).Observe(toSeconds(time));
}

void Metrics::countPlacement(const std::string& reason)
{
    m_placements->Add({ { "reason", reason } }).Increment();
}

void Metrics::countRetry(const std::string& verdict)
{
    m_retries->Add({ { "verdict", verdict } }).Increment();
}

void Metrics::countExchangeEnd(const std::string& end)
{
    m_exchangeEnds->Add({ { "end", end } }).Increment();
}

void Metrics::countHint(const std::string& verdict) { m_hints->Add({ { "verdict", verdict } }).Increment(); }

void Metrics::countClaim(const std::string& status) { m_claims->Add({ { "status", status } }).Increment(); }

void Metrics::countCachedTokens(double cached, double prompt)
{
    m_promptTokens->Add({ { "cached", "yes" } }).Increment(cached);
    m_promptTokens->Add({ { "cached", "no" } }).Increment(prompt - cached);
}

void Metrics::setControlBytes(const std::string& kind, double total)
{
    m_controlBytes->Add({ { "kind", kind } }).Set(total);
}

void Metrics::setFrameBytes(const std::string& message, double total)
{
    m_frameBytes->Add({ { "message", message } }).Set(total);
}

void Metrics::setStoreCalls(const std::string& kind, double total)
{
    m_storeCalls->Add({ { "kind", kind } }).Set(total);
}

} // namespace briarwharf
