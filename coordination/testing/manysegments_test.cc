#include "base/base.h"
#include "coordination/coordination.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace briarwharf;

namespace {

using Segments = std::vector<std::uint64_t>;

constexpr std::uint64_t bad = 77;
constexpr std::size_t promptSize = 2000;

// A prompt with the bad segment in its midst; all others are its own.
Segments promptOf(std::size_t number)
{
    Segments segments;
    for (std::size_t index = 0; index < promptSize; ++index)
        segments.push_back(index == promptSize / 2 ? bad : number * 1000000 + index + 1000);
    return segments;
}

struct QuarantineFixture {
    Outbox outbox;
    Membership membership { { "a", "10.0.0.1:1", "a", 1 }, {}, outbox, 1 };
    SegmentQuarantine quarantine { membership };
    MonotonicTime now { std::chrono::hours(1) };
    std::size_t prompts = 0;

    // The upstream ends while these many prompts wait there.
    void crash(std::uint32_t upstream, std::size_t waiting)
    {
        for (std::size_t index = 0; index < waiting; ++index)
            quarantine.recordCrash(promptOf(++prompts), upstream, now, now);
    }

    std::chrono::nanoseconds timeOfCrash()
    {
        Segments segments = promptOf(++prompts);
        MonotonicTime before = clockNow();
        quarantine.recordCrash(segments, 1, now, now);
        return clockNow() - before;
    }
};

} // namespace

// Guards against an instance that answers nobody for seconds, because each new segment of a prompt was
// compared with all that are known.
TEST_CASE("a crash costs no more when many segments are known")
{
    constexpr int tries = 5;
    constexpr int maxRatio = 15;
    auto least = std::chrono::nanoseconds::max();
    for (int time = 0; time < tries; ++time)
        least = std::min(least, QuarantineFixture().timeOfCrash());
    QuarantineFixture full;
    full.crash(1, 10);
    auto leastWhenFull = std::chrono::nanoseconds::max();
    for (int time = 0; time < tries; ++time)
        leastWhenFull = std::min(leastWhenFull, full.timeOfCrash());
    CHECK(leastWhenFull < maxRatio * least);
}

// Guards against forgetting the segment that crashes upstreams, among thousands of others of the same
// prompts.
TEST_CASE("a segment that many prompts share is kept when more segments wait at a crash than are remembered")
{
    QuarantineFixture fixture;
    for (std::uint32_t upstream = 1; upstream <= 4; ++upstream) {
        fixture.crash(upstream, 43);
        fixture.now += Milliseconds(400);
        fixture.quarantine.tick(fixture.now);
    }
    REQUIRE(fixture.quarantine.groups().size() == 1);
    CHECK(fixture.quarantine.groups().front().segments == Segments { bad });
    CHECK(fixture.quarantine.refuse(promptOf(1000), fixture.now));
    CHECK_FALSE(fixture.quarantine.refuse(Segments { 5, 6 }, fixture.now));
}
