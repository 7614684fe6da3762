#pragma once

#include "coordination/member.h"
#include <cstddef>
#include <cstdint>

namespace briarwharf {

// Whether this instance is one of the few of its failure domain that watch the store for all. Instances that
// agree on the members agree on the answer, without talking.
class WatchElection {
public:
    WatchElection(const Membership&, std::size_t watchersPerDomain);

    bool isElected() const;

private:
    const Membership& m_membership;
    std::size_t m_watchersPerDomain;
    mutable std::uint64_t m_epoch = ~std::uint64_t { 0 }; // of the membership, for the cached answer
    mutable bool m_elected = false;
};

} // namespace briarwharf
