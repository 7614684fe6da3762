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

// A caller's request that waits for its turn in a pool.
class AdmittedCall {
public:
    virtual ~AdmittedCall() = default;

    // It holds a slot now. False: no upstream has room; the request goes back to the head of its queue.
    virtual bool run() = 0;

    // It will not run.
    virtual void refuse(AdmissionOutcome, Milliseconds retryAfter) = 0;
};

// What a pool asks about an upstream before it gives it new work.
using NewWorkCheck = std::function<bool(const UpstreamRuntime&)>;
using HealthCheck = std::function<bool(const UpstreamRuntime&)>;

// Admission, placement and load of one pool at this instance.
class PoolRuntime {
public:
    PoolRuntime(const Pool&, const Policy&, RateAllowance*);

    // Takes over the settings of a new revision; waiting and running requests stay.
    void apply(
        const Pool&, const Policy&, std::vector<std::shared_ptr<UpstreamRuntime>>, std::size_t instances);

    const Policy& policy() const { return m_policy; }
    const std::vector<std::shared_ptr<UpstreamRuntime>>& upstreams() const { return m_upstreams; }

    // Calls run() or refuse() of this and of other calls, at once or later.
    void submit(AdmissionRequest, std::shared_ptr<AdmittedCall>);
    void finished(AdmissionTicket);
    void cancel(AdmissionTicket);
    void refuseWaiting();
    // Gives free slots to waiting calls and refuses those whose deadline passed.
    void poll();

    // `tried` lists upstreams that failed for this request.
    PlacementDecision place(
        const PlacementRequest&, const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    // Plain services: the upstream with the fewest requests in progress from this instance, ties by hash.
    UpstreamRuntime* pickService(
        std::uint64_t nonce, const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    LoadLedger& ledger() { return m_ledger; }
    ResidentChats& residents() { return m_residents; }

    std::size_t waiting() const;
    std::size_t running() const;

private:
    void dispatch(const std::vector<AdmissionEvent>&);
    std::vector<UpstreamView> views(
        const std::set<UpstreamId>& tried, const NewWorkCheck&, const HealthCheck&);

    Policy m_policy;
    std::vector<std::shared_ptr<UpstreamRuntime>> m_upstreams;
    std::size_t m_instances = 1;
    Admission m_admission;
    std::unique_ptr<Placement> m_placement;
    LoadLedger m_ledger;
    ResidentChats m_residents;
    std::map<AdmissionTicket, std::shared_ptr<AdmittedCall>> m_calls;
    bool m_dispatching = false;
    bool m_pollAgain = false;
};

} // namespace briarwharf
