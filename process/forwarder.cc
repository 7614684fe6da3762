#include "process/forwarder.h"

#include "base/base.h"
#include "process/forwardedrequest.h"
#include "process/poolclaims.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds timeoutCheckInterval { 50 };

    // Time constant with which an upstream's slowness decays to 1 without new observations, so that a slow
    // upstream is tried again.
    constexpr double slownessDecaySeconds = 4;

    // Maximum Retry-After because of a pause: another instance need not have been asked for one, and
    // upstreams may be added.
    constexpr Milliseconds maxPauseRetryAfter { 5000 };

    // Interval at which the weights of upstreams with limits are determined, and the weight of the latest
    // value in the averages that they depend on.
    constexpr Milliseconds weightInterval { 500 };
    constexpr double rateWeight = 0.2;
    constexpr double durationWeight = 0.05;
    // Weights that would change by less than this factor stay, so that segments keep their homes.
    constexpr double minWeightChange = 1.5;

    // Minimum number of connections to one upstream that an instance may open, whatever the size of the
    // fleet.
    constexpr std::size_t minConnections = 4;
    // Share of an upstream's connection limit that the instances divide among themselves.
    constexpr double plannedConnectionShare = 0.85;

    std::uint32_t shortHash(const std::string& id) { return static_cast<std::uint32_t>(hash64(id)); }

    HttpPoolOptions poolOptions(const ForwarderSettings& settings)
    {
        HttpPoolOptions options;
        options.memory = settings.memory;
        options.maxConnections = settings.maxUpstreamConnections;
        return options;
    }

} // namespace

std::uint32_t upstreamLifetimeHash(const UpstreamEntry& entry)
{
    return static_cast<std::uint32_t>(
        combineHashes(hash64(entry.id), static_cast<std::uint64_t>(entry.started)));
}

void Forwarder::Upstream::updateSlowness(double ratio, double weight, MonotonicTime now)
{
    slowness = decayedSlowness(now);
    slowness += (ratio - slowness) * weight;
    slownessUpdatedAt = now;
}

double Forwarder::Upstream::decayedSlowness(MonotonicTime now) const
{
    double seconds = std::chrono::duration<double>(now - slownessUpdatedAt).count();
    return 1 + (slowness - 1) * std::exp(-seconds / slownessDecaySeconds);
}

Forwarder::Forwarder(event_base* base, ForwarderSettings settings, ForwardingHeaders headers,
    SharedState shared, ForwardMetrics& metrics)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_headers(std::move(headers))
    , m_inProgress(shared.inProgress)
    , m_health(shared.health)
    , m_quarantine(shared.quarantine)
    , m_limits(shared.limits)
    , m_shares(shared.shares)
    , m_metrics(metrics)
    , m_connections(base, poolOptions(m_settings))
    , m_crashDetector(base,
          [this](std::uint32_t upstream, const std::vector<std::uint64_t>& segments, MonotonicTime at) {
              m_quarantine.recordCrash(segments, upstream, at, clockNow());
          })
    , m_placement(m_settings.cost)
    , m_budget(m_settings.budget)
    , m_hedging(m_settings.hedging)
    , m_deferredDelete(base, [this] { m_done.clear(); })
    , m_timeoutTicker(base, timeoutCheckInterval, [this] { checkTimeouts(); })
    , m_weightTicker(base, weightInterval, [this] { updateHomeWeights(); })
{
}

Forwarder::~Forwarder()
{
    m_requests.clear();
    m_done.clear();
}

void Forwarder::setRouting(std::shared_ptr<const RoutingTable> table)
{
    m_routing = std::move(table);
    for (const auto& [id, upstream] : m_upstreams)
        setCold(*upstream, clockNow());
    if (!m_settings.fairShares)
        return;
    for (const std::string& pool : m_shares.setPools(sharedPools(m_routing->config()), clockNow()))
        LogLine(LogLevel::Warning, "shares", "too-many").field("pool", pool);
}

