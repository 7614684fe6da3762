#pragma once

#include <csignal>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <memory>

// The event loop of tests with real loopback sockets. Header-only, so that tests of other
// folders, such as those of the stand-ins, can use it.
namespace briarwharf {

// Timeout that ends a test that hangs. No other result of a test depends on it.
constexpr int hangTimeoutSeconds = 30;

struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
};
using Base = std::unique_ptr<event_base, BaseDeleter>;

// Ignores SIGPIPE, so that a write to a connection that the other side has closed does not end the test
// program.
inline Base makeBase()
{
    std::signal(SIGPIPE, SIG_IGN);
    return Base(event_base_new());
}

// Runs the loop until the condition holds; fails the test if it does not hold within hangTimeoutSeconds.
template <typename Condition> void runUntil(event_base* base, Condition condition)
{
    timeval hangTimeout { hangTimeoutSeconds, 0 };
    event_base_loopexit(base, &hangTimeout);
    while (!condition() && !event_base_got_exit(base))
        event_base_loop(base, EVLOOP_ONCE);
    REQUIRE(condition());
}

} // namespace briarwharf
