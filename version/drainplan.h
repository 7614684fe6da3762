#pragma once

#include "version/config.h"
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// One occurrence of a weekly drain plan: the time in which the upstream is drained.
struct DrainWindow {
    std::string upstream;
    WallTime start {};
    WallTime end {}; // exclusive
    bool handover = true;

    bool operator==(const DrainWindow&) const = default;
};

// The occurrence that contains `now`, if any. The result depends only on the plan and the time, so all
// instances agree on it.
std::optional<DrainWindow> windowAt(const DrainPlan&, WallTime now);

// The first occurrence that starts after `now`.
DrainWindow nextWindow(const DrainPlan&, WallTime now);

// The occurrences that contain `now` and whose drain has not begun yet, ordered by upstream. A window whose
// drain an operator ended is not due again.
std::vector<DrainWindow> dueWindows(const Config&, WallTime now);

// The earliest start after `now` of an occurrence of any plan; nullopt if there are no plans.
std::optional<WallTime> nextDrainStart(const Config&, WallTime now);

} // namespace briarwharf
