#include "base/base.h"
#include "base/testing/capturedoutput.h"
#include <doctest/doctest.h>
#include <sstream>
#include <string>

namespace briarwharf {

// Guards against identifiers from outside whose characters make the line invalid JSON.
TEST_CASE("a log line is one JSON object, whatever characters its values contain")
{
    CapturedOutput output;
    configureLogging("info");
    LogLine(LogLevel::Info, "request", "placed")
        .field("id", "a\"b\n\xff")
        .field("load", 3)
        .field("late", false);
    std::string line = output.take();
    auto parsed = parseJson(line, "log line");
    REQUIRE(parsed);
    CHECK(stringField(parsed.value(), "event") == "placed");
    CHECK(integerField(parsed.value(), "load") == 3);
    CHECK(booleanField(parsed.value(), "late") == false);
    CHECK(line.find('\n') == line.size() - 1);
}

TEST_CASE("lines below the minimum level are not printed")
{
    CapturedOutput output;
    configureLogging("warning");
    BW_LOG(INFO, "test") << "not shown";
    BW_LOG(WARNING, "test") << "shown " << 7;
    std::string text = output.take();
    CHECK(text.find("not shown") == std::string::npos);
    CHECK(text.find("shown 7") != std::string::npos);
    CHECK_FALSE(configureLogging("loud"));
}

// Guards against a process that blocks because nothing reads its standard output.
TEST_CASE(
    "a stopped reader neither blocks the process nor makes its memory grow, and dropped lines are counted")
{
    CapturedOutput output;
    configureLogging("info", LogFlush::Buffered);
    std::uint64_t before = droppedLogLines();
    std::string value(2000, 'x');
    for (int kind = 0; kind < 400; ++kind)
        LogLine(LogLevel::Info, "flood", std::to_string(kind)).field("value", value);
    CHECK(droppedLogLines() > before);
    output.take();
    flushLogs();
    for (int round = 0; round < 100; ++round) {
        output.take();
        flushLogs();
    }
    configureLogging("warning");
}

// Guards against a flood of one kind of line that causes lines of other kinds to be dropped.
TEST_CASE("each kind of line has its own rate limit")
{
    CapturedOutput output;
    configureLogging("info");
    std::uint64_t before = droppedLogLines();
    for (int line = 0; line < 3000; ++line)
        LogLine(LogLevel::Info, "noisy", "event").field("line", line);
    CHECK(droppedLogLines() > before);
    output.take();
    LogLine(LogLevel::Info, "quiet", "event").field("line", 1);
    CHECK(output.take().find("quiet") != std::string::npos);
    configureLogging("warning");
}

TEST_CASE("a request's lines are collected from several logs and sorted by time")
{
    std::istringstream one("{\"time\":\"2026-01-01T00:00:02Z\",\"id\":\"a1\",\"event\":\"end\"}\n"
                           "not a line with a1\n{\"time\":\"2026-01-01T00:00:01Z\",\"id\":\"b2\"}\n");
    std::istringstream other("stamp {\"time\":\"2026-01-01T00:00:01Z\",\"id\":\"a1\",\"event\":\"attempt\"}\n"
                             "{\"time\":\"2026-01-01T00:00:03Z\",\"id\":\"xa1\"}\n{broken a1\n");
    LogTrace trace("a1");
    trace.read(one, "entry-1");
    trace.read(other, "entry-2");
    auto lines = trace.lines();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].origin == "entry-2");
    CHECK(lines[0].text.find("attempt") != std::string::npos);
    CHECK(lines[1].origin == "entry-1");
}

} // namespace briarwharf
