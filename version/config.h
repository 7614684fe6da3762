#pragma once

#include "base/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// The trade-off of a policy between even load and reuse of cached context.
enum class Strategy {
    Balanced,
    Skew, // lower load bound, earlier spill to other engines: short requests never wait behind a busy engine
    Reuse, // keeps a request on the engine that caches its context, up to the load bound
};

enum class PoolKind {
    Engine,
    Service,
};

enum class UpstreamState {
    Serving,
    Draining, // gets no new requests; requests in progress finish
    Removed,
};

struct Organisation {
    std::string name;
    std::string keyHash; // SHA-256 of the API key, 64 hex digits
    double weight = 1; // relative share among the organisations
    double tokensPerSecond = 0; // limit on the sum over all instances; 0: no limit

    bool operator==(const Organisation&) const = default;
};

// One operation of a plain service.
struct Operation {
    std::string method;
    std::string pathPrefix;
    bool repeatable = false; // may run any number of times for one request

    bool operator==(const Operation&) const = default;
};

struct Pool {
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string model; // engines only: the model name in the callers' requests
    std::string policy; // name of a Policy; empty: the default values of Policy
    std::vector<Operation> operations; // services only

    bool operator==(const Pool&) const = default;
};

struct Upstream {
    std::string name;
    std::string pool;
    std::string address; // numeric IP address
    std::uint16_t port = 0;
    std::string failureDomain;
    UpstreamState state = UpstreamState::Serving;
    bool reportsState = true; // an engine that reports its state
    bool checksFence = true; // refuses orders with stale fencing numbers
    double weight = 1;
    std::uint32_t slots = 64; // maximum number of requests in progress at the same time, over all instances
    bool drainedByPlan = false; // the drain belongs to a drain plan and ends with the plan's window
    WallTime drainWindow {}; // start of the last planned window that drained it; the epoch if there was none
    std::uint64_t drainRevision = 0; // revision at which the current or last drain began; 0: never drained
    bool empty = false; // draining, and reported to have no requests left, so that it can be stopped

    bool operator==(const Upstream&) const = default;
};

struct Policy {
    std::string name;
    Strategy strategy = Strategy::Balanced;
    double loadBound = 1.25; // multiple of the mean load
    std::uint32_t shortTokens = 512; // requests estimated at no more tokens than this count as short
    Milliseconds queueDeadline { 5000 };

    bool operator==(const Policy&) const = default;
};

// A weekly drain of an upstream, so that it can be stopped for cleaning.
struct DrainPlan {
    std::string upstream;
    int weekday = 0; // in UTC; 0 is Monday
    std::chrono::minutes start { 0 }; // after midnight, UTC
    std::chrono::minutes length { 60 };
    bool handover = true; // contexts of cached chats are moved to other upstreams

    bool operator==(const DrainPlan&) const = default;
};

// One accepted change, kept so that the error for a conflicting command can list what changed.
struct Change {
    std::uint64_t revision = 0;
    WallTime time {}; // by the writer's clock
    std::string author; // name of the operator or of the instance
    std::string requestId; // of the operator's request; shows whether it took effect if its answer was lost
    std::string summary; // "ALTER POOL estimators; DRAIN UPSTREAM e1"

    bool operator==(const Change&) const = default;
};

// The configuration that operators set, at one revision. It never changes once it is in force.
struct Config {
    std::uint64_t revision = 0;
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Pool> pools;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Policy> policies;
    std::map<std::string, DrainPlan> drainPlans; // by upstream

    // Retired names with their kind ("UPSTREAM/e1") and the revision that retired them. Hints, claims and
    // cached chats outlive the object that they refer to by name, so a name is not used for a second object.
    std::map<std::string, std::uint64_t> retiredNames;
    std::vector<Change> history; // the last accepted changes, oldest first
    std::uint64_t changedRevision = 0; // of the last record that was not refused

    bool operator==(const Config&) const = default;
};

} // namespace briarwharf
