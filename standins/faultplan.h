#pragma once

#include "base/base.h"
#include <cstdint>
#include <optional>

namespace briarwharf {

// What goes wrong with one call to a stand-in.
struct FaultPlan {
    Milliseconds delay { 0 }; // before the call is handled
    std::optional<std::size_t> silentAfter; // chunks of a stream; then nothing on an open connection
    std::optional<std::size_t> truncateAfter; // chunks of a stream, or half of a whole answer; then it is cut
    bool crossed = false; // answers with another request's identifier and content
    // Chunks of a stream with the own identifier; later ones carry another's. A whole answer has the own
    // identifier in its header and another's in its body.
    std::optional<std::size_t> crossedAfter;
    bool refuse = false; // 503 with X-Not-Run: true, and does not run
    bool close = false; // runs, then closes without an answer
    bool silent = false; // runs, then never answers
    bool unframed = false; // an answer that only the closing connection ends, and cut short
    std::optional<int> status; // answers with this status and does not run
};

// The fault in force for new calls, as POST /faults set it.
class FaultInjector {
public:
    // {"delay_ms", "silent_after", "truncate_after", "crossed", "crossed_after", "refuse", "close", "silent",
    // "unframed", "status", "count": calls affected, all if absent}; replaces what was set before, {} ends
    // it.
    Status set(const Json&);

    // The plan for the next call; counts down.
    FaultPlan take();

private:
    FaultPlan m_plan;
    std::int64_t m_remaining = 0; // -1: without end
};

} // namespace briarwharf
