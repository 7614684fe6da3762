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

// The result of a simulated fleet in which every request needs a repeat.
struct SimulationResult {
    double maxExcess = 0; // maximum over all windows of the repeats beyond the bound
    int repeats = 0;
};

SimulationResult simulate(
    std::size_t instances, std::size_t knownInstances, double requestsPerSecond, std::uint64_t seed)
{
    Random random(seed);
    std::vector<FleetRetryBudget> fleet(instances, FleetRetryBudget(settings()));
    MonotonicTime now { std::chrono::hours(1) };
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
    SimulationResult result;
    for (int step = 0; step < static_cast<int>(30 * requestsPerSecond); ++step) {
        now += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / requestsPerSecond));
        FleetRetryBudget& budget = fleet[random.below(instances)];
        budget.setInstances(knownInstances, now);
        budget.requestStarted("desk", now);
        requests.push_back(now);
        if (budget.allowsRepeat("desk", now)) {
            budget.repeatSent("desk", now);
            repeats.push_back(now);
            ++result.repeats;
        }
        while (!requests.empty() && now - requests.front() > window)
            requests.pop_front();
        while (!repeats.empty() && now - repeats.front() > window)
            repeats.pop_front();
        double allowed = ratio * static_cast<double>(requests.size()) + slack;
        result.maxExcess = std::max(result.maxExcess, static_cast<double>(repeats.size()) - allowed);
    }
    return result;
}

} // namespace

// Guards against a retry storm by the whole fleet while every upstream fails.
TEST_CASE("a fleet in which every request needs a repeat stays under the bound")
{
    for (std::size_t instances : { 1, 2, 9, 89, 295 }) {
        CAPTURE(instances);
        SimulationResult result = simulate(instances, instances, 170, 7);
        CHECK(result.maxExcess <= 0);
        CHECK(result.repeats > 100);
    }
}

// Guards against a window shorter than ten seconds that has no effect, and against two bursts that together
// exceed the bound: one just before and one just after the oldest count of the window is dropped.
TEST_CASE("bursts of repeats stay under the bound in every window of the stated length")
{
    for (Milliseconds length :
        { Milliseconds(1000), Milliseconds(1500), Milliseconds(4000), Milliseconds(10000) }) {
        for (Milliseconds burstInterval : { length - Milliseconds(250), length, length * 2 }) {
            CAPTURE(length.count());
            CAPTURE(burstInterval.count());
            FleetRetryBudget budget({ ratio, length, slack });
            budget.setInstances(2, MonotonicTime {});
            std::deque<MonotonicTime> requests;
            std::deque<MonotonicTime> repeats;
            double maxExcess = 0;
            MonotonicTime start { std::chrono::hours(1) };
            for (MonotonicTime now = start; now < start + std::chrono::seconds(60); now += Milliseconds(5)) {
                budget.requestStarted("desk", now);
                requests.push_back(now);
                bool failing = (now - start) % burstInterval < Milliseconds(100);
                while (failing && budget.allowsRepeat("desk", now)) {
                    budget.repeatSent("desk", now);
                    repeats.push_back(now);
                }
                while (now - requests.front() > length)
                    requests.pop_front();
                while (!repeats.empty() && now - repeats.front() > length)
                    repeats.pop_front();
                double allowed = ratio * static_cast<double>(requests.size()) + slack / 2;
                maxExcess = std::max(maxExcess, static_cast<double>(repeats.size()) - allowed);
            }
            CHECK(maxExcess <= 0);
        }
    }
}

// Every instance may make at least one repeat, so a fleet of 480 instances with a slack of 58 would exceed
// its bound in the worst case. Deployments of that size have a larger slack, because the limits that users
// require grow with their fleets.
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

// Guards against an instance that counts only itself and uses the slack of the whole fleet.
TEST_CASE("the loss of membership updates lowers the budget of an instance and does not raise it")
{
    MonotonicTime now { std::chrono::hours(1) };
    auto allowance = [&](FleetRetryBudget budget) {
        int count = 0;
        for (; budget.allowsRepeat("desk", now); ++count)
            budget.repeatSent("desk", now);
        return count;
    };
    FleetRetryBudget peersNeverKnown(settings());
    peersNeverKnown.setInstances(1, now);
    CHECK(allowance(peersNeverKnown) <= 4);
    FleetRetryBudget updatesLost(settings());
    updatesLost.setInstances(9, now);
    updatesLost.setInstances(1, now + std::chrono::seconds(5));
    CHECK(allowance(updatesLost) <= 5);
}

TEST_CASE("unused budget does not accumulate beyond the window")
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
