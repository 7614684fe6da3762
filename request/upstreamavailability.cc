#include "request/upstreamavailability.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace briarwharf {

UpstreamAvailability::UpstreamAvailability(UpstreamAvailabilityOptions options)
    : m_options(options)
{
}

bool UpstreamAvailability::setLeaving(std::uint32_t upstream)
{
    return !std::exchange(m_statements[upstream].leaving, true);
}

bool UpstreamAvailability::isLeaving(std::uint32_t upstream) const
{
    auto found = m_statements.find(upstream);
    return found != m_statements.end() && found->second.leaving;
}

bool UpstreamAvailability::setStale(std::uint32_t upstream)
{
    return !std::exchange(m_statements[upstream].stale, true);
}

bool UpstreamAvailability::isStale(std::uint32_t upstream) const
{
    auto found = m_statements.find(upstream);
    return found != m_statements.end() && found->second.stale;
}

void UpstreamAvailability::setMoved(std::uint32_t upstream)
{
    auto found = m_statements.find(upstream);
    if (found != m_statements.end())
        found->second.stale = false;
}

bool UpstreamAvailability::pause(std::uint32_t upstream, Milliseconds duration, MonotonicTime now)
{
    if (duration <= Milliseconds(0))
        return false;
    MonotonicTime end = now + std::min(duration, m_options.maxPause);
    MonotonicTime& pausedUntil = m_statements[upstream].pausedUntil;
    bool isNews = pausedUntil <= now || end - pausedUntil >= m_options.significantChange;
    pausedUntil = std::max(pausedUntil, end);
    return isNews;
}

bool UpstreamAvailability::isPaused(std::uint32_t upstream, MonotonicTime now) const
{
    return pauseLeft(upstream, now) > Milliseconds(0);
}

Milliseconds UpstreamAvailability::pauseLeft(std::uint32_t upstream, MonotonicTime now) const
{
    auto found = m_statements.find(upstream);
    if (found == m_statements.end() || found->second.pausedUntil <= now)
        return Milliseconds(0);
    return std::chrono::ceil<Milliseconds>(found->second.pausedUntil - now);
}

void UpstreamAvailability::setUpstreams(std::span<const std::uint32_t> upstreams, MonotonicTime now)
{
    if (m_statements.empty())
        return;
    std::unordered_set<std::uint32_t> listed(upstreams.begin(), upstreams.end());
    std::erase_if(m_statements, [&](const auto& entry) {
        const auto& since = entry.second.unlistedSince;
        return since && now - *since >= m_options.retention;
    });
    for (auto& [upstream, statement] : m_statements) {
        if (listed.contains(upstream))
            statement.unlistedSince.reset();
        else if (!statement.unlistedSince)
            statement.unlistedSince = now;
    }
}

std::size_t UpstreamAvailability::leavingUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(m_statements.begin(), m_statements.end(),
        [](const auto& entry) { return entry.second.leaving && !entry.second.unlistedSince; }));
}

std::size_t UpstreamAvailability::staleUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(m_statements.begin(), m_statements.end(),
        [](const auto& entry) { return entry.second.stale && !entry.second.unlistedSince; }));
}

std::size_t UpstreamAvailability::pausedUpstreams(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_statements.begin(), m_statements.end(),
        [now](const auto& entry) { return entry.second.pausedUntil > now && !entry.second.unlistedSince; }));
}

} // namespace briarwharf
