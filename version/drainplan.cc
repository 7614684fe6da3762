#include "version/drainplan.h"

#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::chrono::days week { 7 };

    // The start of the latest occurrence that starts at or before `now`. Weeks are counted from Monday,
    // 5 January 1970 (UTC).
    WallTime lastStart(const DrainPlan& plan, WallTime now)
    {
        constexpr std::chrono::days firstMonday { 4 };
        WallTime first(firstMonday + std::chrono::days(plan.weekday) + plan.start);
        return first
            + std::chrono::floor<std::chrono::duration<std::int64_t, std::ratio<604800>>>(now - first);
    }

    DrainWindow windowStartingAt(const DrainPlan& plan, WallTime start)
    {
        return { plan.upstream, start, start + plan.length, plan.handover };
    }

} // namespace

std::optional<DrainWindow> windowAt(const DrainPlan& plan, WallTime now)
{
    DrainWindow window = windowStartingAt(plan, lastStart(plan, now));
    if (now >= window.end)
        return std::nullopt;
    return window;
}

DrainWindow nextWindow(const DrainPlan& plan, WallTime now)
{
    return windowStartingAt(plan, lastStart(plan, now) + week);
}

std::vector<DrainWindow> dueWindows(const Config& config, WallTime now)
{
    std::vector<DrainWindow> due;
    for (const auto& [name, plan] : config.drainPlans) {
        auto upstream = config.upstreams.find(name);
        auto window = windowAt(plan, now);
        bool notDue
            = !window || upstream == config.upstreams.end() || upstream->second.drainWindow >= window->start;
        if (!notDue)
            due.push_back(*window);
    }
    return due;
}

std::optional<WallTime> nextDrainStart(const Config& config, WallTime now)
{
    std::optional<WallTime> next;
    for (const auto& [name, plan] : config.drainPlans) {
        WallTime start = nextWindow(plan, now).start;
        next = next ? std::min(*next, start) : start;
    }
    return next;
}

} // namespace briarwharf
