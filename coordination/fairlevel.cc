#include "coordination/fairlevel.h"

#include <algorithm>
#include <limits>
#include <map>

namespace briarwharf {

double fairLevel(std::vector<WeightedDemand> demands, double capacity)
{
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    double total = 0;
    double weights = 0;
    for (const WeightedDemand& demand : demands) {
        total += demand.demand;
        weights += demand.weight;
    }
    if (total <= capacity)
        return unlimited;
    std::sort(demands.begin(), demands.end(), [](const WeightedDemand& left, const WeightedDemand& right) {
        return left.demand / left.weight < right.demand / right.weight;
    });
    double remaining = capacity;
    for (const WeightedDemand& demand : demands) {
        if (demand.demand / demand.weight * weights >= remaining)
            break;
        remaining -= demand.demand;
        weights -= demand.weight;
    }
    return weights > 0 ? remaining / weights : unlimited;
}

namespace {

    struct PriorityClass {
        std::vector<ShareClaim*> claims;
        double demand = 0;
        double weights = 0;
        double allocation = 0;
    };

    // What each claim gets at least: its demand or its fair share, and its floor if enough is left.
    std::vector<double> guarantees(const PriorityClass& priorityClass, double floorRatio)
    {
        std::vector<double> result;
        double left = priorityClass.allocation;
        double missing = 0;
        auto missingToFloor = [floorRatio](const ShareClaim& claim, double guaranteed) {
            return std::max(0.0, floorRatio * claim.demand - guaranteed);
        };
        for (const ShareClaim* claim : priorityClass.claims) {
            double fairShare = priorityClass.allocation * claim->weight / priorityClass.weights;
            result.push_back(std::min(claim->demand, fairShare));
            left -= result.back();
            missing += missingToFloor(*claim, result.back());
        }
        left
            = std::max(left, 0.0); // the sum of the fair shares may exceed the allocation by a rounding error
        double granted = missing > left ? left / missing : 1;
        for (std::size_t index = 0; index < result.size(); ++index)
            result[index] += granted * missingToFloor(*priorityClass.claims[index], result[index]);
        return result;
    }

    void setRatios(const PriorityClass& priorityClass, double floorRatio)
    {
        if (priorityClass.demand <= priorityClass.allocation)
            return;
        std::vector<double> least = guarantees(priorityClass, floorRatio);
        auto granted = [&](std::size_t index, double level) {
            const ShareClaim& claim = *priorityClass.claims[index];
            return std::min(claim.demand, std::max(least[index], level * claim.weight));
        };
        // The level at which the grants add up to the allocation, by bisection.
        constexpr int steps = 40;
        double low = 0;
        double high = 0;
        for (const ShareClaim* claim : priorityClass.claims)
            high = std::max(high, claim->demand / claim->weight);
        for (int step = 0; step < steps; ++step) {
            double level = (low + high) / 2;
            double sum = 0;
            for (std::size_t index = 0; index < least.size(); ++index)
                sum += granted(index, level);
            (sum > priorityClass.allocation ? high : low) = level;
        }
        for (std::size_t index = 0; index < least.size(); ++index) {
            ShareClaim& claim = *priorityClass.claims[index];
            claim.ratio = claim.demand > 0 ? granted(index, low) / claim.demand : 1;
        }
    }

} // namespace

bool divideCapacity(std::vector<ShareClaim>& claims, double capacity, double floorShare)
{
    double total = 0;
    std::map<int, PriorityClass> classes; // in the order of priorities
    for (ShareClaim& claim : claims) {
        claim.ratio = 1;
        total += claim.demand;
        PriorityClass& priorityClass = classes[claim.priority];
        priorityClass.claims.push_back(&claim);
        priorityClass.demand += claim.demand;
        priorityClass.weights += claim.weight;
    }
    if (total <= capacity)
        return false;
    double floorRatio = floorShare * capacity / total;
    double remaining = capacity;
    for (auto& [priority, priorityClass] : classes) {
        priorityClass.allocation = floorRatio * priorityClass.demand;
        remaining -= priorityClass.allocation;
    }
    for (auto& [priority, priorityClass] : classes) {
        double extra = std::min(priorityClass.demand - priorityClass.allocation, remaining);
        priorityClass.allocation += extra;
        remaining -= extra;
        setRatios(priorityClass, floorRatio);
    }
    return true;
}

} // namespace briarwharf
