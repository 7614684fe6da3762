#include "coordination/rateshare.h"

#include "base/hash.h"
#include "coordination/fairlevel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarwharf {

namespace {

    constexpr double unlimitedLevel = std::numeric_limits<double>::infinity();

    // A demand of fewer tokens per second than this counts as none.
    constexpr double minDemand = 0.5;

    // A change below this ratio of the subject's limit is never urgent.
    constexpr double urgentRatioOfLimit = 0.02;

    // An instance accumulates credit for at most this many requests of the current size.
    constexpr double maxCredit = 2;

    // Smoothing factor of the mean request size, per request.
    constexpr double sizeSmoothing = 0.05;

    // A change of the demand by more than this many standard deviations is not noise.
    constexpr double surgeDeviations = 3;

    // Bounds the effect of a wrong count of covered instances.
    constexpr double maxCountRatio = 4;

    constexpr Milliseconds maxRetryAfter { 60000 };

    // Priorities: a sum is sent when its priority is 1 or more. The contribution of a change is bounded by
    // this, so that every waiting sum is sent eventually.
    constexpr double maxChangePriority = 4;
    constexpr double newSumPriority = 4;

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    // Weight of a new value in exponential smoothing.
    double smoothingFactor(double elapsed, Milliseconds timeConstant)
    {
        return 1 - std::exp(-elapsed / seconds(timeConstant));
    }

} // namespace

RateShare::RateShare(const Membership& membership, RateShareOptions options)
    : m_membership(membership)
    , m_options(options)
{
}

void RateShare::setLimits(const std::vector<RateLimit>& limits, MonotonicTime /* now */)
{
    std::unordered_map<std::uint32_t, std::size_t> indexes;
    std::vector<Share> shares;
    std::vector<std::size_t> sources;
    auto instances = static_cast<double>(std::max<std::size_t>(m_membership.expectedInstances(), 1));
    for (const RateLimit& limit : limits) {
        if (!indexes.emplace(limit.subject, shares.size()).second)
            continue;
        auto known = m_indexes.find(limit.subject);
        Share share;
        if (known != m_indexes.end()) {
            share = m_shares[known->second];
        } else {
            share.subject = limit.subject;
            share.requestTokens = m_options.requestTokens;
            share.bucketRate = limit.tokensPerSecond / instances;
            share.bucket = share.bucketRate * seconds(m_options.burst);
        }
        share.limit = limit.tokensPerSecond;
        share.weight = limit.weight;
        share.demandWindow = limit.demandWindow.value_or(m_options.demandWindow);
        sources.push_back(known == m_indexes.end() ? m_shares.size() : known->second);
        shares.push_back(share);
    }
    for (auto& [peer, state] : m_links) {
        LinkState moved = state;
        moved.received.assign(shares.size(), 0);
        moved.sent.assign(shares.size(), {});
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (sources[i] >= state.received.size())
                continue;
            moved.received[i] = state.received[sources[i]];
            moved.sent[i] = state.sent[sources[i]];
        }
        state = std::move(moved);
    }
    m_indexes = std::move(indexes);
    m_shares = std::move(shares);
}

bool RateShare::admit(std::uint32_t subject, double tokens, MonotonicTime /* now */)
{
    auto index = m_indexes.find(subject);
    if (index == m_indexes.end())
        return false;
    recordDemand(subject, tokens);
    Share& share = m_shares[index->second];
    bool limited = share.admittedRatio < 1;
    if (limited)
        share.credit = std::min(share.credit + share.admittedRatio * tokens, maxCredit * tokens);
    if (share.bucket <= 0 || (limited && share.credit <= 0))
        return false;
    share.bucket -= tokens;
    if (limited)
        share.credit -= tokens;
    return true;
}

void RateShare::recordDemand(std::uint32_t subject, double tokens)
{
    auto index = m_indexes.find(subject);
    if (index == m_indexes.end())
        return;
    Share& share = m_shares[index->second];
    share.arrivedTokens += tokens;
    share.requestTokens += (tokens - share.requestTokens) * sizeSmoothing;
}

