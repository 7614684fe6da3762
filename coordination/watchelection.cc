#include "coordination/watchelection.h"

#include "base/hash.h"

namespace briarwharf {

namespace {

    // Makes the election independent of the ownership of keys.
    constexpr std::uint64_t watchSeed = 0x7761746368ULL;

} // namespace

WatchElection::WatchElection(const Membership& membership, std::size_t watchersPerDomain)
    : m_membership(membership)
    , m_watchersPerDomain(watchersPerDomain)
{
}

bool WatchElection::isElected() const
{
    if (m_epoch == m_membership.epoch())
        return m_elected;
    m_epoch = m_membership.epoch();
    const InstanceIdentity& self = m_membership.self();
    std::uint64_t key = hash64(self.failureDomain, watchSeed);
    std::uint64_t ownScore = combineHashes(key, hash64(self.id));
    std::size_t higherScores = 0;
    for (const std::string& id : m_membership.usable()) {
        if (id == self.id)
            continue;
        const MemberView& view = m_membership.members().at(id);
        bool scoresHigher
            = view.failureDomain == self.failureDomain && combineHashes(key, view.hash) > ownScore;
        higherScores += scoresHigher ? 1 : 0;
    }
    m_elected = !m_membership.leaving() && higherScores < m_watchersPerDomain;
    return m_elected;
}

} // namespace briarwharf
