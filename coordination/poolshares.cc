#include "coordination/poolshares.h"

#include "base/hash.h"
#include "base/log.h"
#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // Sums are exchanged in whole units.
    constexpr double unitsPerRequest = 1000;

    // The same for the time for which slots are held, per second.
    constexpr double unitsPerSecond = 1e6;

    // A demand from which changes are passed on early, in requests per second. Changes below 2 in 100 of it
    // wait for the next heartbeat.
    constexpr double urgentReference = 500;

    // With fewer samples per second the mean time for which a request holds a slot is not used.
    constexpr double minSampleRate = 1;

    // A change of the demand by more than this many standard deviations is no noise.
    constexpr double surgeDeviations = 3;

    // A pool counts as scarce for this long after its demand last exceeded the capacity.
    constexpr Milliseconds scarceHold { 1000 };

    // An instance admits at most this many requests of a claimant at once.
    constexpr double maxCredit = 2;

    // Refused callers are told to return at no more than this share of the pool's capacity, so that those who
    // return find room as soon as the other demand leaves that much.
    constexpr double returnShare = 0.25;
    constexpr Milliseconds minRetryAfter { 500 };
    constexpr Milliseconds maxRetryAfter { 5000 };
    constexpr Milliseconds returnSpread { 500 };

    constexpr double maxCountRatio = 4; // bounds the effect of a wrong count of covered instances

    RateShareOptions shareOptions(const PoolSharesOptions& shares)
    {
        RateShareOptions options;
        options.requestTokens = unitsPerRequest;
        options.demandWindow = options.fastWindow = shares.demandWindow;
        options.coveredTtl = shares.newsTtl;
        return options;
    }

    std::uint32_t subjectOf(const std::string& pool, std::string_view kind, int priority = 0)
    {
        std::uint64_t hash = combineHashes(hash64(pool), hash64(kind));
        return static_cast<std::uint32_t>(combineHashes(hash, static_cast<std::uint64_t>(priority)));
    }

    double usableWeight(double weight) { return weight > 0 && std::isfinite(weight) ? weight : 1; }

    Milliseconds fromSeconds(double seconds)
    {
        return Milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
    }

} // namespace

PoolShares::PoolShares(const Membership& membership, PoolSharesOptions options)
    : m_membership(membership)
    , m_options(options)
    , m_shares(membership, shareOptions(options))
{
}

std::vector<std::string> PoolShares::setPools(const std::vector<SharedPool>& pools, MonotonicTime now)
{
    std::vector<std::string> leftOut;
    std::size_t claimants = 0;
    std::map<std::string, Pool, std::less<>> next;
    for (const SharedPool& shared : pools) {
        if (claimants + shared.claimants.size() > m_options.maxClaimants) {
            leftOut.push_back(shared.name);
            continue;
        }
        claimants += shared.claimants.size();
        auto known = m_pools.find(shared.name);
        Pool& pool = next[shared.name];
        if (known != m_pools.end())
            pool = std::move(known->second);
        addPool(shared, pool);
    }
    m_pools = std::move(next);
    setDemandLimits(now);
    return leftOut;
}

void PoolShares::addPool(const SharedPool& shared, Pool& pool) const
{
    pool.offered = subjectOf(shared.name, "offered");
    pool.served = subjectOf(shared.name, "served");
    pool.sampled = subjectOf(shared.name, "sampled");
    pool.held = subjectOf(shared.name, "held");
    pool.targetLatency = shared.targetLatency;
    auto before = std::exchange(pool.claimants, {});
    for (const PoolClaimant& listed : shared.claimants) {
        ClaimantKey key { std::max(listed.priority, 0), listed.organisation };
        auto known = before.find(key);
        Claimant claimant = known == before.end() ? Claimant {} : known->second;
        claimant.subject = subjectOf(shared.name, "organisation " + listed.organisation, key.first);
        claimant.weight = usableWeight(listed.weight);
        pool.claimants.emplace(std::move(key), claimant);
    }
}

void PoolShares::setDemandLimits(MonotonicTime now)
{
    constexpr double reference = urgentReference * unitsPerRequest;
    constexpr double neverUrgent = 1e15;
    std::vector<RateLimit> limits;
    for (const auto& [name, pool] : m_pools) {
        limits.push_back({ pool.offered, reference, 1, m_options.surgeWindow });
        limits.push_back({ pool.served, neverUrgent });
        limits.push_back({ pool.sampled, neverUrgent, 1, m_options.holdingWindow });
        limits.push_back({ pool.held, neverUrgent, 1, m_options.holdingWindow });
        for (const auto& [key, claimant] : pool.claimants)
            limits.push_back({ claimant.subject, reference });
    }
    m_shares.setLimits(limits, now);
}

