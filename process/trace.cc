#include "process/trace.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    constexpr std::size_t traceparentLength = 55; // 00-<trace>-<span>-<flags>
    constexpr std::size_t maxQueuedSpans = 4096;
    constexpr std::size_t maxBatchSpans = 512;
    constexpr Milliseconds sendInterval { 500 };
    constexpr Milliseconds collectorTimeout { 3000 };

    bool isHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(),
            [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

    std::string nanoseconds(WallTime time)
    {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    Json stringAttribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    Json encodeSpan(const Span& span)
    {
        constexpr int serverKind = 2;
        constexpr int clientKind = 3;
        constexpr int statusOk = 1;
        constexpr int statusError = 2;
        Json attributes = Json::array();
        for (const auto& attribute : span.attributes)
            attributes.push_back(stringAttribute(attribute.key, attribute.value));
        Json encoded = {
            { "traceId", span.context.traceId },
            { "spanId", span.context.spanId },
            { "name", span.name },
            { "kind", span.isServer ? serverKind : clientKind },
            { "startTimeUnixNano", nanoseconds(span.start) },
            { "endTimeUnixNano", nanoseconds(span.end) },
            { "attributes", attributes },
            { "status", { { "code", span.failed ? statusError : statusOk } } },
        };
        if (!span.parentSpanId.empty())
            encoded["parentSpanId"] = span.parentSpanId;
        return encoded;
    }

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (text.size() < traceparentLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    std::string_view version = text.substr(0, 2);
    std::string_view trace = text.substr(3, traceIdDigits);
    std::string_view span = text.substr(36, spanIdDigits);
    std::string_view flags = text.substr(53, 2);
    bool hasExtra = text.size() > traceparentLength;
    if (!isHex(version) || version == "ff" || (version == "00" && hasExtra))
        return std::nullopt;
    if (!isHex(trace) || !isHex(span) || !isHex(flags) || isZero(trace) || isZero(span))
        return std::nullopt;
    constexpr int sampledFlag = 1;
    int value = std::stoi(std::string(flags), nullptr, 16);
    return TraceContext { std::string(trace), std::string(span), (value & sampledFlag) != 0 };
}

std::string formatTraceparent(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

Tracer::Tracer(event_base* base, const Settings& settings)
    : m_instance(settings.instance.id)
    , m_sampleRatio(settings.trace.sampleRatio)
{
    if (settings.trace.collector.empty())
        return;
    Endpoint collector = parseEndpoint(settings.trace.collector).value();
    m_client = std::make_unique<UpstreamClient>(base, collector.address, collector.port);
    m_ticker.emplace(base, sendInterval, [this] { send(); });
}

Span Tracer::startSpan(
    std::string name, const std::optional<TraceContext>& parent, bool isServer, WallTime now) const
{
    Span span;
    span.context.traceId = parent ? parent->traceId : randomToken();
    span.context.spanId = randomToken().substr(0, spanIdDigits);
    span.context.sampled
        = parent ? parent->sampled : isEnabled() && unitInterval(randomSeed()) < m_sampleRatio;
    if (parent)
        span.parentSpanId = parent->spanId;
    span.name = std::move(name);
    span.isServer = isServer;
    span.start = now;
    return span;
}

void Tracer::finishSpan(Span span, WallTime now)
{
    if (!isEnabled() || !span.context.sampled)
        return;
    if (m_queuedSpans.size() >= maxQueuedSpans) {
        ++m_droppedSpans;
        return;
    }
    span.end = now;
    m_queuedSpans.push_back(std::move(span));
}

void Tracer::send()
{
    if (m_sending || m_queuedSpans.empty())
        return;
    std::size_t count = std::min(m_queuedSpans.size(), maxBatchSpans);
    std::vector<Span> batch(std::make_move_iterator(m_queuedSpans.begin()),
        std::make_move_iterator(m_queuedSpans.begin() + static_cast<std::ptrdiff_t>(count)));
    m_queuedSpans.erase(m_queuedSpans.begin(), m_queuedSpans.begin() + static_cast<std::ptrdiff_t>(count));
    UpstreamRequest request;
    request.target = "/v1/traces";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeOtlp(m_instance, batch);
    request.deadline = collectorTimeout;
    m_sending = true;
    m_client->start(request, { nullptr, nullptr, [this, count](const ExchangeResult& result) {
                                  m_sending = false;
                                  if (result.end != ExchangeEnd::Complete)
                                      m_droppedSpans += count;
                              } });
}

std::string encodeOtlp(const std::string& instance, const std::vector<Span>& spans)
{
    Json encodedSpans = Json::array();
    for (const auto& span : spans)
        encodedSpans.push_back(encodeSpan(span));
    Json resource = { { "attributes",
        Json::array({ stringAttribute("service.name", "briarwharf"),
            stringAttribute("service.instance.id", instance) }) } };
    Json scope = { { "scope", { { "name", "briarwharf" } } }, { "spans", encodedSpans } };
    Json body = { { "resourceSpans",
        Json::array({ { { "resource", resource }, { "scopeSpans", Json::array({ scope }) } } }) } };
    return dumpJson(body);
}

} // namespace briarwharf