// Upstreams that this instance does not use at present have no places for it, and what runs there takes none
// of the others.
void Forwarder::updatePoolStates(MonotonicTime now)
{
    for (const std::string& name : m_shares.pools()) {
        double places = 0;
        double inProgress = 0;
        auto pool = m_pools.find(name);
        if (pool == m_pools.end()) {
            m_shares.setState(name, places, inProgress);
            continue;
        }
        for (const auto& upstream : pool->second.upstreams) {
            bool usable = !upstream->entry.lapsed && !m_availability.isPaused(upstream->lifetimeHash, now)
                && m_health.usable(upstream->hash, now);
            if (!usable)
                continue;
            places += upstream->entry.slots;
            inProgress
                += m_inProgress.own(upstream->hash).requests + m_inProgress.others(upstream->hash).requests;
        }
        m_shares.setState(name, places, inProgress);
    }
}

void Forwarder::setInstances(std::size_t instances)
{
    m_instances = std::max<std::size_t>(instances, 1);
    m_budget.setInstances(m_instances, clockNow());
    m_hedging.setInstances(m_instances, clockNow());
}

void Forwarder::setUpstreams(const std::map<std::string, UpstreamEntry>& entries, std::uint64_t revision)
{
    m_directoryRevision = revision;
    for (auto known = m_upstreams.begin(); known != m_upstreams.end();) {
        auto entry = entries.find(known->first);
        bool removed = entry == entries.end();
        if (removed || entry->second.started != known->second->entry.started)
            m_placement.removeUpstream(known->second->hash);
        if (removed || entry->second.draining || isEvacuated(entry->second))
            m_connections.closeIdle(known->second->entry.endpoint);
        if (removed && known->second->entry.started == 0) // its next lifetime will look the same
            m_availability.forget(known->second->lifetimeHash);
        known = removed ? m_upstreams.erase(known) : std::next(known);
    }
    std::vector<std::uint32_t> hashes;
    std::vector<std::uint32_t> lifetimeHashes;
    for (const auto& [id, entry] : entries) {
        auto& upstream = m_upstreams[id];
        // Requests in progress keep the state of the lifetime that they were sent to.
        if (!upstream || upstream->entry.started != entry.started) {
            if (upstream)
                m_health.restarted(upstream->hash);
            upstream = std::make_shared<Upstream>();
            upstream->hash = shortHash(id);
        } else if (upstream->entry.endpoint != entry.endpoint) {
            m_availability.setMoved(upstream->lifetimeHash);
        }
        upstream->entry = entry;
        upstream->lifetimeHash = upstreamLifetimeHash(entry);
        hashes.push_back(upstream->hash);
        lifetimeHashes.push_back(upstream->lifetimeHash);
    }
    m_health.setUpstreams(hashes);
    m_limits.setUpstreams(lifetimeHashes, clockNow());
    m_availability.setUpstreams(lifetimeHashes, clockNow());
    updateColdStarts(clockNow());
    updatePools();
}

// Requests per second that the upstream takes while it is cold; 0: it is never cold.
double Forwarder::coldPerSecond(const Upstream& upstream) const
{
    const RoutedPool* pool = m_routing ? m_routing->findPool(upstream.entry.pool) : nullptr;
    return pool ? pool->coldPerSecond : 0;
}

void Forwarder::updateColdStarts(MonotonicTime now)
{
    std::vector<ListedStart> starts;
    for (const auto& [id, upstream] : m_upstreams) {
        const UpstreamEntry& entry = upstream->entry;
        ListedStart start { upstream->lifetimeHash };
        if (entry.coldRemaining)
            start.coldUntil = entry.coldUntil;
        if (const RoutedPool* pool = m_routing ? m_routing->findPool(entry.pool) : nullptr)
            start.coldDuration = pool->coldDuration;
        starts.push_back(start);
    }
    m_coldStarts.setUpstreams(starts, now);
    for (const auto& [id, upstream] : m_upstreams)
        setCold(*upstream, now);
}

void Forwarder::setCold(const Upstream& upstream, MonotonicTime now)
{
    double perSecond = coldPerSecond(upstream);
    bool wasCold = m_limits.isCold(upstream.lifetimeHash, now);
    m_limits.setCold(
        { upstream.lifetimeHash, perSecond, m_coldStarts.coldUntil(upstream.lifetimeHash) }, now);
    if (wasCold || !m_limits.isCold(upstream.lifetimeHash, now))
        return;
    LogLine(LogLevel::Info, "upstream", "cold")
        .field("upstream", upstream.entry.id)
        .field("per_second", perSecond)
        .field("left_ms", m_limits.coldTimeLeft(upstream.lifetimeHash, now).count());
}

