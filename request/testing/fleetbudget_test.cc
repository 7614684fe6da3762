#include "request/fleetbudget.h"

#include "base/random.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <vector>

using namespace briarwharf;

namespace {

constexpr double ratio = 0.2;
constexpr double slack = 58;
constexpr std::chrono::seconds window { 10 };

FleetRetryBudgetSettings settings() { return { ratio, window, slack }; }

// A fleet whose every request wants a repeat, and the worst window that its upstreams saw.
struct Overrun {
    double worst = 0; // repeats over what the window allows
    int repeats = 0;
};

Overrun play(std::size_t instances, std::size_t known, double requestsPerSecond, std::uint64_t seed)
{
    Random random(seed);
    std::vector<FleetRetryBudget> fleet(instances, FleetRetryBudget(settings()));
    MonotonicTime now { std::chrono::hours(1) };
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
    Overrun overrun;
    for (int step = 0; step < static_cast<int>(30 * requestsPerSecond); ++step) {
        now += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / requestsPerSecond));
        FleetRetryBudget& budget = fleet[random.below(instances)];
        budget.setInstances(known, now);
        budget.requestStarted("desk", now);
        requests.push_back(now);
        if (budget.allowsRepeat("desk", now)) {
            budget.repeatSent("desk", now);
            repeats.push_back(now);
            ++overrun.repeats;
        }
        while (!requests.empty() && now - requests.front() > window)
            requests.pop_front();
        while (!repeats.empty() && now - repeats.front() > window)
            repeats.pop_front();
        double allowed = ratio * static_cast<double>(requests.size()) + slack;
        overrun.worst = std::max(overrun.worst, static_cast<double>(repeats.size()) - allowed);
    }
    return overrun;
}

} // namespace

// Guards against a retry storm of the whole fleet while every upstream fails.
TEST_CASE("a fleet in which every request wants a repeat stays under the bound")
{
    for (std::size_t instances : { 1, 2, 9, 89 }) {
        CAPTURE(instances);
        Overrun overrun = play(instances, instances, 170, 7);
        CHECK(overrun.worst <= 0);
        CHECK(overrun.repeats > 100);
    }
}

// Guards against a window shorter than ten seconds that had no effect, and against a burst just before and
// one just after the window's oldest count is dropped, which together passed the bound.
TEST_CASE("bursts of repeats stay under the bound in every window of the stated length")
{
    for (Milliseconds length :
        { Milliseconds(1000), Milliseconds(1500), Milliseconds(4000), Milliseconds(10000) }) {
        for (Milliseconds pause : { length - Milliseconds(250), length, length * 2 }) {
            CAPTURE(length.count());
            CAPTURE(pause.count());
            FleetRetryBudget budget({ ratio, length, slack });
            budget.setInstances(2, MonotonicTime {});
            std::deque<MonotonicTime> requests;
            std::deque<MonotonicTime> repeats;
            double worst = 0;
            MonotonicTime start { std::chrono::hours(1) };
            for (MonotonicTime now = start; now < start + std::chrono::seconds(60); now += Milliseconds(5)) {
                budget.requestStarted("desk", now);
                requests.push_back(now);
                bool failing = (now - start) % pause < Milliseconds(100);
                while (failing && budget.allowsRepeat("desk", now)) {
                    budget.repeatSent("desk", now);
                    repeats.push_back(now);
                }
                while (now - requests.front() > length)
                    requests.pop_front();
                while (!repeats.empty() && now - repeats.front() > length)
                    repeats.pop_front();
                double allowed = ratio * static_cast<double>(requests.size()) + slack / 2;
                worst = std::max(worst, static_cast<double>(repeats.size()) - allowed);
            }
            CHECK(worst <= 0);
        }
    }
}

// Each instance has a floor of one repeat, which a fleet of 480 with a slack of 58 would pass in the worst
// case; at that size the slack of the deployment is larger, as the users' own figures grow with their fleets.
TEST_CASE("a fleet of 480 instances stays under the bound of its size")
{
    std::vector<FleetRetryBudget> fleet(480, FleetRetryBudget({ ratio, window, 1200 }));
    MonotonicTime now { std::chrono::hours(1) };
    int repeats = 0;
    for (auto& budget : fleet) {
        budget.setInstances(480, now);
        while (budget.allowsRepeat("desk", now)) {
            budget.repeatSent("desk", now);
            ++repeats;
        }
    }
    CHECK(repeats <= 1200);
}

// Guards against an instance that believes itself alone and takes the slack of the whole fleet.
TEST_CASE("the loss of peers' news makes an instance more careful, not less")
{
    MonotonicTime now { std::chrono::hours(1) };
    auto allowance = [&](FleetRetryBudget budget) {
        int count = 0;
        for (; budget.allowsRepeat("desk", now); ++count)
            budget.repeatSent("desk", now);
        return count;
    };
    FleetRetryBudget never(settings());
    never.setInstances(1, now);
    CHECK(allowance(never) <= 4);
    FleetRetryBudget lost(settings());
    lost.setInstances(9, now);
    lost.setInstances(1, now + std::chrono::seconds(5));
    CHECK(allowance(lost) <= 5);
}

TEST_CASE("unused budget does not pile up beyond the window")
{
    FleetRetryBudget budget(settings());
    MonotonicTime now { std::chrono::hours(1) };
    budget.setInstances(9, now);
    for (int request = 0; request < 1000; ++request)
        budget.requestStarted("desk", now);
    now += std::chrono::seconds(11);
    int repeats = 0;
    for (; budget.allowsRepeat("desk", now); ++repeats)
        budget.repeatSent("desk", now);
    CHECK(repeats <= 5);
}
