#include "base/base.h"
#include "process/trace.h"
#include <doctest/doctest.h>

using namespace briarwharf;

// Guards against a trace that is continued from a header which is invalid by the W3C recommendation.
TEST_CASE("traceparent is parsed strictly and formatted back")
{
    std::string text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    auto context = parseTraceparent(text);
    REQUIRE(context.has_value());
    CHECK(context->sampled);
    CHECK(formatTraceparent(*context) == text);
    CHECK(parseTraceparent("01" + text.substr(2) + "-more").has_value());
    CHECK_FALSE(parseTraceparent(text + "-more").has_value());
    CHECK_FALSE(parseTraceparent("ff" + text.substr(2)).has_value());
    CHECK_FALSE(parseTraceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01").has_value());
    CHECK_FALSE(parseTraceparent(text.substr(0, 40)).has_value());
    CHECK_FALSE(parseTraceparent("").has_value());
}

// Guards against spans that lack the fields by which a collector finds their parent and instance.
TEST_CASE("OTLP JSON contains the parent span, the end time and the instance")
{
    Span span;
    span.context = { "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7", true };
    span.parentSpanId = "1111111111111111";
    span.name = "chat";
    span.start = fromUnixMilliseconds(1);
    span.end = fromUnixMilliseconds(2);
    auto body = parseJson(encodeOtlp("entry-1", { span }), "OTLP").value();
    const Json& encoded = body["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(encoded["parentSpanId"] == "1111111111111111");
    CHECK(encoded["endTimeUnixNano"] == "2000000");
    CHECK(body["resourceSpans"][0]["resource"]["attributes"][1]["value"]["stringValue"] == "entry-1");
}
