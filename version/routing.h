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
    Stream, // answers with a stream of events; may run once unless it is resumable
};

std::string_view routeKindName(RouteKind);

struct WeightedPool {
    std::string pool;
    double weight = 1;
};

// Which requests go to which pool, and how.
struct Route {
    std::string name;
    std::string host; // lower case, without a port
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<WeightedPool> pools; // one, or a split by weight
    int maxAttempts = 1; // upstreams to which one request may be sent
    Milliseconds timeout { 60000 }; // longest time that a caller is kept waiting
    Milliseconds targetLatency { 1000 }; // to the answer, or to the first event of a stream
    Milliseconds pauseLimit { 0 }; // longest pause between the events of a stream; 0: none stated
    int priority = 0; // 0 is first
    bool resumable = false; // streams: another upstream may continue after a given event
    bool anonymous = false; // needs no key
};

// What is known of the engines of a pool from the configuration.
struct EngineTraits {
    int slots = 1; // requests that run at once
    std::int64_t memoryTokens = 0; // shared by running requests and cached prompt parts
};

struct RoutedPool {
    std::string name;
    int maxConnections = 0; // of all callers to one upstream together; 0: unbounded
    std::optional<EngineTraits> engine; // plain services: none
};

struct RoutedOrganisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // goes before the route's
};

struct CallerLimits {
    std::int64_t maxHeaderBytes = 32 * 1024;
    std::int64_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headerTimeout { 5000 };
    Milliseconds idleTimeout { 60000 };
};

// One version of the configuration of forwarded routes, as its source gives it.
struct RoutingConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedPool> pools;
    std::vector<RoutedOrganisation> organisations;
    bool keysRequired = false; // on routes that are not anonymous
    CallerLimits limits;
};

// An index of one version, shared by the requests that began under it.
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

    // The route of the host with the longest prefix of the path, or null. A port in the host and a query in
    // the target are ignored.
    const Route* findRoute(std::string_view host, std::string_view target) const;

    // Null for an unknown key.
    const RoutedOrganisation* findOrganisation(std::string_view key) const;
    bool needsKeys() const { return m_config.keysRequired; }

    // Null for a pool that the configuration does not name.
    const RoutedPool* findPool(std::string_view name) const;

    // The pool of a route for one request; the same request gets the same pool on every instance.
    static const std::string& choosePool(const Route&, std::uint64_t requestHash);

private:
    RoutingConfig m_config;
    std::unordered_map<std::string, std::size_t> m_routes; // by host and prefix
    std::unordered_map<std::string, std::size_t> m_organisations; // by key
    std::unordered_map<std::string, std::size_t> m_pools;
};

} // namespace briarwharf
