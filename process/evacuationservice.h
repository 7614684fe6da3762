#pragma once

#include "base/base.h"
#include "coordination/coordination.h"
#include "process/forwarder.h"
#include "process/forwardmetrics.h"
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace briarwharf {

// What the evacuations of one instance depend on and take effect on.
struct EvacuationContext {
    DirectoryRelay& relay;
    const UpstreamDirectory& directory;
    const InProgressTable& inProgress;
    Forwarder& forwarder;
};

// Puts the evacuations of failure domains in force at this instance, whether the directory's source or a peer
// reports them, and tells the other instances and the operator.
//
//   EvacuationService evacuations(settings.directory.evacuations, { relay, directory, work, forwarder });
//   evacuations.apply(changes);         // from the source
//   evacuations.learn(list, peer);      // from a peer
//   evacuations.tick(now);              // about every 100 ms
class EvacuationService {
public:
    // If `followed`, the source reports evacuations, and the forwarder takes no requests before it knows
    // them.
    EvacuationService(bool followed, EvacuationContext);

    void apply(const EvacuationChanges&);
    void learn(const EvacuationList&, std::string_view peer);
    void tick(MonotonicTime now);

    // One row for each domain in force, for the operator.
    Json rows() const;
    void report(ForwardMetrics&) const;

private:
    void publish(std::string_view from);
    void logChanges(const std::set<std::string>& domains, std::string_view from);
    void logKept(const std::set<std::string>& domains);
    std::size_t upstreamsIn(const std::string& domain) const;
    std::size_t requestsIn(const std::string& domain) const;

    EvacuationContext m_context;
    EvacuatedDomains m_evacuated { {} };
    std::set<std::string> m_inForce;
    std::set<std::string> m_kept; // those of them that were logged as missing from a restored registry
    bool m_waiting; // for the first list
    std::optional<MonotonicTime> m_waitingSince; // for nothing else
};

} // namespace briarwharf
