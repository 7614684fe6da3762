#include "process/promptsegments.h"

#include "base/hash.h"
#include "base/number.h"
#include "process/forwardheaders.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::size_t maxShortDigits = 16; // of an identifier of 64 bits
    // Far above any prompt, and low enough that sums of segments stay within 64 bits.
    constexpr std::int64_t maxSegmentTokens = 1'000'000'000'000;
    constexpr std::size_t maxPrintedSegments = 32;

    bool isHexDigit(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
            || (character >= 'A' && character <= 'F');
    }

    char lowerHexDigit(char digit)
    {
        return digit >= 'A' && digit <= 'F' ? static_cast<char>(digit - 'A' + 'a') : digit;
    }

    std::optional<PromptSegment> parseSegment(std::string_view entry)
    {
        auto id = parseSegmentId(takeUntil(entry, ':'));
        auto tokens = parseNumber<std::int64_t>(trimmed(entry));
        if (!id || !tokens || *tokens < 0 || *tokens > maxSegmentTokens)
            return std::nullopt;
        return PromptSegment { *id, *tokens };
    }

} // namespace

std::optional<std::uint64_t> parseSegmentId(std::string_view text)
{
    if (text.empty() || !std::all_of(text.begin(), text.end(), isHexDigit))
        return std::nullopt;
    std::string_view digits = text.substr(std::min(text.find_first_not_of('0'), text.size()));
    if (digits.size() <= maxShortDigits)
        return digits.empty() ? 0 : parseNumber<std::uint64_t>(digits, 16);
    std::string canonical(digits);
    std::transform(canonical.begin(), canonical.end(), canonical.begin(), lowerHexDigit);
    return hash64(canonical);
}

PromptSegments readPromptSegments(const HttpFields& fields, std::string_view name)
{
    PromptSegments result;
    std::string_view malformedLast;
    for (std::size_t index = 0; !name.empty() && index < fields.size(); ++index) {
        HttpFields::Field field = fields.at(index);
        if (!equalHeaderNames(field.name, name))
            continue;
        while (!field.value.empty()) {
            std::string_view entry = takeUntil(field.value, ',');
            if (entry.empty())
                continue;
            auto segment = parseSegment(entry);
            malformedLast = segment ? std::string_view() : entry;
            if (segment)
                result.segments.push_back(*segment);
            else
                ++result.malformed;
        }
    }
    if (!malformedLast.empty() && !result.segments.empty())
        result.segments.push_back({ hash64(malformedLast), 0 });
    return result;
}

std::string printSegments(std::span<const PromptSegment> segments)
{
    std::string out;
    for (const PromptSegment& segment : segments.first(std::min(segments.size(), maxPrintedSegments)))
        out += (out.empty() ? "" : ",") + printHex(segment.id);
    if (segments.size() > maxPrintedSegments)
        out += ",+" + std::to_string(segments.size() - maxPrintedSegments);
    return out;
}

} // namespace briarwharf