Milliseconds RateShare::retryAfter(std::uint32_t subject, MonotonicTime /* now */) const
{
    auto index = m_indexes.find(subject);
    if (index == m_indexes.end())
        return maxRetryAfter;
    const Share& share = m_shares[index->second];
    auto wait = [](double missing, double rate) {
        if (missing <= 0)
            return Milliseconds(0);
        double longest = seconds(maxRetryAfter);
        double estimate = rate > 0 ? std::min(missing / rate, longest) : longest;
        return Milliseconds(static_cast<std::int64_t>(std::ceil(estimate * 1000)));
    };
    double missingCredit = share.admittedRatio < 1 ? -share.credit : 0;
    return std::max(
        wait(-share.bucket, share.bucketRate), wait(missingCredit, share.admittedRatio * share.demand));
}

double RateShare::admittedRatio(std::uint32_t subject) const
{
    auto index = m_indexes.find(subject);
    return index == m_indexes.end() ? 0 : m_shares[index->second].admittedRatio;
}

double RateShare::totalDemand(std::uint32_t subject) const
{
    auto index = m_indexes.find(subject);
    return index == m_indexes.end() ? 0 : m_shares[index->second].total;
}

double RateShare::ownDemand(std::uint32_t subject) const
{
    auto index = m_indexes.find(subject);
    return index == m_indexes.end() ? 0 : m_shares[index->second].demand;
}

void RateShare::tick(MonotonicTime now)
{
    MonotonicTime last = std::exchange(m_lastTick, now).value_or(now);
    double elapsed = seconds(now - last);
    if (elapsed <= 0)
        return;
    updateDemand(elapsed);
    updateTotals(now);
    updateAdmittedRatios(elapsed);
}

void RateShare::updateDemand(double elapsed)
{
    for (Share& share : m_shares) {
        double smoothing = smoothingFactor(elapsed, share.demandWindow);
        double fastSmoothing = smoothingFactor(elapsed, std::min(m_options.fastWindow, share.demandWindow));
        double rate = share.arrivedTokens / elapsed;
        share.arrivedTokens = 0;
        share.observedSeconds += elapsed;
        // The mean of all that was observed, until that is longer than the window.
        double startSmoothing = elapsed / share.observedSeconds;
        share.demand += (rate - share.demand) * std::max(smoothing, startSmoothing);
        share.fastDemand += (rate - share.fastDemand) * std::max(fastSmoothing, startSmoothing);
        adjustForSurge(share);
    }
}

// Moves the demand estimate at once by the change that random arrivals do not explain. For arrivals with a
// rate of r tokens per second and a mean size of s tokens, an exponential window of time constant T has a
// standard deviation of sqrt(r s / 2T).
void RateShare::adjustForSurge(Share& share) const
{
    double variance = share.fastDemand * share.requestTokens / (2 * seconds(m_options.fastWindow));
    double noise = surgeDeviations * std::sqrt(std::max(variance, 0.0));
    share.demand = std::max(share.demand, share.fastDemand - noise);
    share.demand = std::min(share.demand, share.fastDemand + std::max(noise, share.requestTokens));
}

// The sums of a former parent contain the demand of nearly all instances; sent on to a new parent, they would
// be counted twice there. The sums of a child whose link went down still count, because the child may
// reconnect.
bool RateShare::isOutdated(const std::string& peer, const LinkState& state) const
{
    if (!state.downSince)
        return !m_membership.inTree(peer);
    return state.peerWasParent && !m_membership.parent().empty();
}

std::size_t RateShare::coveredBeyond(const LinkState& state, MonotonicTime now) const
{
    return now - state.receivedAt > m_options.coveredTtl ? 0 : state.covered;
}

