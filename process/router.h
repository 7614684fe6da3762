#pragma once

#include "process/callererror.h"
#include "process/metrics.h"
#include "process/pools.h"
#include "process/settings.h"
#include "process/trace.h"
#include "process/upstreams.h"
#include "request/request.h"
#include "version/index.h"
#include <map>
#include <memory>
#include <string>

namespace briarwharf {

// What the request path of this process shares: the configuration in force, the pools and their upstreams,
// and the observers. Requests hold a reference to it; it outlives them.
class Router {
public:
    struct Parts {
        event_base* base = nullptr;
        const Settings* settings = nullptr;
        Metrics* metrics = nullptr;
        Tracer* tracer = nullptr;
        UpstreamSet* upstreams = nullptr;
        UpstreamHealth* health = nullptr;
        RateAllowance* allowance = nullptr;
        NewWorkCheck mayGetNewWork; // the rule on currency
        // Where the context of a chat is, for a caller without a hint; calls back once.
        std::function<void(ChatKey, std::function<void(std::optional<UpstreamId>)>)> findResidence;
        // The chat's context is at the upstream; empty: at its first choice again.
        std::function<void(ChatKey, const std::string& upstream)> updateResidence;
        // The tokens in progress from this instance changed.
        std::function<void(const UpstreamRuntime&, std::int64_t tokens)> loadChanged;
    };

    Router(Parts, HintSigner);

    event_base* base() const { return m_parts.base; }
    const Settings& settings() const { return *m_parts.settings; }
    Metrics& metrics() { return *m_parts.metrics; }
    Tracer& tracer() { return *m_parts.tracer; }
    UpstreamSet& upstreams() { return *m_parts.upstreams; }
    const HintSigner& hints() const { return m_hints; }
    RetryBudget& retryBudget() { return m_retryBudget; }

    // nullptr until the first configuration is in force.
    std::shared_ptr<const ConfigIndex> config() const { return m_config; }

    // Puts a revision in force; `instances` is the number of instances that share the upstreams' slots.
    void apply(std::shared_ptr<const ConfigIndex>, std::size_t instances);
    void setInstances(std::size_t);

    // nullptr for an unknown pool.
    std::shared_ptr<PoolRuntime> pool(const std::string& name);
    const std::map<std::string, std::shared_ptr<PoolRuntime>>& pools() const { return m_pools; }

    bool mayGetNewWork(const UpstreamRuntime& upstream) const { return m_parts.mayGetNewWork(upstream); }
    void findResidence(ChatKey chat, std::function<void(std::optional<UpstreamId>)> callback)
    {
        m_parts.findResidence(chat, std::move(callback));
    }
    void updateResidence(ChatKey chat, const std::string& upstream)
    {
        m_parts.updateResidence(chat, upstream);
    }
    void loadChanged(const UpstreamRuntime& upstream, std::int64_t tokens)
    {
        m_parts.loadChanged(upstream, tokens);
    }

    bool isHealthy(const UpstreamRuntime&) const;
    void reportSuccess(const UpstreamRuntime&);
    void reportFailure(const UpstreamRuntime&, ExchangeEnd);

    AdmissionTicket nextTicket() { return ++m_lastTicket; }

    // Dispatches waiting requests and refuses overdue ones in every pool.
    void tick();

    // From now on requests are refused; those that wait are refused at once.
    void stopTakingWork();
    bool takesWork() const { return !m_stopping && m_config; }
    bool isStopping() const { return m_stopping; }

    // Callers' requests that have not been answered.
    std::size_t openRequests() const { return m_openRequests; }
    void requestOpened() { ++m_openRequests; }
    void requestClosed() { --m_openRequests; }

private:
    Parts m_parts;
    HintSigner m_hints;
    RetryBudget m_retryBudget;
    std::shared_ptr<const ConfigIndex> m_config;
    std::map<std::string, std::shared_ptr<PoolRuntime>> m_pools;
    std::size_t m_instances = 1;
    AdmissionTicket m_lastTicket = 0;
    std::size_t m_openRequests = 0;
    bool m_stopping = false;
};

} // namespace briarwharf
