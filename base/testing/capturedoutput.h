#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace briarwharf {

// Redirects standard output to a pipe for the lifetime of the object.
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
    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    // Returns the output written since the last call.
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

} // namespace briarwharf
