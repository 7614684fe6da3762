#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace briarwharf {

// Splits a server-sent event stream into events, however the bytes were cut in transit.
//
//   EventStreamParser parser(1 << 20, [](std::string_view data) { ... });
//   if (!parser.feed(bytes))
//       ...an event exceeds the bound
class EventStreamParser {
public:
    // `maxEventBytes` bounds the memory for one event. The callback gets the event's data lines, joined by
    // line feeds; comments and other fields are dropped.
    EventStreamParser(std::size_t maxEventBytes, std::function<void(std::string_view data)> onEvent);

    // False when an event exceeds the bound; the stream cannot be used any further.
    bool feed(std::string_view bytes);

    // True between events: nothing of an unfinished event is held.
    bool isAtBoundary() const { return m_line.empty() && m_data.empty(); }

private:
    void takeLine();

    std::size_t m_maxEventBytes;
    std::function<void(std::string_view)> m_onEvent;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace briarwharf
