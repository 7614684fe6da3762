#pragma once

#include <vector>

namespace briarwharf {

// Weights of the upstreams of a pool in the rendezvous order of prompt segments. An upstream that limits its
// requests gets a weight with which it is the home of as many requests as it takes, so that the other
// segments move to one upstream each instead of being read wherever a request finds a place.
//
// `requestsPerSecond`: of the pool, from all instances. `limits`: what each upstream takes, in requests per
// second; 0 for those without a limit, whose weight is 1. The weights are coarse, so that instances whose
// estimates of the rate differ a little agree on them.
std::vector<double> homeWeights(double requestsPerSecond, const std::vector<double>& limits);

} // namespace briarwharf
