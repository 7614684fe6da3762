#include "version/testing/generators.h"

using namespace briarwharf;
using namespace briarwharf::testing;

// Guards against windows on the wrong day. The plan begins on Sundays at 23:30, and 7 December 2026 is a
// Monday.
TEST_CASE("a weekly plan gives the right windows across midnight and the end of the week")
{
    DrainPlan plan { "e1", 6, std::chrono::minutes(23 * 60 + 30), std::chrono::minutes(90), true };
    auto minute = [](const char* text) { return parseMinute(text).value(); };
    auto window = windowAt(plan, minute("2026-12-07T00:59Z"));
    REQUIRE(window.has_value());
    CHECK(printMinute(window->start) == "2026-12-06T23:30Z");
    CHECK_FALSE(windowAt(plan, minute("2026-12-07T01:00Z")).has_value());
    CHECK_FALSE(windowAt(plan, minute("2026-12-06T23:29Z")).has_value());
    CHECK(printMinute(nextWindow(plan, minute("2026-12-06T23:29Z")).start) == "2026-12-06T23:30Z");
    CHECK(printMinute(nextWindow(plan, minute("2026-12-06T23:30Z")).start) == "2026-12-13T23:30Z");
}

TEST_CASE("the next window starts within a week of any time and contains its own start")
{
    CHECK(rc::check("windows repeat weekly", [] {
        DrainPlan plan { "e1", *rc::gen::inRange(0, 7), std::chrono::minutes(*rc::gen::inRange(0, 1440)),
            std::chrono::minutes(*rc::gen::inRange(5, 1441)), true };
        WallTime now = *anyMinute();
        DrainWindow next = nextWindow(plan, now);
        RC_ASSERT(next.start > now);
        RC_ASSERT(next.start - now <= std::chrono::days(7));
        RC_ASSERT(windowAt(plan, next.start) == next);
        RC_ASSERT(!windowAt(plan, next.end).has_value());
    }));
}

// Guards against a second drain in the same window, after an operator ended the first drain early.
TEST_CASE("a window is due until its drain has begun")
{
    Config config = configAfter(sampleConfig(), "PLAN DRAIN UPSTREAM e1 EVERY MON AT 02:00 FOR 90m");
    WallTime now = parseMinute("2026-12-07T02:10Z").value();
    REQUIRE(dueWindows(config, now).size() == 1);
    CHECK(nextDrainStart(config, now) == parseMinute("2026-12-14T02:00Z"));
    Config drained = configAfter(config, "DRAIN UPSTREAM e1 FOR WINDOW 2026-12-07T02:00Z");
    CHECK(dueWindows(drained, now).empty());
    CHECK(dueWindows(configAfter(drained, "UNDRAIN UPSTREAM e1"), now).empty());
}
