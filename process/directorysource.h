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

// A quarantine of prompt segments in the form in which it outlives a restart of all instances.
struct SavedQuarantine {
    std::vector<std::uint64_t> segments;
    std::vector<std::uint32_t> upstreams; // hashes that identify those that crashed
    WallTime lastCrash;

    bool operator==(const SavedQuarantine&) const = default;
};

struct DirectoryCallbacks {
    // A configuration, and the document in the source's own format from which it was decoded.
    std::function<void(RoutingConfig, std::string document)> routing;
    // The list of upstreams, or the changes to it.
    std::function<void(const DirectoryChanges&)> upstreams;
    // The other instances of the fleet.
    std::function<void(const std::vector<ListedInstance>&)> instances;
    // Whether an instance with this address takes part in the fleet now.
    std::function<bool(const std::string& address)> isMember;
    // The saved quarantines, soon after the start and when the source was restored from an older copy.
    std::function<void(const std::vector<SavedQuarantine>&)> quarantines;
    // The evacuated failure domains, or the changes to them; only if the settings ask for them.
    std::function<void(const EvacuationChanges&)> evacuations;
};

struct DirectoryCounters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t unusableEntries = 0; // each counted once for each of its revisions
};

// Why the latest read of a part of the directory did not succeed or could not be used; empty: it did, and
// could.
struct DirectoryProblems {
    std::string routing;
    std::string upstreams;
    std::string evacuations;
};

// Supplies the configuration of forwarded routes, the list of upstreams and the list of instances from the
// interfaces of one platform.
class DirectorySource {
public:
    virtual ~DirectorySource() = default;

    // The names of the header fields that the platform's callers and upstreams use.
    virtual ForwardingHeaders headers() const = 0;

    // Reads the source once and then follows its changes; retries for as long as the source does not answer.
    virtual void start(DirectoryCallbacks) = 0;

    // Whether to follow the source's changes from now on, and whether other instances depend on it.
    virtual void follow(WatchDuty) = 0;

    // When the latest request was sent whose answer showed that the source has nothing newer than what it has
    // reported; nullopt: never.
    virtual std::optional<MonotonicTime> confirmedAt() const = 0;

    // Saves a quarantine, or replaces the saved one of the same segments, or removes it. Both are idempotent.
    virtual void save(const SavedQuarantine&, std::function<void(Status)>) = 0;
    virtual void remove(const SavedQuarantine&, std::function<void(Status)>) = 0;

    // Called when this instance leaves the fleet.
    virtual void leave() = 0;

    virtual void setEndpoint(const Endpoint&) = 0;

    // Decodes a configuration document that another instance sent. Errors: InvalidArgument.
    virtual Result<RoutingConfig> decodeRouting(std::string_view document) const = 0;

    virtual bool reachable() const = 0;
    virtual DirectoryProblems problems() const { return {}; }
    // The path at which the platform queries readiness, besides /readyz; empty: no other one.
    virtual std::string_view readinessPath() const { return {}; }
    virtual DirectoryCounters counters() const = 0;
};

} // namespace briarwharf
