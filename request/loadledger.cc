#include "request/loadledger.h"

#include <algorithm>
#include <cmath>

namespace briarwharf {

namespace {

    // Successive reports that are closer together reflect single requests more than the growth.
    constexpr Milliseconds minGrowthInterval { 200 };

    // Output sizes are averaged over about 200 requests.
    constexpr double outputDecay = 0.995;

    // The growth is averaged over about this many reports of each upstream.
    constexpr double growthReportsPerUpstream = 2;

    double seconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

void LoadLedger::sent(UpstreamId upstream, std::int64_t tokens, MonotonicTime now, std::int64_t outputTokens)
{
    Entry& entry = entryOf(upstream);
    ++entry.requests;
    auto output = static_cast<double>(std::max<std::int64_t>(0, outputTokens));
    double outputWeight = static_cast<double>(tokens) * output;
    m_outputWeightSum = m_outputWeightSum * outputDecay + outputWeight;
    m_weightedOutputSum = m_weightedOutputSum * outputDecay + outputWeight * output;
    entry.tokens += tokens;
    entry.local.add(tokens, now);
}

void LoadLedger::finished(UpstreamId upstream, std::int64_t tokens, MonotonicTime now)
{
    auto found = m_index.find(upstream);
    if (found == m_index.end() || m_entries[found->second].requests == 0)
        return;
    Entry& entry = m_entries[found->second];
    --entry.requests;
    entry.tokens -= tokens;
    entry.local.add(-tokens, now);
}

void LoadLedger::report(UpstreamId upstream, std::int64_t tokens, MonotonicTime measuredAt)
{
    Entry& entry = entryOf(upstream);
    if (entry.reported && measuredAt <= entry.measuredAt)
        return;
    if (entry.reported)
        updatePeerGrowth(entry, tokens, measuredAt);
    entry.reported = true;
    entry.reportedTokens = std::max<std::int64_t>(0, tokens);
    entry.measuredAt = measuredAt;
}

void LoadLedger::peerChanged(UpstreamId upstream, std::int64_t tokens, MonotonicTime at)
{
    entryOf(upstream).peers.add(tokens, at);
}

void LoadLedger::fill(std::span<UpstreamView> views, MonotonicTime now) const
{
    for (std::size_t index = 0; index < views.size(); ++index) {
        UpstreamView& view = views[index];
        view.reportAge.reset();
        view.reportedTokens = view.localTokens = view.localTokensSinceReport = view.peerTokensSinceReport = 0;
        view.localRequests = 0;
        if (const Entry* entry = find(view.id, index))
            fillFrom(*entry, now, view);
    }
}

std::int64_t LoadLedger::typicalOutputTokens() const
{
    return m_outputWeightSum > 0 ? std::llround(m_weightedOutputSum / m_outputWeightSum) : 0;
}

void LoadLedger::removeUpstream(UpstreamId upstream)
{
    auto found = m_index.find(upstream);
    if (found == m_index.end())
        return;
    std::size_t index = found->second;
    m_index.erase(found);
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
    for (auto& [id, position] : m_index)
        position -= position > index ? 1 : 0;
}

LoadLedger::Entry& LoadLedger::entryOf(UpstreamId upstream)
{
    auto [found, added] = m_index.try_emplace(upstream, m_entries.size());
    if (added)
        m_entries.emplace_back().id = upstream;
    return m_entries[found->second];
}

const LoadLedger::Entry* LoadLedger::find(UpstreamId upstream, std::size_t expectedIndex) const
{
    if (expectedIndex < m_entries.size() && m_entries[expectedIndex].id == upstream)
        return &m_entries[expectedIndex];
    auto found = m_index.find(upstream);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

void LoadLedger::fillFrom(const Entry& entry, MonotonicTime now, UpstreamView& view) const
{
    view.localTokens = entry.tokens;
    view.localRequests = entry.requests;
    if (!entry.reported)
        return;
    auto age = std::max(MonotonicTime::duration::zero(), now - entry.measuredAt);
    view.reportAge = toMilliseconds(age);
    view.reportedTokens = entry.reportedTokens;
    view.localTokensSinceReport = entry.local.since(entry.measuredAt);
    std::int64_t peers = entry.peers.since(entry.measuredAt) + std::llround(peerGrowth() * seconds(age));
    view.peerTokensSinceReport = std::clamp(peers, -entry.reportedTokens, entry.reportedTokens);
}

std::int64_t LoadLedger::slotOf(MonotonicTime time)
{
    return time.time_since_epoch() / std::chrono::nanoseconds(bucketLength);
}

void LoadLedger::Changes::add(std::int64_t tokens, MonotonicTime at)
{
    std::int64_t slot = slotOf(at);
    if (!m_buckets.empty() && m_buckets.back().slot >= slot) {
        m_buckets.back().tokens += tokens;
        return;
    }
    if (m_buckets.size() >= maxBuckets)
        m_buckets.erase(m_buckets.begin(), m_buckets.begin() + maxBuckets / 2);
    m_buckets.push_back({ slot, tokens });
    m_lastSlot = slot;
}

std::int64_t LoadLedger::Changes::since(MonotonicTime time) const
{
    // The slot that contains `time` counts if more than half of it lies after `time`.
    std::int64_t firstSlot = slotOf(time + bucketLength / 2);
    std::int64_t sum = 0;
    if (m_lastSlot < firstSlot)
        return sum;
    for (auto bucket = m_buckets.rbegin(); bucket != m_buckets.rend() && bucket->slot >= firstSlot; ++bucket)
        sum += bucket->tokens;
    return sum;
}

void LoadLedger::updatePeerGrowth(const Entry& entry, std::int64_t tokens, MonotonicTime measuredAt)
{
    auto interval = measuredAt - entry.measuredAt;
    if (interval < minGrowthInterval)
        return;
    std::int64_t knownChange = entry.local.since(entry.measuredAt) - entry.local.since(measuredAt)
        + entry.peers.since(entry.measuredAt) - entry.peers.since(measuredAt);
    double decay = 1 - 1 / (1 + growthReportsPerUpstream * static_cast<double>(m_entries.size()));
    m_grownTokens = m_grownTokens * decay + static_cast<double>(tokens - entry.reportedTokens - knownChange);
    m_grownSeconds = m_grownSeconds * decay + seconds(interval);
}

double LoadLedger::peerGrowth() const { return m_grownSeconds > 0 ? m_grownTokens / m_grownSeconds : 0; }

} // namespace briarwharf
