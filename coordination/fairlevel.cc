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
    std::sort(
        demands.begin(), demands.end(), [](const WeightedDemand& left, const WeightedDemand& right) {
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
        double allocation = 0;
    };

    void setRatios(const PriorityClass& priorityClass)
    {
        std::vector<WeightedDemand> demands;
        for (const ShareClaim* claim : priorityClass.claims)
            demands.push_back({ claim->demand, claim->weight });
        double level = fairLevel(std::move(demands), priorityClass.allocation);
        for (ShareClaim* claim : priorityClass.claims) {
            double entitlement = level * claim->weight;
            claim->ratio = claim->demand > entitlement ? entitlement / claim->demand : 1;
        }
    }

} // namespace

bool divideCapacity(std::vector<ShareClaim>& claims, double capacity, double priorityFloor)
{
    double total = 0;
    std::map<int, PriorityClass> classes; // in the order of priorities
    for (ShareClaim& claim : claims) {
        claim.ratio = 1;
        total += claim.demand;
        PriorityClass& priorityClass = classes[claim.priority];
        priorityClass.claims.push_back(&claim);
        priorityClass.demand += claim.demand;
    }
    if (total <= capacity)
        return false;
    double remaining = capacity;
    for (auto& [priority, priorityClass] : classes) {
        priorityClass.allocation = priorityFloor * capacity * priorityClass.demand / total;
        remaining -= priorityClass.allocation;
    }
    for (auto& [priority, priorityClass] : classes) {
        double extra = std::min(priorityClass.demand - priorityClass.allocation, remaining);
        priorityClass.allocation += extra;
        remaining -= extra;
        setRatios(priorityClass);
    }
    return true;
}

} // namespace briarwharf
