#include "process/forwardheaders.h"
#include "process/promptsegments.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <doctest/doctest.h>
#include <string>
#include <utility>

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
    CHECK(none.malformedSegments == 2);
    CHECK(none.promptTokens == 0);
    CHECK_FALSE(none.deadline);
    CHECK_FALSE(none.lastEvent);
}

// Guards against one unreadable entry that hides all others, and against the last shared segment being taken
// for the request's own one because the entry behind it cannot be read.
TEST_CASE("a malformed entry of a prompt's segments costs that entry only")
{
    HttpHead head = headWith({ { "X-Briarwharf-Prompt-Parts",
        "5c1e07a2:800,zz:5,,91bd3f06: 410,:7,12:many,3:-1,4:99999999999999999999,\te4402b7d:250\t," } });
    CallerFields fields = readCallerFields(head.fields, {});
    REQUIRE(fields.segments.size() == 3);
    CHECK(fields.segments[0] == PromptSegment { 0x5c1e07a2, 800 });
    CHECK(fields.segments[1] == PromptSegment { 0x91bd3f06, 410 });
    CHECK(fields.segments[2] == PromptSegment { 0xe4402b7d, 250 });
    CHECK(fields.malformedSegments == 5);

    HttpHead lastUnreadable = headWith({ { "X-Briarwharf-Prompt-Parts", "1:800,2:410,own" } });
    CallerFields others = readCallerFields(lastUnreadable.fields, {});
    REQUIRE(others.segments.size() == 3);
    CHECK(others.segments[1] == PromptSegment { 2, 410 });
    CHECK(others.segments[2].tokens == 0);
}

// Guards against segments that are cut off at some number, or listed in a second field, and never recognised.
TEST_CASE("all segments of a prompt are read, in one field or several")
{
    std::string first;
    for (int number = 1; number <= 1000; ++number)
        first += std::to_string(number) + ":1,";
    HttpHead head = headWith(
        { { "X-Briarwharf-Prompt-Parts", first.c_str() }, { "x-briarwharf-prompt-parts", "bad:1,e:1" } });
    CallerFields fields = readCallerFields(head.fields, {});
    REQUIRE(fields.segments.size() == 1002);
    CHECK(fields.segments[1000].id == 0xbad);
    CHECK(printSegments(fields.segments).ends_with(",32,+970"));
}

// Guards against equal identifiers that count as different ones, and against different ones that count as
// equal.
TEST_CASE("an identifier of a segment of any length stands for the same 64 bits in each of its forms")
{
    CHECK(parseSegmentId("0") == 0);
    CHECK(parseSegmentId("000000000000000000005C1E07A2") == 0x5c1e07a2);
    CHECK(parseSegmentId("ffffffffffffffff") == 0xffffffffffffffff);
    auto longId = parseSegmentId("a7c3509e1f64d2b85c1e07a291bd3f06");
    REQUIRE(longId);
    CHECK(parseSegmentId("00A7C3509E1F64D2B85C1E07A291BD3F06") == longId);
    CHECK(parseSegmentId("a7c3509e1f64d2b85c1e07a291bd3f07") != longId);
    CHECK(parseSegmentId("b7c3509e1f64d2b85c1e07a291bd3f06") != longId);
    CHECK(parseSegmentId(std::string(8000, 'f')));
    for (const char* text : { "", "0x5c", "-1", "+1", "5c 1e", "5c1e07a2-91bd", "g" }) {
        CAPTURE(text);
        CHECK_FALSE(parseSegmentId(text));
    }
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

// Guards against a caller that makes one upstream copy another's cache.
TEST_CASE("only the forwarder names the upstream to copy from")
{
    ForwardingHeaders headers;
    HttpHead head = headWith({ { "X-Briarwharf-Copy-From", "10.0.0.9:1" } });
    UpstreamFields fields;
    fields.upstream = "engine-1";
    CHECK(upstreamHead(head, headers, fields, 0).find("Copy-From") == std::string::npos);
    fields.copyFrom = Endpoint { "10.0.0.2", 8080 };
    std::string sent = upstreamHead(head, headers, fields, 0);
    CHECK(sent.find("X-Briarwharf-Copy-From: 10.0.0.2:8080\r\n") != std::string::npos);
    CHECK(sent.find("10.0.0.9") == std::string::npos);
}

// Guards against an upstream that is cold for ever because of what an answer states.
TEST_CASE("a cold time is a positive number of milliseconds up to the maximum")
{
    CHECK(parseColdTime("1500") == Milliseconds(1500));
    CHECK(parseColdTime("0.5") == Milliseconds(1));
    CHECK(parseColdTime("1e300") == Milliseconds(600000));
    for (const char* none : { "", "0", "-1", "nan", "soon", "1 s", "-inf" })
        CHECK_FALSE(parseColdTime(none));
}

namespace {

// A head of about this size: a Connection field with short names, and as many short fields.
HttpHead headWithOptions(std::size_t bytes)
{
    HttpHead head;
    head.method = "GET";
    head.target = "/";
    std::string options;
    for (std::size_t number = 0; options.size() < bytes / 2; ++number) {
        options += "o" + std::to_string(number) + ",";
        head.fields.add("f" + std::to_string(number), "");
    }
    head.fields.add("Connection", options);
    return head;
}

// Processor time of the forwarded head, the least of a few tries.
std::chrono::nanoseconds forwardingTime(const HttpHead& head)
{
    auto least = std::chrono::nanoseconds::max();
    for (int run = 0; run < 5; ++run) {
        timespec before {};
        timespec after {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
        REQUIRE(!upstreamHead(head, {}, {}, 0).empty());
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
        least = std::min(least,
            std::chrono::nanoseconds(std::chrono::seconds(after.tv_sec - before.tv_sec))
                + std::chrono::nanoseconds(after.tv_nsec - before.tv_nsec));
    }
    return least;
}

} // namespace

// Guards against callers that keep the loop busy with heads of a size that is allowed: the work grew with the
// product of the names in Connection and the fields.
TEST_CASE("CONFIG: the work for a head grows with its size, whatever its Connection field lists")
{
    constexpr int sizeRatio = 16;
    constexpr int maxWorkRatio = 4 * sizeRatio; // 256 if it grew with the square
    auto small = forwardingTime(headWithOptions(4096));
    auto large = forwardingTime(headWithOptions(std::size_t { sizeRatio } * 4096));
    CHECK(large <= maxWorkRatio * small);
}

// Guards against fields that concern one connection only, and that another one gets.
TEST_CASE("the names in all Connection fields are left out, in any case of letters")
{
    HttpHead head;
    head.method = "GET";
    head.target = "/";
    for (auto [name, value] : { std::pair("Connection", "X-One, close"), std::pair("X-ONE", "1"),
             std::pair("x-two", "2"), std::pair("connection", " ,X-Two"), std::pair("X-Three", "3") })
        head.fields.add(name, value);
    std::string forwarded = upstreamHead(head, {}, {}, 0);
    CHECK(forwarded.find("1\r\n") == forwarded.find("1.1\r\n") + 2);
    CHECK(forwarded.find("x-two") == std::string::npos);
    CHECK(forwarded.find("X-Three: 3\r\n") != std::string::npos);
    head.status = 200;
    std::string answered = callerHeaderLines(head, {});
    CHECK(answered == "X-Three: 3\r\n");
}
