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

// The state that all requests of this process share: the configuration in force, the pools with their
// upstreams, metrics and tracing. Requests hold a reference to the router, which outlives them.
class Router {
public:
    struct Dependencies {
        event_base* base = nullptr;
        const Settings* settings = nullptr;
        Metrics* metrics = nullptr;
        Tracer* tracer = nullptr;
        UpstreamSet* upstreams = nullptr;
        UpstreamHealth* health = nullptr;
        RateAllowance* allowance = nullptr;
        // Whether new requests may be sent to the upstream: the configuration must be current enough, see
        // decideNewWork(), and the upstream must not report that it is leaving.
        NewWorkCheck mayGetNewWork;
        // Finds the upstream that caches the context of a chat, for a request without a usable hint. Calls
        // back once; nullopt: no entry.
        std::function<void(ChatKey, std::function<void(std::optional<UpstreamId>)>)> findResidence;
        // Records the upstream that caches the context of a chat. An empty name: the context is at the chat's
        // rendezvous first choice again, which needs no entry.
        std::function<void(ChatKey, const std::string& upstream)> updateResidence;
        // The tokens in progress from this instance at the upstream changed by `tokens`.
        std::function<void(const UpstreamRuntime&, std::int64_t tokens)> loadChanged;
    };

    Router(Dependencies, HintSigner);

    event_base* base() const { return m_dependencies.base; }
    const Settings& settings() const { return *m_dependencies.settings; }
    Metrics& metrics() { return *m_dependencies.metrics; }
    Tracer& tracer() { return *m_dependencies.tracer; }
    UpstreamSet& upstreams() { return *m_dependencies.upstreams; }
    const HintSigner& hints() const { return m_hints; }
    RetryBudget& retryBudget() { return m_retryBudget; }

    // nullptr until a configuration is in force.
    std::shared_ptr<const ConfigIndex> config() const { return m_config; }

    // Puts a revision in force. `instanceCount` is the number of instances that share the upstreams' slots.
    void apply(std::shared_ptr<const ConfigIndex>, std::size_t instanceCount);
    void setInstanceCount(std::size_t);

    // nullptr for an unknown pool.
    std::shared_ptr<PoolRuntime> pool(const std::string& name);
    const std::map<std::string, std::shared_ptr<PoolRuntime>>& pools() const { return m_pools; }

    bool mayGetNewWork(const UpstreamRuntime& upstream) const
    {
        return m_dependencies.mayGetNewWork(upstream);
    }
    void findResidence(ChatKey chat, std::function<void(std::optional<UpstreamId>)> callback)
    {
        m_dependencies.findResidence(chat, std::move(callback));
    }
    void updateResidence(ChatKey chat, const std::string& upstream)
    {
        m_dependencies.updateResidence(chat, upstream);
    }
    void loadChanged(const UpstreamRuntime& upstream, std::int64_t tokens)
    {
        m_dependencies.loadChanged(upstream, tokens);
    }

    bool isHealthy(const UpstreamRuntime&) const;
    void reportSuccess(const UpstreamRuntime&);
    void reportFailure(const UpstreamRuntime&, ExchangeEnd);

    AdmissionTicket nextTicket() { return ++m_lastTicket; }

    // In every pool, dispatches waiting requests and refuses those whose deadline passed. Updates the metrics
    // of waiting and running requests.
    void tick();

    // Refuses all requests from now on, including those that are waiting.
    void stopAcceptingRequests();
    bool acceptsRequests() const { return !m_stopping && m_config; }
    bool isStopping() const { return m_stopping; }

    // Number of callers' requests that are waiting or running.
    std::size_t openRequests() const { return m_openRequests; }
    void requestOpened() { ++m_openRequests; }
    void requestClosed() { --m_openRequests; }

private:
    Dependencies m_dependencies;
    HintSigner m_hints;
    RetryBudget m_retryBudget;
    std::shared_ptr<const ConfigIndex> m_config;
    std::map<std::string, std::shared_ptr<PoolRuntime>> m_pools;
    std::size_t m_instanceCount = 1;
    AdmissionTicket m_lastTicket = 0;
    std::size_t m_openRequests = 0;
    bool m_stopping = false;
};

} // namespace briarwharf
