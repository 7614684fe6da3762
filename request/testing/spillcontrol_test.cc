#include "request/spillcontrol.h"

#include "base/hash.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr std::uint32_t engine = 7;
constexpr MonotonicTime start { std::chrono::hours(1) };

// The share of many requests that the engine gets.
double admittedShare(const SpillControl& control)
{
    constexpr int requests = 2000;
    int admitted = 0;
    for (int request = 0; request < requests; ++request)
        admitted += control.admits(engine, hash64(std::to_string(request))) ? 1 : 0;
    return static_cast<double>(admitted) / requests;
}

} // namespace

// Guards against contexts that leave their home in calm.
TEST_CASE("an engine with its usual load gets all of its requests")
{
    SpillControl control;
    for (int step = 0; step < 100; ++step)
        control.observe(engine, 4 + step % 5, 6, start + step * Milliseconds(100));
    CHECK(admittedShare(control) == 1);
    CHECK(control.admits(engine + 1, 1)); // not observed
}

// Guards against a load that swings around the bound because all instances act on the same old news.
TEST_CASE(
    "the load of an engine with ten times its usual demand settles below the bound on news of a second ago")
{
    constexpr double mean = 6;
    constexpr double bound = 2 * mean + 3;
    constexpr double demand = 70; // requests in progress, if it got all
    constexpr double durationSeconds = 1.4;
    constexpr Milliseconds step { 50 };
    constexpr std::size_t delaySteps = 20;
    SpillControl control;
    double load = mean;
    std::deque<double> news(delaySteps, load);
    MonotonicTime now = start;
    double mostLate = 0;
    for (; now < start + Milliseconds(20000); now += step) {
        control.observe(engine, static_cast<int>(news.front()), mean, now);
        news.pop_front();
        double target = demand * admittedShare(control);
        load += (target - load) * std::chrono::duration<double>(step).count() / durationSeconds;
        news.push_back(load);
        if (now > start + Milliseconds(8000))
            mostLate = std::max(mostLate, load);
    }
    CHECK(mostLate <= bound);
    CHECK(load >= mean);
}

// Guards against an engine that stays without requests after the demand has fallen or its news stopped.
TEST_CASE("an engine gets all of its requests again when its load has fallen or the latest news are too old")
{
    SpillControl control;
    MonotonicTime now = start;
    for (int step = 0; step < 50; ++step)
        control.observe(engine, 40, 6, now += Milliseconds(100));
    SpillControl later = control;
    CHECK(admittedShare(control) < 0.1);
    for (int step = 0; step < 150; ++step)
        control.observe(engine, 3, 6, now += Milliseconds(100));
    CHECK(admittedShare(control) == 1);
    later.observe(engine, 5, 6, start + std::chrono::minutes(1));
    CHECK(admittedShare(later) == 1);
}
