#include "base/logtrace.h"

#include "base/json.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

LogTrace::LogTrace(std::string id)
    : m_id(std::move(id))
{
}

void LogTrace::read(std::istream& stream, const std::string& origin)
{
    for (std::string line; std::getline(stream, line);) {
        std::size_t start = line.find('{');
        // Most lines are about other requests. This search avoids parsing them, which would take most of the
        // time.
        if (start == std::string::npos || line.find(m_id, start) == std::string::npos)
            continue;
        std::string text = line.substr(start);
        auto parsed = parseJson(text, "log line");
        if (!parsed || stringField(parsed.value(), "id") != m_id)
            continue;
        m_lines.push_back({ stringField(parsed.value(), "time").value_or(""), origin, std::move(text) });
    }
}

std::vector<TracedLine> LogTrace::lines() const
{
    std::vector<TracedLine> sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(),
        [](const TracedLine& left, const TracedLine& right) { return left.time < right.time; });
    return sorted;
}

} // namespace briarwharf
