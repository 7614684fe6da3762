#pragma once

#include "base/time.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace briarwharf {

struct FleetRetryBudgetSettings {
    double ratio = 0.2; // repeats per request, over the window
    Milliseconds window { 10000 }; // at most 10 s
    double slack = 50; // repeats in a window that the fleet may make in addition to the ratio
    // Share of the bound that is used. The rest is a margin for requests that end before the start of the
    // window by which their repeats are bounded.
    double usedShare = 0.8;
    // If not 0, an instance whose requests in a window allow less than one repeat may make one in some of the
    // windows, in proportion to what they allow. Which ones differs between instances by this seed, so that
    // the fleet keeps the ratio although no instance reaches a whole repeat.
    std::uint64_t fractionSeed = 0;
};

// Bounds the repeats of a whole fleet without a shared counter. A repeat is an attempt after the first one,
// either a retry or the resumption of a stream. Each instance may make repeats up to the ratio of its own
// requests plus its share of the slack. The share is the slack divided by the largest number of instances
// that was known recently, so that membership updates that are lost or late reduce the repeats of the fleet
// and never increase them.
class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryBudgetSettings);

    void setSettings(const FleetRetryBudgetSettings& settings) { m_settings = settings; }

    // Sets the number of instances of the fleet that are known now, including this one.
    void setInstances(std::size_t instances, MonotonicTime now);

    // Must be called once for each request to the pool, and not for its repeats.
    void requestStarted(std::string_view pool, MonotonicTime now);

    bool allowsRepeat(std::string_view pool, MonotonicTime now);

    // Must be called for each repeat that is sent.
    void repeatSent(std::string_view pool, MonotonicTime now);

private:
    // Buckets of 500 ms for windows of up to 10 s: one bucket more than such a window holds, because a window
    // can begin within a bucket.
    static constexpr std::size_t bucketCount = 21;
    using Buckets = std::array<int, bucketCount>;

    struct Counts {
        Buckets requests {};
        Buckets repeats {};
        std::int64_t newestBucket = 0;
    };

    bool allowsFraction(std::string_view pool, double allowed, MonotonicTime now) const;
    Counts& countsAt(std::string_view pool, MonotonicTime now);
    static std::int64_t bucketOf(MonotonicTime);
    static int sumOfNewest(const Buckets&, std::int64_t newestBucket, std::int64_t count);

    FleetRetryBudgetSettings m_settings;
    std::map<std::string, Counts, std::less<>> m_pools;
    std::size_t m_instances = 0;
    MonotonicTime m_instancesUpdated;
};

} // namespace briarwharf
