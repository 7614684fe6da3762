#include "request/request.h"
#include <doctest/doctest.h>
#include <numeric>

using namespace briarwharf;

namespace {

// Requests per second whose home is the upstream.
double homeRate(const std::vector<double>& weights, std::size_t upstream, double requestsPerSecond)
{
    return requestsPerSecond * weights[upstream] / std::accumulate(weights.begin(), weights.end(), 0.0);
}

} // namespace

// Guards against segments that wander between engines because their home takes only some of their requests.
TEST_CASE("an upstream with a limit is the home of about as many requests as it takes")
{
    const std::vector<double> limits { 3, 3, 3, 6, 0, 0, 0, 0 };
    constexpr double requestsPerSecond = 80;
    std::vector<double> weights = homeWeights(requestsPerSecond, limits);
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        CHECK(homeRate(weights, upstream, requestsPerSecond) >= 0.6 * limits[upstream]);
        CHECK(homeRate(weights, upstream, requestsPerSecond) <= 1.2 * limits[upstream]);
    }
    CHECK(weights[4] == 1);
    // Instances whose estimates of the rate differ a little agree.
    CHECK(homeWeights(1.02 * requestsPerSecond, limits) == weights);
}

TEST_CASE("without limits, with limits only, and with limits above the demand all upstreams are equal")
{
    CHECK(homeWeights(80, { 0, 0 }) == std::vector<double> { 1, 1 });
    CHECK(homeWeights(80, { 3, 5 }) == std::vector<double> { 1, 1 });
    CHECK(homeWeights(80, { 300, 0 }) == std::vector<double> { 1, 1 });
    CHECK(homeWeights(0, { 3, 0 }) == std::vector<double> { 1, 1 });
    CHECK(homeWeights(80, {}).empty());
}
