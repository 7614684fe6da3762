#include "process/forwardheaders.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

HttpHead headWith(std::initializer_list<std::pair<const char*, const char*>> fields)
{
    HttpHead head;
    head.method = "GET";
    head.target = "/x";
    for (const auto& [name, value] : fields)
        head.fields.add(name, value);
    return head;
}

} // namespace

TEST_CASE("callers' header fields are parsed; values that cannot be parsed count as absent")
{
    ForwardingHeaders headers;
    HttpHead head = headWith({ { "x-briarwharf-prompt-parts", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250" },
        { "X-Briarwharf-Tokens", "1460,80" }, { "X-Briarwharf-Deadline-Ms", "12000" },
        { "Last-Event-Id", "12" }, { "X-Briarwharf-Output-Hint", "64.5" } });
    CallerFields fields = readCallerFields(head.fields, headers);
    REQUIRE(fields.segments.size() == 3);
    CHECK(fields.segments[1] == PromptSegment { 0x91bd3f06, 410 });
    CHECK(fields.promptTokens == 1460);
    CHECK(fields.maxOutputTokens == 80);
    CHECK(fields.outputHint == 64);
    CHECK(fields.deadline == Milliseconds(12000));
    CHECK(fields.lastEvent == 12);

    HttpHead bad = headWith({ { "X-Briarwharf-Prompt-Parts", "zz:800,1:-5" },
        { "X-Briarwharf-Tokens", "many" }, { "X-Briarwharf-Deadline-Ms", "-1" }, { "Last-Event-Id", "x" } });
    CallerFields none = readCallerFields(bad.fields, headers);
    CHECK(none.segments.empty());
    CHECK(none.promptTokens == 0);
    CHECK_FALSE(none.deadline);
    CHECK_FALSE(none.lastEvent);
}

TEST_CASE("the request that resumes a stream carries the resume position instead of the caller's")
{
    ForwardingHeaders headers;
    HttpHead head = headWith({ { "Last-Event-Id", "3" } });
    UpstreamFields fields;
    fields.upstream = "u";
    fields.timeLeft = Milliseconds(100);
    CHECK(upstreamHead(head, headers, fields, 0).find("Last-Event-Id: 3\r\n") != std::string::npos);
    fields.lastEvent = 9;
    std::string resumed = upstreamHead(head, headers, fields, 0);
    CHECK(resumed.find("Last-Event-Id: 9\r\n") != std::string::npos);
    CHECK(resumed.find("Last-Event-Id: 3\r\n") == std::string::npos);
}

// Guards against a caller that reserves memory or queue places at an engine through header fields.
TEST_CASE(
    "reserved fields of callers never reach upstreams, and upstreams' internal fields never reach callers")
{
    ForwardingHeaders headers;
    headers.reserved = { "X-Reserved" };
    headers.internal = { "X-Internal" };
    HttpHead head
        = headWith({ { "x-reserved", "1" }, { "X-Briarwharf-Urgency", "0" }, { "TE", "trailers" } });
    UpstreamFields fields;
    fields.upstream = "u";
    std::string out = upstreamHead(head, headers, fields, 0);
    CHECK(out.find("eserved") == std::string::npos);
    CHECK(out.find("Urgency") == std::string::npos);
    CHECK(out.find("TE:") == std::string::npos);
    HttpHead answer = headWith({ { "X-Internal", "1" }, { "X-Briarwharf-Leaving", "1" },
        { "Content-Type", "text/plain" }, { "Content-Length", "5" }, { "Keep-Alive", "x" } });
    CHECK(callerHeaderLines(answer, headers) == "Content-Type: text/plain\r\n");
}

// Guards against an upstream's Retry-After that is read as another time, or that overflows.
TEST_CASE("a Retry-After field is seconds with or without a fraction")
{
    CHECK(parseRetryAfter("0") == Milliseconds(0));
    CHECK(parseRetryAfter("7") == Milliseconds(7000));
    CHECK(parseRetryAfter("1.5") == Milliseconds(1500));
    CHECK(parseRetryAfter("0.0001") == Milliseconds(1));
    CHECK(parseRetryAfter("99999999999999999999") == maxRetryAfter);
    CHECK(parseRetryAfter(std::string(1000, '9')) == maxRetryAfter);
    for (const char* text : { "", ".", "1.2.3", "-1", "-0.5", "+1", "nan", "inf", "infinity", "1e3", "1e999",
             "0x10", "soon", "5 s", "1,5", "Fri, 31 Dec 1999 23:59:59 GMT" }) {
        CAPTURE(text);
        CHECK_FALSE(parseRetryAfter(text));
    }
}

// Guards against callers that wait as long as one upstream asked for while another one would answer.
TEST_CASE("the Retry-After of an upstream's failure does not reach the caller, that of other answers does")
{
    HttpHead answer = headWith({ { "Retry-After", "5" } });
    answer.status = 500;
    CHECK(callerHeaderLines(answer, {}).empty());
    answer.status = 202;
    CHECK(callerHeaderLines(answer, {}) == "Retry-After: 5\r\n");
}

// Guards against a caller's numbers that overflow in sums and products, by which requests were taken during a
// shutdown that had to be cut.
TEST_CASE("numbers of tokens are bounded")
{
    ForwardingHeaders headers;
    for (const char* number : { "9223372036854775807", "1e300", "-9223372036854775808", "nan", "inf" }) {
        CAPTURE(number);
        std::string pair = std::string(number) + "," + number;
        HttpHead head
            = headWith({ { "X-Briarwharf-Tokens", pair.c_str() }, { "X-Briarwharf-Output-Hint", number } });
        CallerFields fields = readCallerFields(head.fields, headers);
        for (std::int64_t tokens : { fields.promptTokens, fields.maxOutputTokens, fields.outputHint }) {
            CHECK(tokens >= 0);
            CHECK(tokens <= 1'000'000'000);
        }
    }
}
