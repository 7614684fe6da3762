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
