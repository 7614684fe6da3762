#include "coordination/rateshare.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarwharf {

namespace {

    constexpr double unlimitedLevel = std::numeric_limits<double>::infinity();

    // Demand below this many tokens per second counts as none.
    constexpr double leastDemand = 0.5;

    // A change below this part of the organisation's limit is never urgent.
    constexpr double urgentPartOfLimit = 0.02;

    // An instance keeps credit for at most this many requests of the present size.
    constexpr double maxCredit = 2;

    // Part of the way that one request moves the mean size.
    constexpr double sizePart = 0.05;

    // A change of the demand by more standard deviations than this is not noise.
    constexpr double surgeDeviations = 3;

    // Bounds the effect of a wrong count of instances.
    constexpr double maxRepeatedCount = 4;

    constexpr Milliseconds longestRetry { 60000 };

    // Priorities: a sum is sent from 1 on. A change counts at most this much, so that every waiting sum gets
    // its turn.
    constexpr double maxChangePriority = 4;
    constexpr double newSumPriority = 4;

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    // Part of the way to a new value that an exponential approach covers.
    double approach(double elapsed, Milliseconds timeConstant)
    {
        return 1 - std::exp(-elapsed / seconds(timeConstant));
    }

} // namespace

RateShare::RateShare(const Membership& membership, RateShareOptions options)
    : m_membership(membership)
    , m_options(options)
{
}

