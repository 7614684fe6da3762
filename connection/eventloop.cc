#include "connection/eventloop.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace briarwharf {

timeval toTimeval(Milliseconds duration)
{
    std::int64_t count = std::max<std::int64_t>(0, duration.count());
    timeval value {};
    value.tv_sec = static_cast<time_t>(count / 1000);
    value.tv_usec = static_cast<suseconds_t>((count % 1000) * 1000);
    return value;
}

Timer::Timer(event_base* base, std::function<void()> callback)
    : m_event(event_new(base, -1, 0, &Timer::onEvent, this))
    , m_callback(std::move(callback))
{
}

void Timer::start(Milliseconds delay)
{
    timeval value = toTimeval(delay);
    event_add(m_event.get(), &value);
}

void Timer::stop() { event_del(m_event.get()); }

bool Timer::isPending() const { return event_pending(m_event.get(), EV_TIMEOUT, nullptr) != 0; }

void Timer::onEvent(evutil_socket_t, short, void* self)
{
    // The callback may destroy the timer and m_callback with it, so a copy is called.
    auto callback = static_cast<Timer*>(self)->m_callback;
    callback();
}

Ticker::Ticker(event_base* base, Milliseconds interval, std::function<void()> callback)
    : m_interval(interval)
    , m_callback(std::move(callback))
    , m_timer(base, [this] {
        m_timer.start(m_interval);
        m_callback();
    })
{
    m_timer.start(m_interval);
}

void ignoreBrokenPipes() { std::signal(SIGPIPE, SIG_IGN); }

void runLater(event_base* base, std::function<void()> function)
{
    auto* holder = new std::function<void()>(std::move(function));
    timeval now {};
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument) {
            std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(argument));
            (*owned)();
        },
        holder, &now);
}

} // namespace briarwharf
