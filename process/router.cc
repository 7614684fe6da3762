#include "process/router.h"

#include <utility>

namespace briarwharf {

Router::Router(Parts parts, HintSigner hints)
    : m_parts(std::move(parts))
    , m_hints(std::move(hints))
    , m_retryBudget(RetrySettings {}, clockNow())
{
}

void Router::apply(std::shared_ptr<const ConfigIndex> index, std::size_t instances)
{
    m_config = std::move(index);
    m_instances = instances;
    m_parts.upstreams->apply(*m_config);
    std::map<std::string, std::shared_ptr<PoolRuntime>> next;
    for (const auto& [name, pool] : m_config->config().pools) {
        std::vector<std::shared_ptr<UpstreamRuntime>> members;
        for (const Upstream* upstream : m_config->upstreams(name))
            members.push_back(m_parts.upstreams->all().at(upstream->name));
        const Policy& policy = m_config->policy(pool);
        auto known = m_pools.find(name);
        auto runtime = known != m_pools.end()
            ? known->second
            : std::make_shared<PoolRuntime>(pool, policy, m_parts.allowance);
        runtime->apply(pool, policy, std::move(members), instances);
        next.emplace(name, std::move(runtime));
    }
    for (const auto& [name, runtime] : m_pools) {
        if (!next.count(name))
            runtime->refuseWaiting();
    }
    m_pools = std::move(next);
}

void Router::setInstances(std::size_t instances)
{
    if (m_config && instances != m_instances)
        apply(m_config, instances);
}

std::shared_ptr<PoolRuntime> Router::pool(const std::string& name)
{
    auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : found->second;
}

bool Router::isHealthy(const UpstreamRuntime& upstream) const
{
    return m_parts.health->usable(upstream.shortId, clockNow());
}

void Router::reportSuccess(const UpstreamRuntime& upstream)
{
    m_parts.health->succeeded(upstream.shortId, clockNow());
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
    m_parts.health->failed(upstream.shortId, failure, clockNow());
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

void Router::stopTakingWork()
{
    m_stopping = true;
    auto pools = m_pools;
    for (const auto& [name, runtime] : pools)
        runtime->refuseWaiting();
}

} // namespace briarwharf