void PoolShares::setState(std::string_view name, double places, double inProgress)
{
    auto pool = m_pools.find(name);
    if (pool == m_pools.end())
        return;
    pool->second.places = places;
    pool->second.inProgress = inProgress;
}

// While the tree changes, a subtree may be counted more than once, both in the sums and in the number of
// instances.
double PoolShares::countRatio() const
{
    auto expected = static_cast<double>(std::max<std::size_t>(m_membership.expectedInstances(), 1));
    return std::clamp(static_cast<double>(m_shares.covered()) / expected, 1.0, maxCountRatio);
}

// The part of the instances whose demand is in the sums.
double PoolShares::coverage() const
{
    auto expected = static_cast<double>(std::max<std::size_t>(m_membership.expectedInstances(), 1));
    return std::min(1.0, static_cast<double>(m_shares.covered()) / expected);
}

double PoolShares::total(std::uint32_t subject) const
{
    return m_shares.totalDemand(subject) / unitsPerRequest / countRatio();
}

void PoolShares::tick(MonotonicTime now)
{
    m_shares.tick(now);
    for (auto& [name, pool] : m_pools)
        update(name, pool, now);
}

PoolObservation PoolShares::observe(const Pool& pool) const
{
    PoolObservation observed;
    observed.places = pool.places;
    observed.inProgress = pool.inProgress;
    double sampled = total(pool.sampled);
    if (sampled >= minSampleRate * coverage())
        observed.meanHolding = total(pool.held) * unitsPerRequest / unitsPerSecond / sampled;
    observed.servedPerSecond = total(pool.served);
    observed.targetSeconds = std::chrono::duration<double>(pool.targetLatency).count();
    observed.complete = coverage() >= 1;
    observed.scarce = pool.scarce;
    return observed;
}

void PoolShares::update(const std::string& name, Pool& pool, MonotonicTime now)
{
    pool.capacity.update(observe(pool), now);
    std::vector<ShareClaim> claims;
    double averaged = 0;
    for (const auto& [key, claimant] : pool.claimants) {
        claims.push_back({ key.first, claimant.weight, total(claimant.subject) });
        averaged += claims.back().demand;
    }
    double factor = surge(pool, averaged);
    for (ShareClaim& claim : claims)
        claim.demand *= factor;
    pool.demand = averaged * factor;
    double usable = pool.capacity.perSecond() * m_options.usedShare * coverage();
    // Estimates of the capacity may be too low until the pool has shown under load what it serves.
    bool mayRefuse = usable > 0 && (pool.scarce || pool.capacity.isFull() || coverage() < 1);
    bool exceeded = mayRefuse && divideCapacity(claims, usable, m_options.floorShare);
    auto claim = claims.begin();
    for (auto& [key, claimant] : pool.claimants) {
        double ratio = exceeded ? claim->ratio : 1;
        // The instances begin with different credit: otherwise each would refuse its next request.
        if (claimant.ratio >= 1)
            claimant.credit = unitInterval(combineHashes(claimant.subject, m_membership.selfHash()));
        claimant.ratio = ratio;
        ++claim;
    }
    setScarce(name, pool, exceeded, now);
}

// By how much the demand of late differs from the averaged one, beyond random arrivals. For a rate of r, an
// exponential window of time constant T has a standard deviation of sqrt(r / 2T).
double PoolShares::surge(const Pool& pool, double averaged) const
{
    double latest = total(pool.offered);
    double window = std::chrono::duration<double>(m_options.surgeWindow).count();
    double noise = surgeDeviations * std::sqrt(std::max(latest, 1.0) / (2 * window));
    if (averaged <= 0)
        return 1;
    if (latest - noise > averaged)
        return (latest - noise) / averaged;
    return std::min(1.0, (latest + noise) / averaged);
}

void PoolShares::setScarce(const std::string& name, Pool& pool, bool exceeded, MonotonicTime now)
{
    if (exceeded)
        pool.scarceUntil = now + scarceHold;
    bool scarce = exceeded || now < pool.scarceUntil;
    if (scarce == std::exchange(pool.scarce, scarce))
        return;
    if (scarce)
        pool.scarceSince = now;
    LogLine(LogLevel::Info, "shares", scarce ? "scarce" : "ended")
        .field("pool", name)
        .field("demand", pool.demand)
        .field("capacity", pool.capacity.perSecond())
        .field("occupancy", pool.capacity.occupancy())
        .field("covered", m_shares.covered())
        .field("instances", m_membership.expectedInstances())
        .field("for_ms", scarce ? 0 : toMilliseconds(now - pool.scarceSince).count());
}

