#pragma once

#include "connection/httpmessage.h"
#include "request/partmemory.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// The segments that a caller lists in its header field as "id:tokens,...", with hexadecimal ids.
struct PromptSegments {
    // Not limited in number but by the size of a head: an entry needs four bytes of it, and 16 bytes here.
    std::vector<PromptSegment> segments;
    std::size_t malformed = 0; // entries without a hexadecimal id or a number of tokens
};

// The 64 bits that stand for a segment's identifier of any length. Identifiers that are equal as numbers are
// equal here; up to 64 bits it is the number itself, and beyond that a hash of it. Returns nullopt if the
// text is not hexadecimal.
std::optional<std::uint64_t> parseSegmentId(std::string_view);

// Reads all fields with the name, in their order. A malformed entry is left out; if it is the last one, an
// entry without tokens takes its place, because the last segment belongs to the request alone and the one
// before it does not.
PromptSegments readPromptSegments(const HttpFields&, std::string_view name);

// The segments' ids as hexadecimal numbers, separated by commas, for logs: the first ones, and how many
// follow.
std::string printSegments(std::span<const PromptSegment>);

} // namespace briarwharf
