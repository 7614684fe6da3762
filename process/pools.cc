#include "process/pools.h"

#include "base/base.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwharf {

namespace {

    // For each pool; seven pools then stay well below 256 MB.
    constexpr std::size_t maxResidentBytes = 8 * 1024 * 1024;

    // The platform's balancer distributes callers unevenly over the instances, so one instance may use up to
    // this multiple of an even share of an upstream's slots.
    constexpr double callerImbalance = 2;
    constexpr std::uint32_t minLocalSlots = 2;

    // One slot in eight is reserved for short requests.
    constexpr std::uint32_t shortSlotDivisor = 8;

    std::string strategyNameOf(const Policy& policy) { return std::string(strategyName(policy.strategy)); }

    std::unique_ptr<Placement> placementFor(const Policy& policy)
    {
        auto settings = placementSettings(strategyNameOf(policy), policy.loadBound);
        return makePlacement(PlacementKind::BoundedRendezvous, settings.value_or(PlacementSettings {}));
    }

    AdmissionSettings admissionFor(const Policy& policy)
    {
        AdmissionSettings settings;
        settings.queueDeadline = policy.queueDeadline;
        return settings;
    }

    std::uint32_t localSlots(const Upstream& upstream, std::size_t instanceCount)
    {
        double share
            = callerImbalance * upstream.slots / static_cast<double>(std::max<std::size_t>(1, instanceCount));
        return std::min(
            upstream.slots, std::max(minLocalSlots, static_cast<std::uint32_t>(std::lround(share))));
    }

} // namespace

PoolRuntime::PoolRuntime(const Pool&, const Policy& policy, RateAllowance* allowance)
    : m_policy(policy)
    , m_admission(admissionFor(policy), allowance)
    , m_placement(placementFor(policy))
    , m_residents(maxResidentBytes)
{
}

void PoolRuntime::apply(const Pool&, const Policy& policy,
    std::vector<std::shared_ptr<UpstreamRuntime>> upstreams, std::size_t instanceCount)
{
    m_policy = policy;
    m_placement = placementFor(policy);
    for (const auto& previous : m_upstreams) {
        if (std::find(upstreams.begin(), upstreams.end(), previous) == upstreams.end()) {
            m_ledger.removeUpstream(previous->id);
            m_residents.removeUpstream(previous->id);
        }
    }
    m_upstreams = std::move(upstreams);
    m_instanceCount = instanceCount;
    std::uint32_t slots = 0;
    for (const auto& upstream : m_upstreams)
        slots += localSlots(upstream->settings, instanceCount);
    slots = std::max<std::uint32_t>(slots, 1);
    m_admission.resize(slots, slots / shortSlotDivisor);
}

void PoolRuntime::submit(AdmissionRequest request, std::shared_ptr<PendingCall> call)
{
    m_calls[request.ticket] = std::move(call);
    dispatch(m_admission.submit(std::move(request), std::chrono::steady_clock::now()));
    if (m_pollAgain)
        poll();
}

void PoolRuntime::finished(AdmissionTicket ticket)
{
    m_admission.finished(ticket, std::chrono::steady_clock::now());
    m_calls.erase(ticket);
    poll();
}

void PoolRuntime::cancel(AdmissionTicket ticket)
{
    m_admission.cancel(ticket);
    m_calls.erase(ticket);
}

void PoolRuntime::refuseWaiting() { dispatch(m_admission.rejectAll(std::chrono::steady_clock::now())); }

void PoolRuntime::poll()
{
    // A call may end while another one is being started. Polling again after that avoids recursion.
    if (m_dispatching) {
        m_pollAgain = true;
        return;
    }
    do {
        m_pollAgain = false;
        dispatch(m_admission.poll(std::chrono::steady_clock::now()));
    } while (m_pollAgain);
}

void PoolRuntime::dispatch(const std::vector<AdmissionEvent>& events)
{
    bool outermost = !m_dispatching;
    m_dispatching = true;
    for (const auto& event : events) {
        auto found = m_calls.find(event.ticket);
        if (found == m_calls.end() || event.outcome == AdmissionOutcome::Queued)
            continue;
        auto call = found->second;
        if (event.outcome != AdmissionOutcome::Run) {
            m_calls.erase(found);
            call->refuse(event.outcome, event.retryAfter);
        } else if (!call->run()) {
            m_admission.requeue(event.ticket, std::chrono::steady_clock::now());
        }
    }
    if (outermost)
        m_dispatching = false;
}

std::vector<UpstreamView> PoolRuntime::upstreamViews(
    const std::set<UpstreamId>& tried, const NewWorkCheck& mayGetWork, const HealthCheck& isHealthy)
{
    MonotonicTime now = std::chrono::steady_clock::now();
    bool anyHealthy = std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        return upstream->settings.state == UpstreamState::Serving && !tried.count(upstream->id)
            && isHealthy(*upstream);
    });
    std::vector<UpstreamView> result;
    result.reserve(m_upstreams.size());
    for (const auto& upstream : m_upstreams) {
        UpstreamView view;
        view.id = upstream->id;
        view.weight = upstream->settings.weight;
        view.localSlots = localSlots(upstream->settings, m_instanceCount);
        if (upstream->settings.state != UpstreamState::Serving)
            view.use = UpstreamUse::Draining;
        else if (tried.count(upstream->id) || !mayGetWork(*upstream) || (anyHealthy && !isHealthy(*upstream)))
            view.use = UpstreamUse::Unusable;
        view.localRequests = upstream->requestsInProgress;
        result.push_back(view);
    }
    m_ledger.fill(result, now);
    return result;
}

PlacementDecision PoolRuntime::place(const PlacementRequest& request, const std::set<UpstreamId>& tried,
    const NewWorkCheck& mayGetWork, const HealthCheck& isHealthy)
{
    auto candidates = upstreamViews(tried, mayGetWork, isHealthy);
    return m_placement->decide(request, candidates);
}

UpstreamRuntime* PoolRuntime::pickService(std::uint64_t nonce, const std::set<UpstreamId>& tried,
    const NewWorkCheck& mayGetWork, const HealthCheck& isHealthy)
{
    auto candidates = upstreamViews(tried, mayGetWork, isHealthy);
    UpstreamRuntime* best = nullptr;
    double bestLoad = 0;
    std::uint64_t bestHash = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamView& view = candidates[i];
        if (view.use != UpstreamUse::Serving)
            continue;
        double load = m_upstreams[i]->requestsInProgress / view.weight;
        std::uint64_t hash = combineHashes(nonce, view.id);
        if (!best || load < bestLoad || (load == bestLoad && hash < bestHash)) {
            best = m_upstreams[i].get();
            bestLoad = load;
            bestHash = hash;
        }
    }
    return best;
}

std::size_t PoolRuntime::waiting() const
{
    return m_admission.waiting(RequestClass::Short) + m_admission.waiting(RequestClass::Long);
}

std::size_t PoolRuntime::running() const
{
    return m_admission.running(RequestClass::Short) + m_admission.running(RequestClass::Long);
}

} // namespace briarwharf
