#pragma once

#include "base/base.h"
#include <cstdint>
#include <optional>

namespace briarwharf {

// The faults that a stand-in applies to one call.
struct FaultPlan {
    Milliseconds delay { 0 }; // wait before the call is handled
    // After this many chunks of a stream, sends nothing more but keeps the connection open. A whole answer is
    // not sent at all.
    std::optional<std::size_t> silentAfter;
    // Closes the connection after this many chunks of a stream, or after half of a whole answer.
    std::optional<std::size_t> truncateAfter;
    bool crossed = false; // answers with another request's identifier and text
    // Number of stream chunks that carry the right identifier; later chunks carry a foreign one. A whole
    // answer carries the right identifier in its header and a foreign one in its body.
    std::optional<std::size_t> crossedAfter;
    bool refuse = false; // answers 503 with X-Not-Run: true; the call does not run
    bool close = false; // runs the call, then closes the connection without an answer
    bool silent = false; // runs the call, but never answers
    // Sends the first half of a whole answer without Content-Length, then closes the connection.
    bool unframed = false;
    std::optional<int> status; // answers with this status; the call does not run
};

// Holds the faults that POST /faults set, and applies them to new calls.
class FaultInjector {
public:
    // Reads {"delay_ms", "silent_after", "truncate_after", "crossed", "crossed_after", "refuse", "close",
    // "silent", "unframed", "status", "count"}. "count" is the number of calls affected; all calls if absent.
    // Replaces the faults set before; {} ends them. Errors: InvalidArgument.
    Status set(const Json&);

    // Returns the faults of the next call and counts it.
    FaultPlan takePlan();

private:
    FaultPlan m_plan;
    std::int64_t m_remaining = 0; // calls still to be affected; -1: no limit
};

} // namespace briarwharf
