#pragma once

#include "coordination/coordination.h"
#include "process/forwardheaders.h"
#include "version/version.h"
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

struct DirectoryCallbacks {
    // A configuration, and the document that holds it in the source's own form.
    std::function<void(RoutingConfig, std::string document)> routing;
    // Upstreams, or what changed among them.
    std::function<void(const DirectoryChanges&)> upstreams;
    // Other instances of the fleet.
    std::function<void(const std::vector<ListedInstance>&)> instances;
};

struct DirectoryCounters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

// Where the configuration of forwarded routes and the list of upstreams come from, on a given platform.
class DirectorySource {
public:
    virtual ~DirectorySource() = default;

    // The names that the platform's callers and upstreams use.
    virtual ForwardingHeaders headers() const = 0;

    // Reads the source once, and follows it from now on, through its outages.
    virtual void start(DirectoryCallbacks) = 0;

    // Whether to go on following it, and for whom.
    virtual void follow(WatchDuty) = 0;

    // When the source was last asked and had nothing newer than what it told; nullopt: never.
    virtual std::optional<MonotonicTime> confirmedAt() const = 0;

    // This instance leaves the fleet.
    virtual void leave() = 0;

    virtual void setEndpoint(const Endpoint&) = 0;

    // Reads a document that another instance passed on. Errors: InvalidArgument.
    virtual Result<RoutingConfig> decodeRouting(std::string_view document) const = 0;

    virtual bool reachable() const = 0;
    virtual DirectoryCounters counters() const = 0;
};

} // namespace briarwharf
