// Measures the time of a CostPlacement decision of a large fleet for pools of several sizes, with a fixed
// seed. Prints one line per pool size.

#include "base/base.h"
#include "request/request.h"
#include <chrono>
#include <cstdio>
#include <vector>

using namespace briarwharf;

namespace {

constexpr std::uint64_t seed = 1;
constexpr int decisions = 200000;
constexpr std::int64_t memoryTokens = 500000;
constexpr Milliseconds interval { 100 }; // between decisions, as the loads' controllers see it

WorkItem randomItem(Random& random)
{
    WorkItem item;
    item.segments
        = { { random.below(20), 512 }, { 1000 + random.below(300), 5000 }, { random.next(), 1000 } };
    item.promptTokens = 6512;
    item.outputTokens = 300;
    item.targetLatency = Milliseconds(600);
    item.hash = random.next();
    return item;
}

double microsecondsPerDecision(std::size_t upstreams)
{
    Random random(seed);
    std::vector<UpstreamCandidate> candidates(upstreams);
    for (auto& candidate : candidates) {
        candidate.hash = static_cast<std::uint32_t>(random.next());
        candidate.requests = static_cast<int>(random.below(8));
        candidate.pendingPromptTokens = static_cast<std::int64_t>(random.below(4000));
        candidate.slots = 64;
    }
    std::vector<WorkItem> items;
    items.reserve(1000);
    for (int count = 0; count < 1000; ++count)
        items.push_back(randomItem(random));
    CostPlacement placement({});
    std::size_t sum = 0;
    auto start = std::chrono::steady_clock::now();
    for (int decision = 0; decision < decisions; ++decision) {
        const WorkItem& item = items[static_cast<std::size_t>(decision) % items.size()];
        placement.observeLoads(candidates, MonotonicTime(interval * decision));
        auto chosen = placement.chooseEngine(item, candidates);
        sum += chosen->index;
        placement.recordPlacement(item, candidates[chosen->index].hash, memoryTokens);
    }
    std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return sum == 0 ? 0 : elapsed.count() / decisions;
}

} // namespace

int main()
{
    for (std::size_t upstreams : { 12, 90, 200, 586 })
        std::printf("%4zu upstreams: %.2f us a decision\n", upstreams, microsecondsPerDecision(upstreams));
    return 0;
}
