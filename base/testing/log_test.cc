#include "base/base.h"
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace briarwharf {

namespace {

    // Standard output is a pipe for the lifetime of the object.
    class CapturedOutput {
    public:
        CapturedOutput()
            : m_saved(dup(STDOUT_FILENO))
        {
            REQUIRE(pipe(m_pipe) == 0);
            fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
            dup2(m_pipe[1], STDOUT_FILENO);
        }
        ~CapturedOutput()
        {
            dup2(m_saved, STDOUT_FILENO);
            close(m_saved);
            close(m_pipe[0]);
            close(m_pipe[1]);
        }
        std::string take()
        {
            std::string text;
            char buffer[4096];
            for (ssize_t count; (count = read(m_pipe[0], buffer, sizeof buffer)) > 0;)
                text.append(buffer, static_cast<std::size_t>(count));
            return text;
        }

    private:
        int m_saved;
        int m_pipe[2] {};
    };

} // namespace

// Guards against identifiers from outside that break a line's syntax.
TEST_CASE("a log line is one JSON object whatever its values hold")
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

TEST_CASE("lines below the level are not printed")
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

// Guards against a process that stops because nobody reads its standard output.
TEST_CASE("a reader that stops neither blocks the process nor grows its memory; drops are counted")
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

// Guards against a flood of one kind of line hiding all others.
TEST_CASE("each kind of line has a bound of its own")
{
    CapturedOutput output;
    configureLogging("info");
    std::uint64_t before = droppedLogLines();
    for (int line = 0; line < 3000; ++line)
        LogLine(LogLevel::Info, "noisy", "event");
    CHECK(droppedLogLines() > before);
    output.take();
    LogLine(LogLevel::Info, "quiet", "event");
    CHECK(output.take().find("quiet") != std::string::npos);
    configureLogging("warning");
}

} // namespace briarwharf
