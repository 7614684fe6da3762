#pragma once

#include "base/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwharf {

// Named trade-off between even load and cache reuse.
enum class Strategy {
    Balanced,
    Skew, // lower bound, earlier spill: short requests never wait behind a busy engine
    Reuse, // stays with the cached context up to the bound
};

enum class PoolKind {
    Engine,
    Service,
};

enum class UpstreamState {
    Serving,
    Draining, // no new work; requests in progress finish
    Removed,
};

struct Organisation {
    std::string name;
    std::string keyHash; // SHA-256 of the API key, 64 hex digits
    double weight = 1; // share among the organisations
    double tokensPerSecond = 0; // limit over all instances; 0: none

    bool operator==(const Organisation&) const = default;
};

// One operation of a plain service.
struct Operation {
    std::string method;
    std::string pathPrefix;
    bool repeatable = false;

    bool operator==(const Operation&) const = default;
};

struct Pool {
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string model; // engines: the model that callers name
    std::string policy; // name of a Policy; empty: the defaults
    std::vector<Operation> operations; // services

    bool operator==(const Pool&) const = default;
};

struct Upstream {
    std::string name;
    std::string pool;
    std::string address; // IP number
    std::uint16_t port = 0;
    std::string failureDomain;
    UpstreamState state = UpstreamState::Serving;
    bool reportsState = true;
    bool checksFence = true;
    double weight = 1;
    std::uint32_t slots = 64; // requests in progress at once, over all instances
    bool drainedByPlan = false; // draining until the end of its planned window
    WallTime drainWindow {}; // start of the last planned window that drained it; the epoch: none
    std::uint64_t drainRevision = 0; // that began the present or the last drain; 0: never drained
    bool empty = false; // draining, and reported as holding no request: it may be stopped

    bool operator==(const Upstream&) const = default;
};

struct Policy {
    std::string name;
    Strategy strategy = Strategy::Balanced;
    double loadBound = 1.25;
    std::uint32_t shortTokens = 512; // requests up to this estimate are short
    Milliseconds queueDeadline { 5000 };

    bool operator==(const Policy&) const = default;
};

// A weekly stop for cleaning.
struct DrainPlan {
    std::string upstream;
    int weekday = 0; // 0 is Monday, UTC
    std::chrono::minutes start { 0 }; // after midnight, UTC
    std::chrono::minutes length { 60 };
    bool handover = true;

    bool operator==(const DrainPlan&) const = default;
};

// One accepted change, kept so that a conflicting command can be told what changed.
struct Change {
    std::uint64_t revision = 0;
    WallTime time {}; // at the writer
    std::string author; // the operator's or the instance's name
    std::string requestId; // of the operator's request; resolves a lost answer
    std::string summary; // "ALTER POOL estimators; DRAIN UPSTREAM e1"

    bool operator==(const Change&) const = default;
};

// Everything that operators set, at one revision. Immutable once in force.
struct Config {
    std::uint64_t revision = 0;
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Pool> pools;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Policy> policies;
    std::map<std::string, DrainPlan> drainPlans; // by upstream

    // Retired names by kind ("upstream/e1"), with the revision that retired them. Hints, claims and cached
    // chats outlive the object that they name, so a name is not used a second time.
    std::map<std::string, std::uint64_t> retiredNames;
    std::vector<Change> history; // the last accepted changes, oldest first
    std::uint64_t changedRevision = 0; // of the last record that changed anything

    bool operator==(const Config&) const = default;
};

} // namespace briarwharf
