#pragma once

#include "base/time.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarwharf {

// What the registry says about evacuated failure domains after a revision.
struct EvacuationChanges {
    std::uint64_t from = 0; // 0: the complete list
    std::uint64_t revision = 0;
    std::vector<std::string> domains; // evacuated
    std::vector<std::string> ended;
    // Whether a domain that a complete list lacks is not evacuated. False: an entry could not be read.
    bool isWhole = true;
};

// The list of evacuated failure domains in force at an instance, as it is sent to others.
struct EvacuationList {
    std::uint64_t revision = 0; // 0: not known
    std::set<std::string> domains;

    bool operator==(const EvacuationList&) const = default;
};

struct EvacuationOptions {
    // A registry that was restored from an older copy may lack an evacuation, which its operator then writes
    // again. Until then it is kept for this time: longer than an operator needs to write it, and short enough
    // that an evacuation which nobody writes again does not take the domain's capacity for good.
    Milliseconds restoreHold { 30000 };
};

// The failure domains to whose upstreams nothing more is sent. Revisions only increase, in the order of
// coordination/registryrevision.h, whether a list comes from the registry or from a peer. The revision that
// peers are told rises only if the list changes or a peer contradicts it, so that an uneventful registry
// causes no messages.
//
//   EvacuatedDomains evacuated({});
//   evacuated.apply(changes, now);                 // as the source reports them
//   evacuated.learn(list, now);                    // from a peer
//   evacuated.expire(now);
//   relay.setEvacuations(evacuated.list());
class EvacuatedDomains {
public:
    explicit EvacuatedDomains(EvacuationOptions);

    // All three return whether the domains in force changed. Changes that are older than what is known are
    // ignored.
    bool apply(const EvacuationChanges&, MonotonicTime now);
    bool learn(const EvacuationList&, MonotonicTime now);
    // Ends kept evacuations whose hold time has passed.
    bool expire(MonotonicTime now);

    // The domains in force: those of the list, and those that a restored registry lacks.
    std::set<std::string> inForce() const;
    bool isKept(const std::string& domain) const { return m_kept.count(domain) == 1; }
    // For peers: without the kept ones, since each instance that knows them keeps them itself.
    const EvacuationList& list() const { return m_list; }
    bool loaded() const { return m_list.revision > 0; }

private:
    std::uint64_t knownRevision() const;
    bool setDomains(std::set<std::string>, std::uint64_t revision, MonotonicTime now);

    EvacuationOptions m_options;
    EvacuationList m_list;
    std::uint64_t m_readRevision = 0; // the registry's latest that confirmed m_list here
    std::map<std::string, MonotonicTime> m_kept; // end of the hold time, by domain
};

} // namespace briarwharf
