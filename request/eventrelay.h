#pragma once

#include "base/error.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

// Passes on a stream of events whole: an event that breaks off in the middle is never passed, and events that
// carry numbers must follow each other, also when another upstream continues the stream.
//
//   EventRelay relay(lastEventOfCaller);
//   std::string out;
//   if (!relay.feed(bytes, out)) ...the stream is broken
//   caller.write(out);
//   relay.restart();      // before the bytes of the next upstream
class EventRelay {
public:
    // `after`: the last event that the caller has from an earlier request.
    explicit EventRelay(std::optional<std::uint64_t> after = std::nullopt);

    // Appends the bytes of whole events. Errors: Corrupt (a gap), TooLarge (an event over the bound).
    Status feed(std::string_view bytes, std::string& out);

    // Drops an unfinished event; the next bytes continue after the last whole one.
    void restart() { m_partial.clear(); }

    bool isAtBoundary() const { return m_partial.empty(); }

    // The number of the last event that was passed on, or that the caller had before.
    std::optional<std::uint64_t> lastEventNumber() const { return m_last; }
    std::uint64_t eventCount() const { return m_events; }

private:
    Status take(std::string_view event, std::string& out);

    std::optional<std::uint64_t> m_last;
    std::uint64_t m_events = 0;
    std::string m_partial;
};

} // namespace briarwharf