void RateShare::updateTotals(MonotonicTime now)
{
    std::erase_if(m_links, [this, now](const auto& entry) {
        return entry.second.downSince && now - *entry.second.downSince > m_options.downLinkTtl;
    });
    for (auto& [peer, state] : m_links) {
        if (!state.isTreeLink || !isOutdated(peer, state))
            continue;
        state.received.assign(m_shares.size(), 0);
        state.covered = 0;
        state.isTreeLink = false;
    }
    m_covered = 1;
    for (Share& share : m_shares)
        share.total = share.demand;
    for (const auto& [peer, state] : m_links) {
        if (!state.isTreeLink)
            continue;
        m_covered += coveredBeyond(state, now);
        for (std::size_t i = 0; i < m_shares.size(); ++i)
            m_shares[i].total += state.received[i];
    }
}

// Level at which the subjects' demands, each bounded by its limit and by level * weight, add up to the
// capacity; unlimited while the capacity suffices for all demands.
double RateShare::entitlementLevel() const
{
    if (m_options.capacity <= 0)
        return unlimitedLevel;
    std::vector<WeightedDemand> demands;
    for (const Share& share : m_shares) {
        double capped = std::min(share.total, share.limit);
        if (capped >= minDemand)
            demands.push_back({ capped, share.weight });
    }
    return fairLevel(std::move(demands), m_options.capacity);
}

double RateShare::entitlement(const Share& share, double level) const
{
    return std::min(share.limit, level * share.weight);
}

double RateShare::startRatio(const Share& share) const
{
    double observed = share.observedSeconds / (2 * seconds(m_options.demandWindow));
    return std::min(1.0, m_options.startShare + (1 - m_options.startShare) * observed);
}

void RateShare::updateAdmittedRatios(double elapsed)
{
    double level = entitlementLevel();
    auto covered = static_cast<double>(m_covered);
    auto expected = static_cast<double>(m_membership.expectedInstances());
    double coveredRatio = std::min(1.0, covered / expected);
    // While the tree changes, a subtree may be counted more than once, both in the demand and in the number
    // of instances. Dividing by the ratio of counted to expected instances keeps the mean demand per covered
    // instance right.
    double countRatio = std::clamp(covered / expected, 1.0, maxCountRatio);
    for (Share& share : m_shares) {
        share.bucketRate = entitlement(share, level) * coveredRatio * startRatio(share);
        double total = share.total / countRatio;
        bool wasLimited = share.admittedRatio < 1;
        share.admittedRatio = total > share.bucketRate ? share.bucketRate / total : 1;
        // The instances begin with different credit: otherwise each would admit its next request, which are
        // many requests in a large fleet.
        if (!wasLimited || share.admittedRatio >= 1)
            share.credit
                = -share.requestTokens * unitInterval(combineHashes(share.subject, m_membership.selfHash()));
        share.bucket = std::min(
            share.bucket + share.bucketRate * elapsed, share.bucketRate * seconds(m_options.burst));
    }
}

// Computed from the latest received sums. With the totals of the last tick, a sum that has fallen since then
// would be sent back to the peer that it came from; the two instances would send it back and forth, and it
// would grow each time.
std::uint32_t RateShare::outgoingSum(std::size_t index, const LinkState& link) const
{
    double sum = m_shares[index].demand;
    for (const auto& [peer, state] : m_links) {
        if (state.isTreeLink && &state != &link)
            sum += state.received[index];
    }
    double bounded = std::clamp(sum, 0.0, 4294967295.0);
    return static_cast<std::uint32_t>(std::lround(bounded));
}

double RateShare::priority(const Sent& sent, std::uint32_t value, MonotonicTime now) const
{
    if (value == 0 && sent.value == 0)
        return 0;
    double waited = seconds(now - sent.at) / seconds(m_options.refreshInterval);
    if (!sent.everSent)
        return newSumPriority + waited;
    double difference = std::abs(static_cast<double>(value) - static_cast<double>(sent.value));
    double change = difference / (m_options.significantChange * static_cast<double>(sent.value) + 1);
    return std::min(change, maxChangePriority) + waited;
}

RateShare::LinkState RateShare::freshState() const
{
    LinkState state;
    state.received.assign(m_shares.size(), 0);
    state.sent.assign(m_shares.size(), {});
    return state;
}

