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

// Position in a distributed trace, as carried by the W3C `traceparent` header.
struct TraceContext {
    std::string traceId; // 32 hex digits
    std::string spanId; // 16 hex digits
    bool sampled = false;
};

// nullopt for a header that is malformed or all zeros, as the W3C recommendation demands.
std::optional<TraceContext> parseTraceparent(std::string_view);
std::string formatTraceparent(const TraceContext&);

struct SpanAttribute {
    std::string key;
    std::string value;
};

// One timed step of a request.
struct Span {
    TraceContext context;
    std::string parentSpanId; // empty: the root of the trace
    std::string name;
    bool isServer = false; // handles a call from outside; otherwise makes one
    WallTime start;
    WallTime end;
    bool failed = false;
    std::vector<SpanAttribute> attributes;
};

// Starts spans and sends finished ones in batches to a collector as OTLP/HTTP JSON. Debian has no
// OpenTelemetry library for C++, and its OpenTracing packages are an API without an exporter; the published
// OTLP JSON form is small enough to write with the JSON library. Spans are dropped, and counted, when the
// collector is slow or down; requests never wait for it.
class Tracer {
public:
    Tracer(event_base*, const Settings&);

    bool isEnabled() const { return m_client != nullptr; }

    // A span below the caller's context, or the root of a new trace.
    Span startSpan(
        std::string name, const std::optional<TraceContext>& parent, bool isServer, WallTime now) const;
    void finishSpan(Span, WallTime now);

    std::uint64_t droppedSpans() const { return m_dropped; }

private:
    void send();

    std::string m_instance;
    double m_sampleRatio;
    std::unique_ptr<UpstreamClient> m_client;
    std::deque<Span> m_finished;
    std::uint64_t m_dropped = 0;
    bool m_sending = false;
    std::optional<Ticker> m_ticker;
};

// The OTLP/HTTP JSON body for some spans of one service instance.
std::string encodeOtlp(const std::string& instance, const std::vector<Span>&);

} // namespace briarwharf
