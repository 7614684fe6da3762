#include "coordination/loadtable.h"

#include "base/hash.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace briarwharf {

namespace {

    constexpr std::uint8_t servingFlag = 1;
    constexpr std::uint8_t reachableFlag = 2;
    constexpr std::uint8_t flagBits = 2;
    constexpr std::uint8_t flagMask = 3;
    constexpr Milliseconds ageUnit { 500 };
    constexpr std::uint8_t maxAgeUnits = 63;

    // Sequence numbers have 8 bits and are compared modulo 2^8, which recognises a newer report if there are
    // fewer than 127 until an entry expires. Reports without a change of flags are at least this far apart:
    // at most 120 in 60 s.
    constexpr Milliseconds minReportInterval { 500 };

    constexpr unsigned mantissaBits = 12;

    // Encodes 12 significant bits and a 4-bit exponent; rounds down.
    std::uint16_t packTokens(std::uint32_t tokens)
    {
        constexpr unsigned maxExponent = 15;
        unsigned exponent = 0;
        while ((tokens >> exponent) >= (1U << mantissaBits) && exponent < maxExponent)
            ++exponent;
        std::uint32_t mantissa = std::min(tokens >> exponent, (1U << mantissaBits) - 1);
        return static_cast<std::uint16_t>((exponent << mantissaBits) | mantissa);
    }

    std::uint32_t unpackTokens(std::uint16_t packed)
    {
        std::uint32_t mantissa = packed & ((1U << mantissaBits) - 1);
        return mantissa << (packed >> mantissaBits);
    }

    // Priorities: an entry is sent when its priority is 1 or more. The contribution of a change is bounded by
    // this, so that a waiting entry overtakes any changing one after a bounded number of refresh intervals.
    constexpr double maxChangePriority = 4;
    constexpr double newEntryPriority = 4;
    constexpr double flagPriority = 8;

    double inUnits(std::chrono::nanoseconds duration, Milliseconds unit)
    {
        return std::chrono::duration<double>(duration) / std::chrono::duration<double>(unit);
    }

} // namespace

std::uint32_t nameHash(std::string_view name) { return static_cast<std::uint32_t>(hash64(name) >> 32); }

LoadTable::LoadTable(const Membership& membership, LoadTableOptions options)
    : m_membership(membership)
    , m_options(options)
{
}

void LoadTable::setUpstreams(const std::vector<std::uint32_t>& upstreams)
{
    std::unordered_map<std::uint32_t, std::size_t> indexes;
    std::vector<Entry> entries;
    std::vector<std::size_t> sources; // previous index, or the previous size for a new upstream
    std::vector<std::uint32_t> kept;
    for (std::uint32_t upstream : upstreams) {
        if (!indexes.emplace(upstream, entries.size()).second)
            continue;
        auto known = m_indexes.find(upstream);
        sources.push_back(known == m_indexes.end() ? m_entries.size() : known->second);
        entries.push_back(known == m_indexes.end() ? Entry {} : m_entries[known->second]);
        kept.push_back(upstream);
    }
    for (auto& [peer, state] : m_links) {
        std::vector<Sent> sent(entries.size());
        for (std::size_t i = 0; i < entries.size(); ++i)
            if (sources[i] < state.sent.size())
                sent[i] = state.sent[sources[i]];
        state.sent = std::move(sent);
    }
    m_indexes = std::move(indexes);
    m_entries = std::move(entries);
    m_upstreams = std::move(kept);
    m_ownedEpoch = ~m_membership.epoch();
}

void LoadTable::updateOwned() const
{
    if (m_ownedEpoch == m_membership.epoch())
        return;
    m_ownedEpoch = m_membership.epoch();
    m_owned.clear();
    m_isOwned.assign(m_upstreams.size(), false);
    const std::vector<std::string>& instances = m_membership.usable();
    std::vector<std::uint64_t> hashes;
    hashes.reserve(instances.size());
    for (const std::string& id : instances)
        hashes.push_back(hash64(id));
    double mean = static_cast<double>(m_upstreams.size()) / static_cast<double>(instances.size());
    auto maxOwned = static_cast<std::size_t>(std::ceil(mean * m_options.maxOwnedRatio));
    std::vector<std::size_t> ownedCounts(instances.size(), 0);
    // Assigned in order of the hashes, so that the result does not depend on the order in the configuration.
    std::vector<std::size_t> order(m_upstreams.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
        [this](std::size_t left, std::size_t right) { return m_upstreams[left] < m_upstreams[right]; });
    for (std::size_t i : order) {
        std::size_t best = instances.size();
        std::uint64_t bestScore = 0;
        for (std::size_t k = 0; k < instances.size(); ++k) {
            std::uint64_t score = combineHashes(m_upstreams[i], hashes[k]);
            if (ownedCounts[k] >= maxOwned || (best < instances.size() && score <= bestScore))
                continue;
            best = k;
            bestScore = score;
        }
        ++ownedCounts[best];
        if (m_membership.leaving() || instances[best] != m_membership.self().id)
            continue;
        m_owned.push_back(m_upstreams[i]);
        m_isOwned[i] = true;
    }
}

const std::vector<std::uint32_t>& LoadTable::owned() const
{
    updateOwned();
    return m_owned;
}

void LoadTable::report(
    std::uint32_t upstream, std::uint32_t tokens, bool serving, bool reachable, MonotonicTime now)
{
    updateOwned();
    auto index = m_indexes.find(upstream);
    if (index == m_indexes.end() || !m_isOwned[index->second])
        return;
    Entry& entry = m_entries[index->second];
    auto flags = static_cast<std::uint8_t>((serving ? servingFlag : 0) | (reachable ? reachableFlag : 0));
    bool changed = entry.known && entry.flags != flags;
    if (entry.known && !changed && now - entry.polledAt < minReportInterval)
        return;
    if (changed)
        markFlagsChanged({});
    entry.known = true;
    entry.tokens = tokens;
    entry.flags = flags;
    entry.polledAt = now;
    ++entry.sequence;
}

