#pragma once

#include <vector>

namespace briarwharf {

struct WeightedDemand {
    double demand = 0;
    double weight = 1; // positive
};

// Weighted max-min fairness: the level at which the demands, each bounded by level * weight, add up to the
// capacity. Infinite while the capacity suffices for all demands.
double fairLevel(std::vector<WeightedDemand>, double capacity);

// The demand of one organisation at one priority.
struct ShareClaim {
    int priority = 0; // 0 is the highest
    double weight = 1; // positive; within the priority
    double demand = 0;
    double ratio = 1; // of the demand that is admitted; set by divideCapacity()
};

// Divides the capacity by priority and, within a priority, by weighted max-min fairness. Each claim gets at
// least `floorShare` of what it would get in proportion to its demand, as far as that leaves the other claims
// of its priority their fair shares. Returns whether the demands exceed the capacity; otherwise all ratios
// are 1.
bool divideCapacity(std::vector<ShareClaim>&, double capacity, double floorShare);

} // namespace briarwharf
