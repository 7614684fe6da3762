#pragma once

#include "version/config.h"
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// One occurrence of a weekly drain plan.
struct DrainWindow {
    std::string upstream;
    WallTime start {};
    WallTime end {}; // exclusive
    bool handover = true;

    bool operator==(const DrainWindow&) const = default;
};

// The occurrence that contains `now`, if any. Depends on the plan and the time only.
std::optional<DrainWindow> windowAt(const DrainPlan&, WallTime now);

// The first occurrence that starts after `now`.
DrainWindow nextWindow(const DrainPlan&, WallTime now);

// The occurrences that contain `now` and have not been carried out or ended by an operator, by upstream.
std::vector<DrainWindow> dueWindows(const Config&, WallTime now);

// When the next occurrence of any plan starts; nullopt without plans.
std::optional<WallTime> nextDrainStart(const Config&, WallTime now);

} // namespace briarwharf
