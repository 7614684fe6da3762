#pragma once

#include "base/time.h"
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace briarwharf {

struct FleetRetryBudgetSettings {
    double ratio = 0.2; // repeats for each request, over the window
    Milliseconds window { 10000 }; // at most ten seconds
    double slack = 50; // repeats in a window that the fleet may make beside the ratio
    // Part of the bound that is used. The rest covers requests that end before the window that bounds them.
    double used = 0.8;
};

// Bounds repeats for a whole fleet without a shared counter: each instance uses the ratio of its own requests
// and its part of the slack. The part is divided by the largest number of instances known lately, so that
// news that is lost or late makes the fleet more careful, never less.
class FleetRetryBudget {
public:
    explicit FleetRetryBudget(FleetRetryBudgetSettings);

    void setSettings(const FleetRetryBudgetSettings& settings) { m_settings = settings; }

    // Instances of the fleet, this one included, as they are known now.
    void setInstances(std::size_t instances, MonotonicTime now);

    // Call once for each request to the pool, not for its repeats.
    void requestStarted(std::string_view pool, MonotonicTime now);

    bool allowsRepeat(std::string_view pool, MonotonicTime now);

    // Call for each repeat that is sent.
    void repeatSent(std::string_view pool, MonotonicTime now);

private:
    // Of half a second, for windows of up to ten seconds: one more than those hold, since a window begins
    // within a bucket.
    static constexpr std::size_t buckets = 21;
    using Buckets = std::array<int, buckets>;

    struct Counts {
        Buckets requests {};
        Buckets repeats {};
        std::int64_t newest = 0; // number of the newest bucket
    };

    Counts& at(std::string_view pool, MonotonicTime now);
    static std::int64_t bucketOf(MonotonicTime);
    static int sumOfNewest(const Buckets&, std::int64_t newest, std::int64_t count);

    FleetRetryBudgetSettings m_settings;
    std::map<std::string, Counts, std::less<>> m_pools;
    std::size_t m_instances = 0;
    MonotonicTime m_instancesAt;
};

} // namespace briarwharf
