#include "base/base.h"
#include "coordination/coordination.h"
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Measures what prompts of many segments cost the quarantine, and prints one line for each number of
// segments: the longest time of a decision, of a crash that ends requests in progress, and of a tick.
//
//   quarantine-bench

using namespace briarwharf;

namespace {

constexpr std::size_t promptSizes[] { 1, 10, 100, 500, 1000, 2000 };
constexpr std::size_t requestsInProgress = 100;
constexpr std::uint32_t crashes = 4;
constexpr int decisions = 100;

using Segments = std::vector<std::uint64_t>;

// A prompt whose segments are its own, but for the first one.
Segments promptOf(std::size_t size, std::size_t number)
{
    Segments segments { 1 };
    while (segments.size() < size)
        segments.push_back(number * 10000 + segments.size() + 1);
    return segments;
}

template <typename Work> double longestMilliseconds(int times, Work work)
{
    std::chrono::duration<double, std::milli> longest {};
    for (int time = 0; time < times; ++time) {
        MonotonicTime before = clockNow();
        work();
        longest = std::max<std::chrono::duration<double, std::milli>>(longest, clockNow() - before);
    }
    return longest.count();
}

void measure(std::size_t promptSize)
{
    Outbox outbox;
    Membership membership({ "a", "10.0.0.1:1", "a", 1 }, {}, outbox, 1);
    SegmentQuarantine quarantine(membership);
    MonotonicTime now { std::chrono::hours(1) };
    std::vector<Segments> prompts;
    for (std::size_t number = 0; number < requestsInProgress; ++number)
        prompts.push_back(promptOf(promptSize, number));
    double crash = 0;
    double tick = 0;
    for (std::uint32_t upstream = 0; upstream < crashes; ++upstream) {
        now += Milliseconds(400);
        std::size_t next = 0;
        crash = std::max(crash, longestMilliseconds(requestsInProgress, [&] {
            quarantine.recordCrash(prompts[next++], upstream, now, now);
        }));
        tick = std::max(tick, longestMilliseconds(1, [&] { quarantine.tick(now); }));
    }
    now += Milliseconds(1500);
    tick = std::max(tick, longestMilliseconds(10, [&] { quarantine.tick(now); }));
    std::size_t next = 0;
    double decision
        = longestMilliseconds(decisions, [&] { quarantine.refuse(prompts[next++ % prompts.size()], now); });
    std::printf(
        "segments %5zu  decision %8.3f ms  crash of one request %8.3f ms  tick %8.3f ms  groups %zu\n",
        promptSize, decision, crash, tick, quarantine.groups().size());
}

} // namespace

int main()
{
    configureLogging("error");
    for (std::size_t promptSize : promptSizes)
        measure(promptSize);
    return 0;
}
