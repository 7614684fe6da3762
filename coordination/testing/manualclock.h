#pragma once

#include "base/time.h"
#include <functional>
#include <map>
#include <utility>

namespace briarwharf {

// Clock and event queue whose time only tests advance. Events with the same time run in the order in which
// they were added, so that a run depends only on its inputs.
class ManualClock {
public:
    MonotonicTime now() const { return m_now; }

    std::function<MonotonicTime()> reader() const
    {
        return [this] { return m_now; };
    }

    WallTime wallNow() const
    {
        // 2026-01-01 00:00 UTC plus the time by which the clock has advanced.
        return fromUnixMilliseconds(1767225600000) + (m_now - MonotonicTime {});
    }

    // Runs `event` when the clock has advanced by `delay`.
    void after(Milliseconds delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, m_sequence++), std::move(event));
    }

    // Advances the time and runs the events that become due, including due events that they add.
    void advance(Milliseconds duration)
    {
        MonotonicTime end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto first = m_events.begin();
            m_now = std::max(m_now, first->first.first);
            auto event = std::move(first->second);
            m_events.erase(first);
            event();
        }
        m_now = end;
    }

    // Whether no event is waiting.
    bool idle() const { return m_events.empty(); }

private:
    MonotonicTime m_now {};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace briarwharf
