#include "request/eventrelay.h"

#include "base/number.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::size_t maxEventBytes = 1024 * 1024;

    // Length of the longest end of an event that may be split between two pieces: a line end and "\r".
    constexpr std::size_t maxSplitEnd = 2;

    // Length of the first event, including the empty line that ends it; 0 if the event is incomplete. The
    // event is known not to end with a line that begins before `searched`.
    std::size_t eventLength(std::string_view bytes, std::size_t searched)
    {
        for (std::size_t end = bytes.find('\n', searched); end != std::string_view::npos;
             end = bytes.find('\n', end + 1)) {
            if (end + 1 < bytes.size() && bytes[end + 1] == '\n')
                return end + 2;
            if (end + 2 < bytes.size() && bytes[end + 1] == '\r' && bytes[end + 2] == '\n')
                return end + 3;
        }
        return 0;
    }

    // The value of the event's first line that begins with `field`, such as "id:"; nullopt without one.
    std::optional<std::string_view> findField(std::string_view event, std::string_view field)
    {
        while (!event.empty()) {
            std::size_t end = event.find('\n');
            std::string_view line = event.substr(0, end);
            event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
            if (line.substr(0, field.size()) != field)
                continue;
            line.remove_prefix(field.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
                line.remove_suffix(1);
            return line;
        }
        return std::nullopt;
    }

} // namespace

EventRelay::EventRelay(std::optional<std::uint64_t> after)
    : m_lastNumber(after)
{
}

Status EventRelay::feed(std::string_view bytes, std::string& out)
{
    m_incompleteEvent += bytes;
    std::string_view rest = m_incompleteEvent;
    std::size_t length = eventLength(rest, m_searched);
    while (length > 0) {
        Status forwarded = forwardEvent(rest.substr(0, length), out);
        if (!forwarded)
            return forwarded;
        rest.remove_prefix(length);
        length = eventLength(rest, 0);
    }
    if (rest.size() > maxEventBytes)
        return Error { ErrorKind::TooLarge, "an event of the stream exceeds 1 MiB: the upstream is faulty" };
    m_searched = rest.size() - std::min(rest.size(), maxSplitEnd);
    m_incompleteEvent.erase(0, m_incompleteEvent.size() - rest.size());
    return ok();
}

void EventRelay::restart()
{
    m_incompleteEvent = {}; // also frees the memory
    m_searched = 0;
    m_restarted = true;
}

Status EventRelay::forwardEvent(std::string_view event, std::string& out)
{
    auto number = parseNumber<std::uint64_t>(findField(event, "id:").value_or(std::string_view()));
    if (number && m_lastNumber) {
        if (*number <= *m_lastNumber && !m_restarted)
            return ok(); // the caller already has this event
        if (*number != *m_lastNumber + 1)
            return Error { ErrorKind::Corrupt,
                "the stream skips from event " + std::to_string(*m_lastNumber) + " to "
                    + std::to_string(*number) + ": resume at another upstream" };
    }
    bool dataWithoutNumber = !number && findField(event, "data:");
    if (dataWithoutNumber && m_restarted && m_lastNumber)
        return Error { ErrorKind::Corrupt,
            "the continued stream begins with data without a number: resume at another upstream" };
    m_dataWithoutNumber = m_dataWithoutNumber || dataWithoutNumber;
    if (number) {
        m_lastNumber = number;
        m_restarted = false;
    }
    ++m_eventCount;
    out += event;
    return ok();
}

} // namespace briarwharf
