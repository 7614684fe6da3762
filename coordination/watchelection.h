#pragma once

#include "coordination/member.h"
#include <cstddef>
#include <cstdint>

namespace briarwharf {

// Decides whether this instance is one of the `watchersPerDomain` in its failure domain that watch the store
// for all instances. Instances that agree on the members elect the same watchers without exchanging messages.
class WatchElection {
public:
    WatchElection(const Membership&, std::size_t watchersPerDomain);

    bool isElected() const;

private:
    const Membership& m_membership;
    std::size_t m_watchersPerDomain;
    mutable std::uint64_t m_epoch = ~std::uint64_t { 0 }; // of the membership for which m_elected is valid
    mutable bool m_elected = false;
};

} // namespace briarwharf
