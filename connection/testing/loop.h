#pragma once

#include <csignal>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <memory>

// The event loop of tests with real loopback sockets. Header only, so that the stand-ins' tests use it too.
namespace briarwharf {

// Ends a test that hangs; no verdict depends on it otherwise.
constexpr int guardSeconds = 30;

struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};
using Base = std::unique_ptr<event_base, BaseDeleter>;

// A write to a connection that the other side has closed must not end the test program.
inline Base makeBase()
{
    std::signal(SIGPIPE, SIG_IGN);
    return Base(event_base_new());
}

// Runs the loop until the condition holds, which it must before the guard ends.
template <typename Condition> void runUntil(event_base* base, Condition condition)
{
    timeval guard { guardSeconds, 0 };
    event_base_loopexit(base, &guard);
    while (!condition() && !event_base_got_exit(base))
        event_base_loop(base, EVLOOP_ONCE);
    REQUIRE(condition());
}

} // namespace briarwharf
