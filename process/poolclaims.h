#pragma once

#include "coordination/poolshares.h"
#include "version/version.h"
#include <vector>

namespace briarwharf {

// The pools of plain services and the organisations that may send requests to them, by priority: that of the
// organisation, or else that of the route. Organisations have equal weights. Empty if the configuration has
// no organisations.
std::vector<SharedPool> sharedPools(const RoutingConfig&);

// The priority of a request; `organisation` may be null.
int priorityOf(const Route&, const RoutedOrganisation* organisation);

} // namespace briarwharf
