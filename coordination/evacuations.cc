#include "coordination/evacuations.h"

#include "coordination/registryrevision.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

EvacuatedDomains::EvacuatedDomains(EvacuationOptions options)
    : m_options(options)
{
}

std::uint64_t EvacuatedDomains::knownRevision() const { return std::max(m_list.revision, m_readRevision); }

bool EvacuatedDomains::apply(const EvacuationChanges& changes, MonotonicTime now)
{
    if (changes.revision < knownRevision())
        return false;
    auto before = inForce();
    std::set<std::string> domains(changes.domains.begin(), changes.domains.end());
    if (changes.from > 0 || !changes.isWhole)
        domains.insert(m_list.domains.begin(), m_list.domains.end());
    for (const std::string& domain : changes.ended) {
        domains.erase(domain);
        m_kept.erase(domain);
    }
    bool isNews = !loaded() || domains != m_list.domains;
    std::uint64_t revision = isNews ? changes.revision : m_list.revision;
    setDomains(std::move(domains), changes.revision, now);
    m_list.revision = revision;
    m_readRevision = changes.revision;
    return inForce() != before;
}

bool EvacuatedDomains::learn(const EvacuationList& peer, MonotonicTime now)
{
    if (peer.revision <= m_list.revision)
        return false;
    if (peer.revision > knownRevision())
        return setDomains(peer.domains, peer.revision, now);
    // The peer's list is older than what the registry said here. If it differs, peers must hear that this
    // one is newer.
    m_list.revision = peer.domains == m_list.domains ? peer.revision : m_readRevision;
    return false;
}

bool EvacuatedDomains::setDomains(std::set<std::string> domains, std::uint64_t revision, MonotonicTime now)
{
    auto before = inForce();
    bool wasRestored = generationOf(revision) > generationOf(knownRevision());
    for (const std::string& domain : before) {
        if (wasRestored)
            m_kept[domain] = now + m_options.restoreHold;
    }
    for (const std::string& domain : domains)
        m_kept.erase(domain);
    m_list.domains = std::move(domains);
    m_list.revision = revision;
    return inForce() != before;
}

bool EvacuatedDomains::expire(MonotonicTime now)
{
    return std::erase_if(m_kept, [now](const auto& kept) { return now >= kept.second; }) > 0;
}

std::set<std::string> EvacuatedDomains::inForce() const
{
    std::set<std::string> domains = m_list.domains;
    for (const auto& [domain, until] : m_kept)
        domains.insert(domain);
    return domains;
}

} // namespace briarwharf
