#pragma once

#include "base/time.h"
#include "connection/upstreamclient.h"
#include "process/settings.h"
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Identifies a span of a distributed trace, as carried by the W3C `traceparent` header.
struct TraceContext {
    std::string traceId; // 32 hex digits
    std::string spanId; // 16 hex digits
    bool sampled = false;
};

// nullopt for a malformed header or an identifier that is all zeros, as the W3C recommendation requires.
std::optional<TraceContext> parseTraceparent(std::string_view);
std::string formatTraceparent(const TraceContext&);

struct SpanAttribute {
    std::string key;
    std::string value;
};

// One timed operation within a request.
struct Span {
    TraceContext context;
    std::string parentSpanId; // empty for the root of a trace
    std::string name;
    bool isServer = false; // handles a caller's request; otherwise a request to an upstream
    WallTime start;
    WallTime end;
    bool failed = false;
    std::vector<SpanAttribute> attributes;
};

// Starts spans and sends finished ones in batches to a collector as OTLP/HTTP JSON. The encoder is part of
// this project because Debian has no OpenTelemetry library for C++, its OpenTracing packages are an API
// without an exporter, and the published OTLP JSON format is small enough to be written with the JSON
// library. Requests never wait for the collector: if it is slow or unreachable, spans are dropped and
// counted.
class Tracer {
public:
    Tracer(event_base*, const Settings&);

    bool isEnabled() const { return m_client != nullptr; }

    // A child span of `parent`, or the root of a new trace if there is no parent.
    Span startSpan(
        std::string name, const std::optional<TraceContext>& parent, bool isServer, WallTime now) const;
    // Queues the span for sending if its trace is sampled.
    void finishSpan(Span, WallTime now);

    std::uint64_t droppedSpans() const { return m_droppedSpans; }

private:
    void send();

    std::string m_instance;
    double m_sampleRatio;
    std::unique_ptr<UpstreamClient> m_client;
    std::deque<Span> m_queuedSpans;
    std::uint64_t m_droppedSpans = 0;
    bool m_sending = false;
    std::optional<Ticker> m_ticker;
};

// The OTLP/HTTP JSON body that reports the spans of one instance.
std::string encodeOtlp(const std::string& instance, const std::vector<Span>&);

} // namespace briarwharf