void Forwarder::recordCold(const Upstream& upstream, Milliseconds remaining)
{
    MonotonicTime now = clockNow();
    m_coldStarts.answered(upstream.lifetimeHash, remaining, now);
    setCold(upstream, now);
}

void Forwarder::updatePools()
{
    m_pools.clear();
    for (const auto& [id, upstream] : m_upstreams) {
        std::uint32_t lifetime = upstream->lifetimeHash;
        bool usable = !upstream->entry.draining && !m_availability.isLeaving(lifetime)
            && !m_availability.isStale(lifetime) && !isEvacuated(upstream->entry);
        if (usable)
            m_pools[upstream->entry.pool].upstreams.push_back(upstream);
    }
}

void Forwarder::setEvacuatedDomains(std::set<std::string> domains)
{
    m_awaitsEvacuatedDomains = false;
    m_evacuatedDomains = std::move(domains);
    updatePools();
    for (const auto& [id, upstream] : m_upstreams) {
        if (isEvacuated(upstream->entry))
            m_connections.closeIdle(upstream->entry.endpoint);
    }
    placeUnwrittenAgain([this](const Upstream& upstream) { return isEvacuated(upstream.entry); });
}

bool Forwarder::setLeaving(const Upstream& upstream)
{
    if (!m_availability.setLeaving(upstream.lifetimeHash))
        return false;
    updatePools();
    m_connections.closeIdle(upstream.entry.endpoint);
    placeUnwrittenAgain(upstream);
    return true;
}

bool Forwarder::pause(const Upstream& upstream, Milliseconds duration)
{
    if (!m_availability.pause(upstream.lifetimeHash, duration, clockNow()))
        return false;
    ++m_counters.pauses;
    placeUnwrittenAgain(upstream);
    return true;
}

void Forwarder::setStale(const Upstream& upstream)
{
    if (!m_availability.setStale(upstream.lifetimeHash))
        return;
    LogLine(LogLevel::Warning, "upstream", "stale")
        .field("upstream", upstream.entry.id)
        .field("address", printEndpoint(upstream.entry.endpoint));
    m_health.failed(upstream.hash, UpstreamFailure::Misdirected, clockNow());
    updatePools();
    m_connections.closeIdle(upstream.entry.endpoint);
    placeUnwrittenAgain(upstream);
}

void Forwarder::placeUnwrittenAgain(const Upstream& upstream)
{
    placeUnwrittenAgain([&upstream](const Upstream& other) { return &other == &upstream; });
}

void Forwarder::placeUnwrittenAgain(const std::function<bool(const Upstream&)>& isGivenUp)
{
    for (auto request = m_requests.begin(); request != m_requests.end();) {
        auto& current = **request++;
        current.giveUpUnwritten(isGivenUp);
    }
}

std::vector<std::shared_ptr<Forwarder::Upstream>> Forwarder::untriedUpstreams(
    const std::string& pool, const std::vector<std::string>& tried) const
{
    std::vector<std::shared_ptr<Upstream>> result;
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return result;
    for (const auto& upstream : found->second.upstreams) {
        if (std::find(tried.begin(), tried.end(), upstream->entry.id) == tried.end())
            result.push_back(upstream);
    }
    return result;
}

bool Forwarder::hasUsableUpstream(
    const std::string& pool, const std::vector<std::string>& tried, MonotonicTime now) const
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return false;
    const auto& upstreams = found->second.upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& upstream) {
        if (std::find(tried.begin(), tried.end(), upstream->entry.id) != tried.end())
            return false;
        UpstreamCandidate state = candidate(*upstream, now);
        return state.available && !state.avoid
            && m_limits.retryAfter(upstream->lifetimeHash, now) <= Milliseconds(0);
    });
}

Milliseconds Forwarder::retryAfter(const std::string& pool, MonotonicTime now) const
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return Milliseconds(0);
    Milliseconds shortest = Milliseconds::max();
    for (const auto& upstream : found->second.upstreams) {
        Milliseconds pause
            = std::min(m_availability.pauseLeft(upstream->lifetimeHash, now), maxPauseRetryAfter);
        shortest = std::min(shortest, std::max(pause, m_limits.retryAfter(upstream->lifetimeHash, now)));
    }
    return shortest;
}