void RateShare::setLimits(const std::vector<OrganisationLimit>& limits, MonotonicTime /* now */)
{
    std::unordered_map<std::uint32_t, std::size_t> indexes;
    std::vector<Share> shares;
    std::vector<std::size_t> sources;
    auto parts = static_cast<double>(std::max<std::size_t>(m_membership.expectedInstances(), 1));
    for (const OrganisationLimit& limit : limits) {
        if (!indexes.emplace(limit.organisation, shares.size()).second)
            continue;
        auto known = m_indexes.find(limit.organisation);
        Share share;
        if (known != m_indexes.end()) {
            share = m_shares[known->second];
        } else {
            share.organisation = limit.organisation;
            share.bucketRate = limit.tokensPerSecond / parts;
            share.bucket = share.bucketRate * seconds(m_options.burst);
        }
        share.limit = limit.tokensPerSecond;
        share.weight = limit.weight;
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

bool RateShare::admit(std::uint32_t organisation, double tokens, MonotonicTime /* now */)
{
    auto index = m_indexes.find(organisation);
    if (index == m_indexes.end())
        return false;
    Share& share = m_shares[index->second];
    share.arrived += tokens;
    share.requestTokens += (tokens - share.requestTokens) * sizePart;
    bool limited = share.fraction < 1;
    if (limited)
        share.credit = std::min(share.credit + share.fraction * tokens, maxCredit * tokens);
    if (share.bucket <= 0 || (limited && share.credit <= 0))
        return false;
    share.bucket -= tokens;
    if (limited)
        share.credit -= tokens;
    return true;
}

Milliseconds RateShare::retryAfter(std::uint32_t organisation, MonotonicTime /* now */) const
{
    auto index = m_indexes.find(organisation);
    if (index == m_indexes.end())
        return longestRetry;
    const Share& share = m_shares[index->second];
    auto wait = [](double missing, double rate) {
        if (missing <= 0)
            return Milliseconds(0);
        double most = seconds(longestRetry);
        double estimate = rate > 0 ? std::min(missing / rate, most) : most;
        return Milliseconds(static_cast<std::int64_t>(std::ceil(estimate * 1000)));
    };
    double missingCredit = share.fraction < 1 ? -share.credit : 0;
    return std::max(
        wait(-share.bucket, share.bucketRate), wait(missingCredit, share.fraction * share.demand));
}

double RateShare::fraction(std::uint32_t organisation) const
{
    auto index = m_indexes.find(organisation);
    return index == m_indexes.end() ? 0 : m_shares[index->second].fraction;
}

double RateShare::totalDemand(std::uint32_t organisation) const
{
    auto index = m_indexes.find(organisation);
    return index == m_indexes.end() ? 0 : m_shares[index->second].total;
}

void RateShare::tick(MonotonicTime now)
{
    MonotonicTime last = std::exchange(m_lastTick, now).value_or(now);
    double elapsed = seconds(now - last);
    if (elapsed <= 0)
        return;
    updateDemand(elapsed);
    updateTotals(now);
    updateFractions(elapsed);
}

void RateShare::updateDemand(double elapsed)
{
    double part = approach(elapsed, m_options.demandWindow);
    double fastPart = approach(elapsed, m_options.fastWindow);
    for (Share& share : m_shares) {
        double rate = share.arrived / elapsed;
        share.arrived = 0;
        share.demand += (rate - share.demand) * part;
        share.fastDemand += (rate - share.fastDemand) * fastPart;
        followSurge(share);
    }
}

// Moves the estimate at once by what random arrivals do not explain. An exponential window of time constant T
// over arrivals of rate r and mean size s has a standard deviation of sqrt(r s / 2T).
void RateShare::followSurge(Share& share) const
{
    double variance = share.fastDemand * share.requestTokens / (2 * seconds(m_options.fastWindow));
    double noise = surgeDeviations * std::sqrt(std::max(variance, 0.0));
    share.demand = std::max(share.demand, share.fastDemand - noise);
    share.demand = std::min(share.demand, share.fastDemand + std::max(noise, share.requestTokens));
}

// The sums of a former parent hold the demand of nearly all instances; passed on to a new parent, they would
// count twice there. Those of a lost child count on, because it may come back.
bool RateShare::outdated(const std::string& peer, const LinkState& state) const
{
    if (!state.lostAt)
        return !m_membership.inTree(peer);
    return state.parent && !m_membership.parent().empty();
}

void RateShare::updateTotals(MonotonicTime now)
{
    std::erase_if(m_links, [this, now](const auto& entry) {
        return entry.second.lostAt && now - *entry.second.lostAt > m_options.keepLostLink;
    });
    for (auto& [peer, state] : m_links) {
        if (!state.tree || !outdated(peer, state))
            continue;
        state.received.assign(m_shares.size(), 0);
        state.covered = 0;
        state.tree = false;
    }
    m_covered = 1;
    for (Share& share : m_shares)
        share.total = share.demand;
    for (const auto& [peer, state] : m_links) {
        if (!state.tree)
            continue;
        m_covered += state.covered;
        for (std::size_t i = 0; i < m_shares.size(); ++i)
            m_shares[i].total += state.received[i];
    }
}

// Level at which the organisations' demands, each bounded by its limit and by level * weight, add up to the
// capacity; unlimited while the capacity suffices for all.
double RateShare::entitlementLevel() const
{
    if (m_options.capacity <= 0)
        return unlimitedLevel;
    struct Want {
        double perWeight = 0;
        double wanted = 0;
        double weight = 0;
    };
    std::vector<Want> wants;
    double wanted = 0;
    double weights = 0;
    for (const Share& share : m_shares) {
        double want = std::min(share.total, share.limit);
        if (want < leastDemand)
            continue;
        wants.push_back({ want / share.weight, want, share.weight });
        wanted += want;
        weights += share.weight;
    }
    if (wanted <= m_options.capacity)
        return unlimitedLevel;
    std::sort(wants.begin(), wants.end(),
        [](const Want& left, const Want& right) { return left.perWeight < right.perWeight; });
    double left = m_options.capacity;
    for (const Want& want : wants) {
        if (want.perWeight * weights >= left)
            break;
        left -= want.wanted;
        weights -= want.weight;
    }
    return weights > 0 ? left / weights : unlimitedLevel;
}

double RateShare::entitlement(const Share& share, double level) const
{
    return std::min(share.limit, level * share.weight);
}

void RateShare::updateFractions(double elapsed)
{
    double level = entitlementLevel();
    auto covered = static_cast<double>(m_covered);
    auto expected = static_cast<double>(m_membership.expectedInstances());
    double usablePart = std::min(1.0, covered / expected);
    // While the tree changes, a part of it may count more than once, in the demand as in the number of
    // instances. The mean demand per covered instance stays right.
    double counted = std::clamp(covered / expected, 1.0, maxRepeatedCount);
    for (Share& share : m_shares) {
        share.bucketRate = entitlement(share, level) * usablePart;
        double total = share.total / counted;
        share.fraction = total > share.bucketRate ? share.bucketRate / total : 1;
        if (share.fraction >= 1)
            share.credit = 0;
        share.bucket = std::min(
            share.bucket + share.bucketRate * elapsed, share.bucketRate * seconds(m_options.burst));
    }
}

// From the sums as they are now: with the totals of the last tick, a sum that fell since then would be sent
// back to the peer that it came from, and the two would pass it back and forth and add to it.
std::uint32_t RateShare::outgoing(std::size_t index, const LinkState& link) const
{
    double own = m_shares[index].demand;
    for (const auto& [peer, state] : m_links) {
        if (state.tree && &state != &link)
            own += state.received[index];
    }
    double bounded = std::clamp(own, 0.0, 4294967295.0);
    return static_cast<std::uint32_t>(std::lround(bounded));
}

double RateShare::priority(const Sent& sent, std::uint32_t value, MonotonicTime now) const
{
    if (value == 0 && sent.value == 0)
        return 0;
    double waited = seconds(now - sent.at) / seconds(m_options.refreshAfter);
    if (!sent.any)
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
    if (link.tree && !state.sending)
        state.sent.assign(m_shares.size(), {}); // the peer starts from nothing
    state.sending = link.tree;
    if (!link.tree)
        return;
    std::size_t covered = 1;
    for (const auto& [peer, other] : m_links)
        covered += other.tree && &other != &state ? other.covered : 0;
    heartbeat.usageCovered = static_cast<std::uint32_t>(covered);
    double rate = m_options.bytesPerSecond / static_cast<double>(std::max<std::size_t>(link.treeLinks, 1));
    fillSums(state, state.budget.available(rate, now), heartbeat, now);
}

void RateShare::fillSums(LinkState& state, std::size_t bytes, HeartbeatT& heartbeat, MonotonicTime now) const
{
    std::vector<std::pair<double, std::size_t>> waiting;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        Sent& sent = state.sent[i];
        if (!sent.any && sent.at == MonotonicTime())
            sent.at = now; // waits from now on
        double value = priority(sent, outgoing(i, state), now);
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
        std::uint32_t sum = outgoing(i, state);
        heartbeat.usageSums.emplace_back(m_shares[i].organisation, sum);
        state.sent[i] = { sum, now, true };
    }
    state.budget.spend(waiting.size() * sizeof(UsageSum));
}

void RateShare::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime /* now */)
{
    auto found = m_links.find(link.peer);
    if (found == m_links.end())
        found = m_links.emplace(link.peer, freshState()).first;
    LinkState& state = found->second;
    if (!link.tree && state.tree) {
        state.received.assign(m_shares.size(), 0);
        state.covered = 0;
    }
    state.tree = link.tree;
    state.parent = link.parent;
    if (!link.tree)
        return;
    // The bound keeps a wrong count, such as one counted twice while the tree changes, from growing.
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
    if (!link.tree || found == m_links.end())
        return false;
    const LinkState& state = found->second;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        auto sent = static_cast<double>(state.sent[i].value);
        double difference = std::abs(static_cast<double>(outgoing(i, state)) - sent);
        if (difference > m_options.urgentChange * sent + urgentPartOfLimit * m_shares[i].limit)
            return true;
    }
    return false;
}

void RateShare::linkUp(const std::string& peer, MonotonicTime /* now */)
{
    // What the peer's side summed up to counts on until its first heartbeat, at most for `keepLostLink`.
    auto found = m_links.find(peer);
    if (found == m_links.end()) {
        m_links.emplace(peer, freshState());
        return;
    }
    found->second.sent.assign(m_shares.size(), {});
    found->second.sending = false;
    found->second.lostAt.reset();
}

void RateShare::linkDown(const std::string& peer, MonotonicTime now)
{
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    if (found->second.tree)
        found->second.lostAt = now;
    else
        m_links.erase(found);
}

} // namespace briarwharf
