#pragma once

#include <cstdint>
#include <optional>

namespace briarwharf {

// The place of a report that an upstream wrote about itself among all its reports. The registry's revisions
// do not give this order: a write whose answer was lost may be carried out seconds later, over newer ones.
struct ReportOrder {
    std::int64_t started = 0; // start of the upstream's lifetime, Unix milliseconds; 0: not stated
    std::optional<std::uint64_t> sequence; // counts the reports of the lifetime

    bool operator==(const ReportOrder&) const = default;
};

// Whether the upstream wrote the first report before the second one. An upstream that states its start states
// it always, so a report without it is the earlier one. False also if the order cannot be told.
bool precedes(const ReportOrder& first, const ReportOrder& second);

} // namespace briarwharf