std::optional<ShareRefusal> PoolShares::refuse(const ShareRequest& request, MonotonicTime now)
{
    auto found = m_pools.find(request.pool);
    if (found == m_pools.end())
        return std::nullopt;
    Pool& pool = found->second;
    m_shares.recordDemand(pool.offered, unitsPerRequest);
    auto claimant
        = pool.claimants.find(ClaimantKey(std::max(request.priority, 0), std::string(request.organisation)));
    if (claimant != pool.claimants.end()) {
        m_shares.recordDemand(claimant->second.subject, unitsPerRequest);
        if (auto refusal = refuseByShare(pool, claimant->second, now))
            return refusal;
    }
    return refuseLate(pool, request.timeLeft, now);
}

std::optional<ShareRefusal> PoolShares::refuseByShare(Pool& pool, Claimant& claimant, MonotonicTime now)
{
    // Of the requests of instances without news nothing is known, so that free slots do not show.
    double refusedShare = coverage() >= 1 ? pool.capacity.refusedShare() : 1;
    if (claimant.ratio >= 1 || refusedShare <= 0)
        return std::nullopt;
    double ratio = 1 - (1 - claimant.ratio) * refusedShare;
    claimant.credit = std::min(claimant.credit + ratio, maxCredit);
    if (claimant.credit >= 1) {
        claimant.credit -= 1;
        return std::nullopt;
    }
    ++pool.overShare;
    ShareRefusal refusal;
    refusal.ratio = ratio;
    refusal.demand = total(claimant.subject);
    refusal.retryAfter = bookReturn(pool, now);
    return refusal;
}

std::optional<ShareRefusal> PoolShares::refuseLate(Pool& pool, Milliseconds timeLeft, MonotonicTime now)
{
    double expected = pool.capacity.expectedSeconds();
    double missing = expected - std::chrono::duration<double>(timeLeft).count();
    if (expected <= 0 || missing <= 0)
        return std::nullopt;
    ++pool.late;
    ShareRefusal refusal;
    refusal.lateOnly = true;
    refusal.retryAfter = std::min(std::max(fromSeconds(missing), bookReturn(pool, now)), maxRetryAfter);
    return refusal;
}

// Books a time for the caller to return, at the rate at which this instance's part of the pool takes those
// who return. The times of callers that are beyond the longest one are spread below it.
Milliseconds PoolShares::bookReturn(Pool& pool, MonotonicTime now)
{
    auto instances = static_cast<double>(std::max<std::size_t>(m_membership.expectedInstances(), 1));
    double rate = std::max(pool.capacity.perSecond() * returnShare / instances, 0.01);
    double spread = unitInterval(combineHashes(m_membership.selfHash(), ++m_refusals));
    auto scaled = [spread](Milliseconds range) {
        return Milliseconds(static_cast<std::int64_t>(spread * static_cast<double>(range.count())));
    };
    MonotonicTime at = std::max(pool.nextReturn, now + minRetryAfter);
    if (at > now + maxRetryAfter)
        return maxRetryAfter - scaled(maxRetryAfter / 2);
    pool.nextReturn = at + fromSeconds(1 / rate);
    return std::min(toMilliseconds(at - now) + scaled(returnSpread), maxRetryAfter);
}

void PoolShares::answered(std::string_view name, std::chrono::nanoseconds duration, bool mayHaveWaited)
{
    auto found = m_pools.find(name);
    if (found == m_pools.end())
        return;
    Pool& pool = found->second;
    m_shares.recordDemand(pool.served, unitsPerRequest);
    double seconds = std::chrono::duration<double>(duration).count();
    if (mayHaveWaited || !pool.capacity.isCalm() || !pool.holdingFilter.accepts(seconds))
        return;
    m_shares.recordDemand(pool.sampled, unitsPerRequest);
    m_shares.recordDemand(pool.held, seconds * unitsPerSecond);
}

bool PoolShares::isScarce(std::string_view name) const
{
    auto pool = m_pools.find(name);
    return pool != m_pools.end() && pool->second.scarce;
}

std::vector<std::string> PoolShares::pools() const
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : m_pools)
        names.push_back(name);
    return names;
}

std::vector<PoolShareStatus> PoolShares::status() const
{
    std::vector<PoolShareStatus> result;
    for (const auto& [name, pool] : m_pools)
        result.push_back(
            { name, pool.capacity.perSecond(), pool.demand, pool.capacity.holdingSeconds() * 1000,
                pool.capacity.occupancy(), pool.scarce, pool.overShare, pool.late });
    return result;
}

void PoolShares::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    if (!m_pools.empty())
        m_shares.fill(link, heartbeat, now);
}

void PoolShares::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    m_shares.accept(link, heartbeat, now);
}

bool PoolShares::urgent(const LinkView& link, MonotonicTime now) const { return m_shares.urgent(link, now); }

void PoolShares::linkUp(const std::string& peer, MonotonicTime now) { m_shares.linkUp(peer, now); }

void PoolShares::linkDown(const std::string& peer, MonotonicTime now) { m_shares.linkDown(peer, now); }

} // namespace briarwharf
