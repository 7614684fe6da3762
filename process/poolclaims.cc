#include "process/poolclaims.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace briarwharf {

namespace {

    struct PoolClaims {
        std::set<std::pair<int, std::string>> claimants; // priority and organisation
        Milliseconds targetLatency = Milliseconds::max();
    };

    std::set<std::string> enginePools(const RoutingConfig& config)
    {
        std::set<std::string> names;
        for (const RoutedPool& pool : config.pools) {
            if (pool.engine)
                names.insert(pool.name);
        }
        return names;
    }

    void addRoute(const RoutingConfig& config, const Route& route, PoolClaims& claims)
    {
        claims.targetLatency = std::min(claims.targetLatency, route.targetLatency);
        if (route.anonymous) {
            claims.claimants.emplace(priorityOf(route, nullptr), std::string());
            return;
        }
        for (const RoutedOrganisation& organisation : config.organisations)
            claims.claimants.emplace(priorityOf(route, &organisation), organisation.name);
    }

} // namespace

int priorityOf(const Route& route, const RoutedOrganisation* organisation)
{
    return organisation && organisation->priority ? *organisation->priority : route.priority;
}

std::vector<SharedPool> sharedPools(const RoutingConfig& config)
{
    std::vector<SharedPool> result;
    if (config.organisations.empty() || !config.keysRequired)
        return result;
    std::set<std::string> engines = enginePools(config);
    std::map<std::string, PoolClaims> pools;
    for (const Route& route : config.routes) {
        for (const WeightedPool& pool : route.pools) {
            if (engines.count(pool.pool) == 0)
                addRoute(config, route, pools[pool.pool]);
        }
    }
    for (const auto& [name, claims] : pools) {
        SharedPool shared { name, {}, claims.targetLatency };
        for (const auto& [priority, organisation] : claims.claimants)
            shared.claimants.push_back({ organisation, priority });
        result.push_back(std::move(shared));
    }
    return result;
}

} // namespace briarwharf
