#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace briarwharf {

// Parses a server-sent event stream into events. The input may be split at any byte.
//
//   EventStreamParser parser(1 << 20, [](std::string_view data) { ... });
//   if (!parser.feed(bytes))
//       ... // an event exceeds the limit
class EventStreamParser {
public:
    // `maxEventBytes` limits the memory for one event. The callback receives the event's data lines, joined
    // by line feeds; comments and other fields are dropped.
    EventStreamParser(std::size_t maxEventBytes, std::function<void(std::string_view data)> onEvent);

    // Returns false if an event exceeds the limit; the parser must not be used afterwards.
    bool feed(std::string_view bytes);

    // True between events: no bytes of an unfinished event are buffered.
    bool isAtBoundary() const { return m_line.empty() && m_data.empty(); }

private:
    void processLine();

    std::size_t m_maxEventBytes;
    std::function<void(std::string_view)> m_onEvent;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace briarwharf
