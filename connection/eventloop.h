#pragma once

#include "base/time.h"
#include <event2/event.h>
#include <functional>
#include <memory>

namespace briarwharf {

struct EventDeleter {
    void operator()(event* handle) const { event_free(handle); }
};

timeval toTimeval(Milliseconds);

// A restartable one-shot timer on the owner's event loop. The callback may restart or destroy the timer.
//
//   Timer timer(base, [&] { closeIdle(); });
//   timer.start(Milliseconds(500));
class Timer {
public:
    Timer(event_base*, std::function<void()> callback);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Starts the timer, or restarts it if it is pending. A negative delay counts as zero.
    void start(Milliseconds delay);
    void stop();
    bool isPending() const;

private:
    static void onEvent(evutil_socket_t, short, void* self);

    std::unique_ptr<event, EventDeleter> m_event;
    std::function<void()> m_callback;
};

// A periodic timer: calls the callback once per interval until the ticker is destroyed.
class Ticker {
public:
    Ticker(event_base*, Milliseconds interval, std::function<void()> callback);

private:
    Milliseconds m_interval;
    std::function<void()> m_callback;
    Timer m_timer;
};

// Ignores SIGPIPE, so that a write to a connection that the other side has closed fails with an error instead
// of ending the process. Programs call it once before they open connections.
void ignoreBrokenPipes();

// Runs the function from the event loop, after the running callback has returned.
void runLater(event_base*, std::function<void()>);

} // namespace briarwharf