void RateShare::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    auto found = m_links.find(link.peer);
    if (found == m_links.end())
        found = m_links.emplace(link.peer, freshState()).first;
    LinkState& state = found->second;
    if (link.isTreeLink && !state.sendsSums)
        state.sent.assign(m_shares.size(), {}); // the peer holds no sums of this instance
    state.sendsSums = link.isTreeLink;
    if (!link.isTreeLink)
        return;
    std::size_t covered = 1;
    for (const auto& [peer, other] : m_links)
        covered += other.isTreeLink && &other != &state ? coveredBeyond(other, now) : 0;
    heartbeat.usageCovered = static_cast<std::uint32_t>(covered);
    double rate = m_options.bytesPerSecond / static_cast<double>(std::max<std::size_t>(link.treeLinks, 1));
    fillSums(state, state.budget.available(rate, now), heartbeat, now);
}

void RateShare::fillSums(LinkState& state, std::size_t bytes, HeartbeatT& heartbeat, MonotonicTime now) const
{
    std::vector<std::pair<double, std::size_t>> waiting;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        Sent& sent = state.sent[i];
        if (!sent.everSent && sent.at == MonotonicTime())
            sent.at = now; // its waiting time starts now
        double value = priority(sent, outgoingSum(i, state), now);
        if (value >= 1)
            waiting.emplace_back(value, i);
    }
    std::size_t bound = bytes / sizeof(UsageSum);
    if (waiting.size() > bound) {
        auto middle = waiting.begin() + static_cast<std::ptrdiff_t>(bound);
        std::nth_element(waiting.begin(), middle, waiting.end(), std::greater<>());
        waiting.resize(bound);
    }
    for (const auto& [value, i] : waiting) {
        std::uint32_t sum = outgoingSum(i, state);
        heartbeat.usageSums.emplace_back(m_shares[i].subject, sum);
        state.sent[i] = { sum, now, true };
    }
    state.budget.spend(waiting.size() * sizeof(UsageSum));
}

void RateShare::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    auto found = m_links.find(link.peer);
    if (found == m_links.end())
        found = m_links.emplace(link.peer, freshState()).first;
    LinkState& state = found->second;
    if (!link.isTreeLink && state.isTreeLink) {
        state.received.assign(m_shares.size(), 0);
        state.covered = 0;
    }
    state.isTreeLink = link.isTreeLink;
    state.receivedAt = now;
    state.peerWasParent = link.peerIsParent;
    if (!link.isTreeLink)
        return;
    // The bound keeps a wrong count, such as a subtree counted twice while the tree changes, from growing.
    state.covered = std::min<std::size_t>(heartbeat.usageCovered, m_membership.expectedInstances());
    for (const UsageSum& sum : heartbeat.usageSums) {
        auto index = m_indexes.find(sum.organisation());
        if (index != m_indexes.end())
            state.received[index->second] = sum.tokensPerSecond();
    }
}

bool RateShare::urgent(const LinkView& link, MonotonicTime /* now */) const
{
    auto found = m_links.find(link.peer);
    if (!link.isTreeLink || found == m_links.end())
        return false;
    const LinkState& state = found->second;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        auto sent = static_cast<double>(state.sent[i].value);
        double difference = std::abs(static_cast<double>(outgoingSum(i, state)) - sent);
        if (difference > m_options.urgentChange * sent + urgentRatioOfLimit * m_shares[i].limit)
            return true;
    }
    return false;
}

void RateShare::linkUp(const std::string& peer, MonotonicTime /* now */)
{
    // The sums received on the previous link to this peer still count until its first heartbeat, at most for
    // `downLinkTtl`.
    auto found = m_links.find(peer);
    if (found == m_links.end()) {
        m_links.emplace(peer, freshState());
        return;
    }
    found->second.sent.assign(m_shares.size(), {});
    found->second.sendsSums = false;
    found->second.downSince.reset();
}

void RateShare::linkDown(const std::string& peer, MonotonicTime now)
{
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    if (found->second.isTreeLink)
        found->second.downSince = now;
    else
        m_links.erase(found);
}

} // namespace briarwharf
