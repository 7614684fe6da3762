#pragma once

#include "base/error.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

// Forwards a stream of events in complete events: an event that breaks off in the middle is never forwarded.
// Events that carry numbers must be consecutive, also when another upstream continues the stream.
//
//   EventRelay relay(lastEventOfCaller);
//   std::string out;
//   if (!relay.feed(bytes, out)) ...the stream is broken
//   caller.write(out);
//   relay.restart();      // before the bytes of the next upstream
class EventRelay {
public:
    // `after`: the number of the last event that the caller received in an earlier request.
    explicit EventRelay(std::optional<std::uint64_t> after = std::nullopt);

    // Appends the bytes of complete events to `out`. Errors: Corrupt (a gap in the event numbers, or
    // data with another number than the next one, or none, after a restart), TooLarge (an event exceeds the
    // size limit).
    Status feed(std::string_view bytes, std::string& out);

    // Drops an incomplete event. The bytes that follow must continue after the last complete event: a stream
    // whose first number is another one is a stream of its own.
    void restart();

    bool isAtBoundary() const { return m_incompleteEvent.empty(); }
    std::size_t incompleteBytes() const { return m_incompleteEvent.size(); }

    // Whether another upstream can be told where to continue: the data that was forwarded has numbers.
    bool canContinue() const { return !m_dataWithoutNumber; }

    // The number of the last event that was forwarded, or that the caller had before.
    std::optional<std::uint64_t> lastEventNumber() const { return m_lastNumber; }
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    Status forwardEvent(std::string_view event, std::string& out);

    std::optional<std::uint64_t> m_lastNumber;
    std::uint64_t m_eventCount = 0;
    std::string m_incompleteEvent;
    bool m_restarted = false; // and no event with a number has followed
    bool m_dataWithoutNumber = false; // an event with data but without a number was forwarded
    std::size_t m_searched = 0; // bytes of m_incompleteEvent in which no end of the event begins
};

} // namespace briarwharf
