#pragma once

#include "process/upstreams.h"
#include "request/request.h"
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarwharf {

// A caller's request that is subject to the admission of a pool.
class PendingCall {
public:
    virtual ~PendingCall() = default;

    // Called when the request got an admission slot. Returns false if no upstream has room; the request then
    // returns to the head of its queue.
    virtual bool run() = 0;

    // Called when the request is rejected; it will not run.
    virtual void refuse(AdmissionOutcome, Milliseconds retryAfter) = 0;
};

// Conditions that a pool checks before it sends a new request to an upstream.
using NewWorkCheck = std::function<bool(const UpstreamRuntime&)>;
using HealthCheck = std::function<bool(const UpstreamRuntime&)>;

// Admission, placement and load accounting of one pool at this instance.
class PoolRuntime {
public:
    PoolRuntime(const Pool&, const Policy&, RateAllowance*);

    // Applies the settings of a new revision. Waiting and running requests are kept.
    void apply(
        const Pool&, const Policy&, std::vector<std::shared_ptr<UpstreamRuntime>>, std::size_t instanceCount);

    const Policy& policy() const { return m_policy; }
    const std::vector<std::shared_ptr<UpstreamRuntime>>& upstreams() const { return m_upstreams; }

    // Queues the call or runs it. run() or refuse() of this call, and of others that are affected, may be
    // called before this returns.
    void submit(AdmissionRequest, std::shared_ptr<PendingCall>);
    void finished(AdmissionTicket);
    void cancel(AdmissionTicket);
    void refuseWaiting();
    // Gives free slots to waiting calls and refuses calls whose deadline passed.
    void poll();

    // Chooses the upstream of a request to an engine pool. `tried` lists upstreams at which this request
    // failed.
    PlacementDecision place(
        const PlacementRequest&, const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    // Chooses the upstream of a request to a plain service: the one with the fewest requests in progress from
    // this instance relative to its weight; a hash of `nonce` and the upstream decides ties.
    UpstreamRuntime* pickService(
        std::uint64_t nonce, const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    LoadLedger& ledger() { return m_ledger; }
    ResidentChats& residents() { return m_residents; }

    std::size_t waiting() const;
    std::size_t running() const;

private:
    void dispatch(const std::vector<AdmissionEvent>&);
    std::vector<UpstreamView> upstreamViews(
        const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    Policy m_policy;
    std::vector<std::shared_ptr<UpstreamRuntime>> m_upstreams;
    std::size_t m_instanceCount = 1;
    Admission m_admission;
    std::unique_ptr<Placement> m_placement;
    LoadLedger m_ledger;
    ResidentChats m_residents;
    std::map<AdmissionTicket, std::shared_ptr<PendingCall>> m_calls;
    bool m_dispatching = false;
    bool m_pollAgain = false;
};

} // namespace briarwharf