std::optional<UpstreamLoad> LoadTable::load(std::uint32_t upstream, MonotonicTime now) const
{
    auto index = m_indexes.find(upstream);
    if (index == m_indexes.end())
        return std::nullopt;
    const Entry& entry = m_entries[index->second];
    if (!entry.known || now - entry.polledAt > m_options.expireAfter)
        return std::nullopt;
    UpstreamLoad load;
    load.tokens = entry.tokens;
    load.age = toMilliseconds(now - entry.polledAt);
    load.serving = (entry.flags & servingFlag) != 0;
    load.reachable = (entry.flags & reachableFlag) != 0;
    return load;
}

// An expired entry is replaced regardless of the sequence number: its owner may have restarted with a low
// one.
bool LoadTable::isNewer(const Entry& entry, std::uint8_t sequence, MonotonicTime now) const
{
    bool expired = now - entry.polledAt > m_options.expireAfter;
    auto difference = static_cast<std::int8_t>(static_cast<std::uint8_t>(sequence - entry.sequence));
    return !entry.known || expired || difference > 0;
}

double LoadTable::priority(const Entry& entry, const Sent& sent, MonotonicTime now) const
{
    double waited = inUnits(now - sent.at, m_options.refreshInterval);
    if (!sent.peerKnows)
        return newEntryPriority + waited;
    if (sent.sequence == entry.sequence)
        return 0;
    double difference = std::abs(static_cast<double>(entry.tokens) - static_cast<double>(sent.tokens));
    double significant = std::max<double>(
        m_options.significantTokens, m_options.significantChange * static_cast<double>(sent.tokens));
    double priority = std::min(difference / significant, maxChangePriority);
    priority += waited;
    return entry.flags == sent.flags ? priority : priority + flagPriority;
}

LoadReport LoadTable::toReport(std::size_t index, MonotonicTime now) const
{
    const Entry& entry = m_entries[index];
    auto units = static_cast<std::int64_t>(std::ceil(inUnits(now - entry.polledAt, ageUnit)));
    auto age = static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, maxAgeUnits));
    auto state = static_cast<std::uint8_t>((age << flagBits) | entry.flags);
    return { m_upstreams[index], packTokens(entry.tokens), entry.sequence, state };
}

void LoadTable::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    LinkState& state = m_links[link.peer];
    state.sent.resize(m_entries.size());
    if (!link.isTreeLink)
        return;
    state.flagsChanged = false;
    std::vector<std::pair<double, std::size_t>> waiting;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = m_entries[i];
        if (!entry.known || now - entry.polledAt > m_options.expireAfter)
            continue;
        Sent& sent = state.sent[i];
        if (!sent.peerKnows && sent.at == MonotonicTime())
            sent.at = now; // its waiting time starts now
        double value = priority(entry, sent, now);
        if (value >= 1)
            waiting.emplace_back(value, i);
    }
    std::size_t links = std::max<std::size_t>(link.treeLinks, 1);
    double rate = m_options.bytesPerSecond / static_cast<double>(links);
    std::size_t maxReports = state.budget.available(rate, now) / sizeof(LoadReport);
    if (waiting.size() > maxReports) {
        auto middle = waiting.begin() + static_cast<std::ptrdiff_t>(maxReports);
        std::nth_element(waiting.begin(), middle, waiting.end(), std::greater<>());
        waiting.resize(maxReports);
    }
    state.budget.spend(waiting.size() * sizeof(LoadReport));
    for (const auto& [value, index] : waiting) {
        const Entry& entry = m_entries[index];
        heartbeat.loadReports.push_back(toReport(index, now));
        state.sent[index] = { entry.tokens, entry.sequence, entry.flags, true, now };
    }
}

void LoadTable::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    LinkState& state = m_links[link.peer];
    state.sent.resize(m_entries.size());
    for (const LoadReport& report : heartbeat.loadReports) {
        auto index = m_indexes.find(report.upstream());
        auto age = static_cast<std::uint8_t>(report.state() >> flagBits);
        auto flags = static_cast<std::uint8_t>(report.state() & flagMask);
        std::uint32_t tokens = unpackTokens(report.tokens());
        if (index == m_indexes.end() || age == maxAgeUnits)
            continue;
        Entry& entry = m_entries[index->second];
        state.sent[index->second] = { tokens, report.sequence(), flags, true, now };
        if (!isNewer(entry, report.sequence(), now))
            continue;
        if (entry.known && entry.flags != flags)
            markFlagsChanged(link.peer);
        entry.known = true;
        entry.tokens = tokens;
        entry.sequence = report.sequence();
        entry.flags = flags;
        entry.polledAt = now - ageUnit * age - link.maxTransit.value_or(Milliseconds(0));
    }
}

void LoadTable::markFlagsChanged(const std::string& source)
{
    for (auto& [peer, state] : m_links)
        if (peer != source)
            state.flagsChanged = true;
}

bool LoadTable::urgent(const LinkView& link, MonotonicTime /* now */) const
{
    auto state = m_links.find(link.peer);
    return link.isTreeLink && state != m_links.end() && state->second.flagsChanged;
}

void LoadTable::linkUp(const std::string& peer, MonotonicTime /* now */) { m_links[peer] = {}; }

void LoadTable::linkDown(const std::string& peer, MonotonicTime /* now */) { m_links.erase(peer); }

} // namespace briarwharf
