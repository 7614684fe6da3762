#include "version/index.h"

#include <utility>

namespace briarwharf {

ConfigIndex::ConfigIndex(std::shared_ptr<const Config> config)
    : m_config(std::move(config))
{
    for (const auto& [name, organisation] : m_config->organisations)
        m_organisations.emplace(organisation.keyHash, &organisation);
    for (const auto& [name, pool] : m_config->pools) {
        if (pool.kind == PoolKind::Engine)
            m_models.emplace(pool.model, &pool);
    }
    for (const auto& [name, upstream] : m_config->upstreams) {
        if (upstream.state != UpstreamState::Removed)
            m_upstreams[upstream.pool].push_back(&upstream);
    }
}

const Organisation* ConfigIndex::organisationByKeyHash(const std::string& keyHash) const
{
    auto found = m_organisations.find(keyHash);
    return found == m_organisations.end() ? nullptr : found->second;
}

const Pool* ConfigIndex::poolByModel(const std::string& model) const
{
    auto found = m_models.find(model);
    return found == m_models.end() ? nullptr : found->second;
}

const Pool* ConfigIndex::poolByName(const std::string& name) const
{
    auto found = m_config->pools.find(name);
    return found == m_config->pools.end() ? nullptr : &found->second;
}

const std::vector<const Upstream*>& ConfigIndex::upstreams(const std::string& pool) const
{
    static const std::vector<const Upstream*> none;
    auto found = m_upstreams.find(pool);
    return found == m_upstreams.end() ? none : found->second;
}

const Policy& ConfigIndex::policy(const Pool& pool) const
{
    static const Policy defaults;
    auto found = m_config->policies.find(pool.policy);
    return found == m_config->policies.end() ? defaults : found->second;
}

const Operation* ConfigIndex::findOperation(const Pool& pool, std::string_view method, std::string_view path)
{
    const Operation* best = nullptr;
    for (const auto& operation : pool.operations) {
        bool matches = operation.method == method
            && path.substr(0, operation.pathPrefix.size()) == operation.pathPrefix;
        if (matches && (!best || operation.pathPrefix.size() > best->pathPrefix.size()))
            best = &operation;
    }
    return best;
}

} // namespace briarwharf
