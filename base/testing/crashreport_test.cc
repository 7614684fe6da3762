#include "base/base.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace briarwharf;

namespace {

// After this time SIGALRM ends a process that did not end by itself.
constexpr unsigned maxSeconds = 20;

struct EndedProcess {
    int waitStatus = 0;
    std::vector<std::string> lines; // of its log
};

bool reportsCrashes()
{
    pid_t child = fork();
    if (child == 0)
        _exit(installCrashReport() ? 0 : 1);
    int status = 0;
    waitpid(child, &status, 0);
    return status == 0;
}

// An exception that leaves the function ends the process, as in a program without a handler for it.
void callAsMain(const std::function<void()>& function) noexcept { function(); }

// Runs the function in a process of its own, whose log has one buffered line before.
EndedProcess runProcess(const std::function<void()>& end)
{
    std::array<int, 2> output {};
    REQUIRE(pipe(output.data()) == 0);
    pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        rlimit noCore {};
        setrlimit(RLIMIT_CORE, &noCore);
        alarm(maxSeconds);
        dup2(output[1], STDOUT_FILENO);
        configureLogging("info", LogFlush::Buffered);
        installCrashReport();
        BW_LOG(INFO, "test") << "before";
        callAsMain(end);
        _exit(0);
    }
    close(output[1]);
    EndedProcess ended;
    std::string text;
    std::array<char, 4096> buffer {};
    for (ssize_t count; (count = read(output[0], buffer.data(), buffer.size())) > 0;)
        text.append(buffer.data(), static_cast<std::size_t>(count));
    close(output[0]);
    waitpid(child, &ended.waitStatus, 0);
    for (std::size_t begin = 0; begin < text.size();) {
        std::size_t lineEnd = std::min(text.find('\n', begin), text.size());
        ended.lines.push_back(text.substr(begin, lineEnd - begin));
        begin = lineEnd + 1;
    }
    return ended;
}

// Checks how the process ended and returns the line about it.
Json checkCrash(const EndedProcess& ended, int signal, const std::string& signalName)
{
    CHECK(WIFSIGNALED(ended.waitStatus));
    CHECK(WTERMSIG(ended.waitStatus) == signal);
    REQUIRE(ended.lines.size() == 2);
    CHECK(ended.lines[0].find("\"before\"") != std::string::npos);
    auto line = parseJson(ended.lines[1], "the line");
    REQUIRE(line);
    CHECK(stringField(line.value(), "event") == "crashed");
    CHECK(stringField(line.value(), "signal") == signalName);
    CHECK(stringField(line.value(), "version") == BRIARWHARF_VERSION);
    CHECK(stringField(line.value(), "time").value_or("").size()
        == std::string("2026-12-05T10:00:00.000Z").size());
    CHECK(line.value()["backtrace"].size() >= 2);
    return line.value();
}

// Does not return before the stack is used up.
int useStack(const volatile int& depth)
{
    std::array<volatile char, 1000> frame {};
    return depth > 0 ? useStack(depth) + frame[0] : frame[1];
}

} // namespace

TEST_SUITE("crash report")
{
    TEST_CASE("a process that a signal ends says which one and where, after its buffered lines")
    {
        if (!reportsCrashes())
            return; // the address sanitizer reports them
        const std::vector<std::pair<int, std::string>> signals { { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },
            { SIGILL, "SIGILL" }, { SIGFPE, "SIGFPE" }, { SIGABRT, "SIGABRT" } };
        for (const auto& expected : signals) {
            CAPTURE(expected.second);
            EndedProcess ended = runProcess([&expected] { kill(getpid(), expected.first); });
            Json line = checkCrash(ended, expected.first, expected.second);
            CHECK(stringField(line, "sender"));
        }
    }

    TEST_CASE("a read through a bad pointer is reported with its address and the program's own frames")
    {
        if (!reportsCrashes())
            return;
        EndedProcess ended = runProcess([] {
            volatile std::uintptr_t address = 0x18;
            static_cast<void>(*reinterpret_cast<volatile int*>(address));
        });
        Json line = checkCrash(ended, SIGSEGV, "SIGSEGV");
        CHECK(stringField(line, "address") == "0x18");
        CHECK(stringField(line, "at").value_or("").rfind("base_test+0x", 0) == 0);
        CHECK(line["backtrace"][0] == line["at"]);
        CHECK(line["backtrace"][1].get<std::string>().rfind("base_test+0x", 0) == 0);
    }

    TEST_CASE("an overflow of the stack is reported, though nothing of the stack is left for the handler")
    {
        if (!reportsCrashes())
            return;
        EndedProcess ended = runProcess([] {
            volatile int depth = 1;
            volatile int result = useStack(depth);
            static_cast<void>(result);
        });
        checkCrash(ended, SIGSEGV, "SIGSEGV");
    }

    TEST_CASE("an uncaught exception is reported")
    {
        if (!reportsCrashes())
            return;
        EndedProcess ended = runProcess([] { throw std::runtime_error("test"); });
        checkCrash(ended, SIGABRT, "SIGABRT");
    }

    TEST_CASE("a log that nobody reads does not keep a process from ending")
    {
        if (!reportsCrashes())
            return;
        std::array<int, 2> output {};
        REQUIRE(pipe(output.data()) == 0);
        pid_t child = fork();
        if (child == 0) {
            rlimit noCore {};
            setrlimit(RLIMIT_CORE, &noCore);
            alarm(maxSeconds);
            dup2(output[1], STDOUT_FILENO);
            installCrashReport();
            std::string filler(1 << 20, 'x');
            fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
            while (write(STDOUT_FILENO, filler.data(), filler.size()) > 0) { }
            fcntl(STDOUT_FILENO, F_SETFL, 0);
            raise(SIGSEGV);
        }
        int status = 0;
        waitpid(child, &status, 0);
        CHECK(WIFSIGNALED(status));
        CHECK(WTERMSIG(status) == SIGSEGV);
        close(output[0]);
        close(output[1]);
    }
}
