#include "process/router.h"

#include <utility>

namespace briarwharf {

Router::Router(Dependencies dependencies, HintSigner hints)
    : m_dependencies(std::move(dependencies))
    , m_hints(std::move(hints))
    , m_retryBudget(RetrySettings {}, clockNow())
{
}

void Router::apply(std::shared_ptr<const ConfigIndex> index, std::size_t instanceCount)
{
    m_config = std::move(index);
    m_instanceCount = instanceCount;
    m_dependencies.upstreams->apply(*m_config);
    std::map<std::string, std::shared_ptr<PoolRuntime>> next;
    for (const auto& [name, pool] : m_config->config().pools) {
        std::vector<std::shared_ptr<UpstreamRuntime>> members;
        for (const Upstream* upstream : m_config->upstreams(name))
            members.push_back(m_dependencies.upstreams->all().at(upstream->name));
        const Policy& policy = m_config->policy(pool);
        auto existing = m_pools.find(name);
        auto runtime = existing != m_pools.end()
            ? existing->second
            : std::make_shared<PoolRuntime>(pool, policy, m_dependencies.allowance);
        runtime->apply(pool, policy, std::move(members), instanceCount);
        next.emplace(name, std::move(runtime));
    }
    for (const auto& [name, runtime] : m_pools) {
        if (!next.count(name))
            runtime->refuseWaiting();
    }
    m_pools = std::move(next);
}

void Router::setInstanceCount(std::size_t instanceCount)
{
    if (m_config && instanceCount != m_instanceCount)
        apply(m_config, instanceCount);
}

std::shared_ptr<PoolRuntime> Router::pool(const std::string& name)
{
    auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : found->second;
}

bool Router::isHealthy(const UpstreamRuntime& upstream) const
{
    return m_dependencies.health->usable(upstream.shortId, clockNow());
}

void Router::reportSuccess(const UpstreamRuntime& upstream)
{
    m_dependencies.health->succeeded(upstream.shortId, clockNow());
}

void Router::reportFailure(const UpstreamRuntime& upstream, ExchangeEnd end)
{
    UpstreamFailure failure = UpstreamFailure::Error;
    if (end == ExchangeEnd::ConnectFailed)
        failure = UpstreamFailure::ConnectionRefused;
    else if (end == ExchangeEnd::Silent)
        failure = UpstreamFailure::SilentConnection;
    else if (end == ExchangeEnd::DeadlineExceeded)
        failure = UpstreamFailure::Timeout;
    m_dependencies.health->failed(upstream.shortId, failure, clockNow());
}

void Router::tick()
{
    std::size_t waiting = 0;
    std::size_t running = 0;
    auto pools = m_pools;
    for (const auto& [name, runtime] : pools) {
        runtime->poll();
        waiting += runtime->waiting();
        running += runtime->running();
    }
    metrics().requestsQueued().Set(static_cast<double>(waiting));
    metrics().requestsInProgress().Set(static_cast<double>(running));
}

void Router::stopAcceptingRequests()
{
    m_stopping = true;
    auto pools = m_pools;
    for (const auto& [name, runtime] : pools)
        runtime->refuseWaiting();
}

} // namespace briarwharf
