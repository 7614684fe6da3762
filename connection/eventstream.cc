#include "connection/eventstream.h"

#include <utility>

namespace briarwharf {

EventStreamParser::EventStreamParser(std::size_t maxEventBytes, std::function<void(std::string_view)> onEvent)
    : m_maxEventBytes(maxEventBytes)
    , m_onEvent(std::move(onEvent))
{
}

bool EventStreamParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        std::size_t end = bytes.find('\n');
        std::string_view fragment = bytes.substr(0, end);
        if (m_line.size() + m_data.size() + fragment.size() > m_maxEventBytes)
            return false;
        m_line.append(fragment);
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        processLine();
    }
    return true;
}

void EventStreamParser::processLine()
{
    if (!m_line.empty() && m_line.back() == '\r')
        m_line.pop_back();
    std::string line = std::move(m_line);
    m_line.clear();
    if (line.empty()) {
        if (m_hasData) {
            std::string data = std::move(m_data);
            m_data.clear();
            m_hasData = false;
            m_onEvent(data);
        }
        return;
    }
    constexpr std::string_view field = "data:";
    if (line.compare(0, field.size(), field) != 0)
        return;
    std::size_t start = field.size();
    if (start < line.size() && line[start] == ' ')
        ++start;
    if (m_hasData)
        m_data += '\n';
    m_hasData = true;
    m_data.append(line, start);
}

} // namespace briarwharf