UpstreamCandidate Forwarder::candidate(const Upstream& upstream, MonotonicTime now) const
{
    UpstreamWorkload own = m_inProgress.own(upstream.hash);
    UpstreamWorkload others = m_inProgress.others(upstream.hash);
    UpstreamCandidate result;
    result.hash = upstream.hash;
    result.sameDomain = upstream.entry.failureDomain == m_settings.failureDomain;
    result.avoid = upstream.entry.lapsed || now < upstream.avoidUntil || !m_health.usable(upstream.hash, now);
    result.available = !m_availability.isPaused(upstream.lifetimeHash, now)
        && m_limits.isWithinColdLimit(upstream.lifetimeHash, now);
    result.slots = upstream.entry.slots;
    result.requests = own.requests + others.requests;
    result.pendingPromptTokens = own.promptTokens + others.promptTokens;
    result.homeWeight = upstream.homeWeight;
    result.cold = m_limits.isCold(upstream.lifetimeHash, now);
    result.limited = result.cold || m_limits.limit(upstream.lifetimeHash) > 0;
    result.slowness = upstream.decayedSlowness(now);
    return result;
}

// In a full mesh, peers' requests are known within a heartbeat, and the load bound alone keeps it.
void Forwarder::observeLoads(const std::vector<UpstreamCandidate>& candidates, MonotonicTime now)
{
    if (m_inProgress.fullMesh())
        m_placement.forgetLoads();
    else
        m_placement.observeLoads(candidates, now);
}

// Connections to one upstream of the pool that this instance may open; 0: the pool sets no limit.
std::size_t Forwarder::connectionLimit(const RoutedPool* pool) const
{
    if (!pool || pool->maxConnections <= 0)
        return 0;
    double share = plannedConnectionShare * pool->maxConnections / static_cast<double>(m_instances);
    return std::max(minConnections, static_cast<std::size_t>(share));
}

void Forwarder::handle(IngressRequest request, CallerExchange& caller)
{
    ++m_counters.requests;
    m_requests.push_back(std::make_unique<ForwardedRequest>(*this, std::move(request), caller));
    m_requests.back()->m_position = std::prev(m_requests.end());
    m_requests.back()->start();
}

void Forwarder::finished(ForwardedRequest& request)
{
    m_done.splice(m_done.end(), m_requests, request.m_position);
    m_deferredDelete.start(Milliseconds(0));
}

void Forwarder::attemptFinished(const std::string& pool, std::chrono::nanoseconds duration)
{
    PoolRate& rate = m_poolRates[pool];
    rate.meanSeconds += (std::chrono::duration<double>(duration).count() - rate.meanSeconds) * durationWeight;
}

void Forwarder::updateHomeWeights()
{
    if (m_limits.limitedUpstreams() == 0 && !m_weightsInUse)
        return;
    m_weightsInUse = m_limits.limitedUpstreams() > 0;
    for (const auto& [name, pool] : m_pools)
        updateHomeWeights(pool, m_poolRates[name]);
}

// By Little's law, the rate of requests is the number in progress divided by their mean duration.
void Forwarder::updateHomeWeights(const Pool& pool, PoolRate& rate)
{
    double inProgress = 0;
    std::vector<double> limits;
    for (const auto& upstream : pool.upstreams) {
        inProgress
            += m_inProgress.own(upstream->hash).requests + m_inProgress.others(upstream->hash).requests;
        limits.push_back(m_limits.usableRate(upstream->lifetimeHash));
    }
    double latest = inProgress / std::max(rate.meanSeconds, 0.001);
    rate.perSecond += rate.perSecond > 0 ? (latest - rate.perSecond) * rateWeight : latest;
    std::vector<double> weights = homeWeights(rate.perSecond, limits);
    for (std::size_t index = 0; index < weights.size(); ++index) {
        double& current = pool.upstreams[index]->homeWeight;
        double factor = std::max(weights[index] / current, current / weights[index]);
        if (limits[index] <= 0 || factor >= minWeightChange)
            current = weights[index];
    }
}

void Forwarder::endRequests()
{
    for (auto request = m_requests.begin(); request != m_requests.end();) {
        auto& current = **request++;
        current.endForShutdown();
    }
}

void Forwarder::checkTimeouts()
{
    MonotonicTime now = clockNow();
    m_inProgress.refresh(now);
    for (auto request = m_requests.begin(); request != m_requests.end();) {
        auto& current = **request++;
        current.checkTimeouts(now);
    }
}

} // namespace briarwharf
