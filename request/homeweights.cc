#include "request/homeweights.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // Share of a limit that the upstream's own segments may use; the rest is left for their fluctuation.
    constexpr double homeShare = 0.9;

    constexpr double minWeight = 1.0 / 64;

    // The nearest power of the square root of 2.
    double coarse(double weight) { return std::exp2(std::round(2 * std::log2(weight)) / 2); }

} // namespace

std::vector<double> homeWeights(double requestsPerSecond, const std::vector<double>& limits)
{
    std::vector<double> weights(limits.size(), 1);
    double usedByLimited = 0;
    for (double limit : limits)
        usedByLimited += homeShare * limit;
    double rest = requestsPerSecond - usedByLimited; // for the upstreams without a limit
    auto unlimited = static_cast<double>(std::count(limits.begin(), limits.end(), 0));
    if (rest <= 0 || unlimited == 0)
        return weights;
    for (std::size_t index = 0; index < limits.size(); ++index) {
        if (limits[index] > 0)
            weights[index] = coarse(std::clamp(homeShare * limits[index] * unlimited / rest, minWeight, 1.0));
    }
    return weights;
}

} // namespace briarwharf
