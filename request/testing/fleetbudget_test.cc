#include "request/fleetbudget.h"

#include "base/random.h"
#include "request/attempt.h"
#include "request/upstreamavailability.h"
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

namespace {

struct StaleEntriesResult {
    double maxExcess = 0; // maximum over all windows of the arrivals beyond the first, less the bound
    int misdirected = 0; // arrivals that got 421
    int maxMisdirectedPerInstance = 0;
    int refused = 0;
    int lateDetours = 0; // requests at an instance that knows all stale entries, not served at once
};

// A fleet whose directory lists a pool of which half of the entries are stale for 10 s.
StaleEntriesResult simulateStaleEntries(std::size_t instances, double requestsPerSecond, std::uint64_t seed)
{
    constexpr std::uint32_t entries = 12;
    constexpr std::uint32_t stale = entries / 2;
    struct Instance {
        FleetRetryBudget budget { settings() };
        UpstreamAvailability availability;
        int misdirected = 0;
    };
    Random random(seed);
    std::vector<Instance> fleet(instances);
    MonotonicTime now { std::chrono::hours(1) };
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
    StaleEntriesResult result;
    for (int step = 0; step < static_cast<int>(10 * requestsPerSecond); ++step) {
        now += std::chrono::microseconds(static_cast<std::int64_t>(1e6 / requestsPerSecond));
        Instance& instance = fleet[random.below(instances)];
        instance.budget.setInstances(instances, now);
        instance.budget.requestStarted("desk", now);
        requests.push_back(now);
        bool knowsAll = instance.availability.staleUpstreams() == stale;
        AttemptSituation situation;
        situation.timeLeft = Milliseconds(1000);
        for (;;) {
            std::vector<std::uint32_t> usable;
            for (std::uint32_t entry = 0; entry < entries; ++entry) {
                if (!instance.availability.isStale(entry))
                    usable.push_back(entry);
            }
            std::uint32_t chosen = usable[random.below(usable.size())];
            if (chosen >= stale)
                break;
            ++result.misdirected;
            ++instance.misdirected;
            instance.availability.setStale(chosen);
            ++situation.uncountedAttempts;
            situation.budgetLeft = instance.budget.allowsRepeat("desk", now);
            if (decideNext(AttemptEnd::WrongUpstream, situation) != AttemptVerdict::TryAgain) {
                ++result.refused;
                break;
            }
            instance.budget.repeatSent("desk", now);
            repeats.push_back(now);
        }
        result.maxMisdirectedPerInstance = std::max(result.maxMisdirectedPerInstance, instance.misdirected);
        result.lateDetours += knowsAll && situation.uncountedAttempts > 0 ? 1 : 0;
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

// Guards against a fleet that goes on sending requests to entries at whose addresses other upstreams answer
// (BUDGET, review case 4).
TEST_CASE("a fleet before a pool with stale entries stays under the bound and meets each entry once")
{
    for (std::size_t instances : { 9, 60, 295 }) {
        for (double perInstance : { 0.5, 5.0, 20.0 }) {
            CAPTURE(instances);
            CAPTURE(perInstance);
            auto result = simulateStaleEntries(instances, perInstance * static_cast<double>(instances), 4);
            CHECK(result.maxExcess <= 0);
            CHECK(result.misdirected > 0);
            CHECK(result.maxMisdirectedPerInstance <= 6);
            CHECK(result.lateDetours == 0);
        }
    }
}
