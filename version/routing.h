#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

enum class RouteKind {
    Repeatable, // may run any number of times
    AtMostOnce, // may run once for each request of a caller
    Stream, // answers with a stream of events; may run once, or more often if the route is resumable
};

std::string_view routeKindName(RouteKind);

struct WeightedPool {
    std::string pool;
    double weight = 1;
};

// Which requests go to which pools, and under which limits.
struct Route {
    std::string name;
    std::string host; // lower case, without a port
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<WeightedPool> pools; // one, or several that share the requests by weight
    int maxAttempts = 1; // maximum number of upstreams to which one request may be sent
    Milliseconds timeout { 60000 }; // maximum time that a caller waits for the answer
    Milliseconds targetLatency { 1000 }; // until the answer, or until the first event of a stream
    Milliseconds pauseLimit { 0 }; // maximum pause between the events of a stream; 0: no limit given
    int priority = 0; // 0 is the highest; larger numbers mean lower priority
    bool resumable = false; // streams only: another upstream can continue the stream after a given event
    bool anonymous = false; // callers need no API key
};

// What the configuration states about each engine of a pool.
struct EngineTraits {
    int slots = 1; // maximum number of requests that run at the same time
    std::int64_t memoryTokens = 0; // capacity shared by running requests and cached prompt segments
    double copiedTokensPerMs = 0; // cached tokens that an engine copies from another one; 0: it cannot
};

struct RoutedPool {
    std::string name;
    int maxConnections = 0; // maximum to one upstream, for all callers together; 0: no limit
    std::optional<EngineTraits> engine; // absent for pools of plain services
    // Requests per second that a cold upstream takes from all instances together; 0: the pool has no cold
    // upstreams.
    double coldPerSecond = 0;
    Milliseconds coldDuration { 0 }; // time for which an upstream stays cold after its start
};

struct RoutedOrganisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // if set, used instead of the route's priority
};

struct CallerLimits {
    std::int64_t maxHeaderBytes = 32 * 1024;
    std::int64_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headerTimeout { 5000 };
    Milliseconds idleTimeout { 60000 };
};

// One version of the configuration of forwarded routes, as received from its source.
struct RoutingConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedPool> pools;
    std::vector<RoutedOrganisation> organisations;
    bool keysRequired = false; // callers of routes that are not anonymous need an API key
    CallerLimits limits;
};

// An index of one version of the routing configuration, shared by the requests that began while it was in
// force.
//
//   const Route* route = table.findRoute("desk.example", "/book/1");
//   const RoutedOrganisation* organisation = table.findOrganisation(key);
class RoutingTable {
public:
    explicit RoutingTable(RoutingConfig);
    RoutingTable(const RoutingTable&) = delete;
    RoutingTable& operator=(const RoutingTable&) = delete;

    const RoutingConfig& config() const { return m_config; }
    std::uint64_t version() const { return m_config.version; }

    // The host's route with the longest path prefix that matches the target, or null. A port in the host and
    // a query in the target are ignored.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    // Null if no organisation has the key.
    const RoutedOrganisation* findOrganisation(std::string_view key) const;
    bool needsKeys() const { return m_config.keysRequired; }

    // Null if the configuration does not contain the pool.
    const RoutedPool* findPool(std::string_view name) const;

    // Chooses one of the route's pools by weight. The choice depends only on the hash, so that every instance
    // chooses the same pool for the same request.
    static const std::string& choosePool(const Route&, std::uint64_t requestHash);

private:
    RoutingConfig m_config;
    std::unordered_map<std::string, std::size_t> m_routes; // by host and prefix
    std::unordered_map<std::string, std::size_t> m_organisations; // by key
    std::unordered_map<std::string, std::size_t> m_pools;
};

} // namespace briarwharf
