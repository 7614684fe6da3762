#include "coordination/recentanswers.h"

#include <algorithm>

namespace briarwharf {

void RecentAnswers::add(std::uint64_t segment, MonotonicTime began)
{
    auto found = m_answers.find(segment);
    if (found != m_answers.end()) {
        found->second.began = std::max(found->second.began, began);
        m_order.splice(m_order.end(), m_order, found->second.position);
        return;
    }
    if (m_answers.size() >= m_options.maxSegments) {
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
    m_answers.emplace(segment, Answer { began, m_order.insert(m_order.end(), segment) });
}

void RecentAnswers::expire(MonotonicTime now)
{
    while (!m_order.empty()) {
        auto oldest = m_answers.find(m_order.front());
        if (now - oldest->second.began <= m_options.retention)
            return;
        m_answers.erase(oldest);
        m_order.pop_front();
    }
}

std::optional<MonotonicTime> RecentAnswers::latest(std::uint64_t segment) const
{
    auto found = m_answers.find(segment);
    if (found == m_answers.end())
        return std::nullopt;
    return found->second.began;
}

} // namespace briarwharf
