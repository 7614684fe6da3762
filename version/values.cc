// Conversion of enumeration values and times to and from the texts of the command language.

#include "version/properties.h"
#include <charconv>
#include <cstdio>

namespace briarwharf {

namespace {

    // The number at the offset, which must have exactly `width` digits; else nullopt.
    std::optional<int> fixedNumber(std::string_view text, std::size_t offset, std::size_t width)
    {
        std::string_view segment = text.substr(std::min(offset, text.size()), width);
        int value = 0;
        auto [end, error] = std::from_chars(segment.data(), segment.data() + segment.size(), value);
        bool digits = !segment.empty() && segment.front() != '-' && end == segment.data() + segment.size();
        if (error != std::errc() || !digits || segment.size() != width)
            return std::nullopt;
        return value;
    }

    constexpr std::string_view minutePattern = "dddd-dd-ddTdd:ddZ";

} // namespace

std::string_view objectKindName(ObjectKind kind) { return wordFor(objectWords, kind); }
std::string_view strategyName(Strategy strategy) { return wordFor(strategyWords, strategy); }
std::string_view poolKindName(PoolKind kind) { return wordFor(poolKindWords, kind); }
std::string_view upstreamStateName(UpstreamState state) { return wordFor(upstreamStateWords, state); }
std::string_view weekdayName(int weekday) { return wordFor(weekdayWords, weekday); }

std::string printMinute(WallTime time)
{
    auto minutes = std::chrono::floor<std::chrono::minutes>(time);
    auto day = std::chrono::floor<std::chrono::days>(minutes);
    std::chrono::year_month_day date(day);
    auto minutesOfDay = static_cast<int>((minutes - day).count());
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), minutesOfDay / 60,
        minutesOfDay % 60);
    return text.data();
}

std::optional<WallTime> parseMinute(std::string_view text)
{
    if (text.size() != minutePattern.size())
        return std::nullopt;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (minutePattern[i] != 'd' && text[i] != minutePattern[i])
            return std::nullopt;
    }
    auto year = fixedNumber(text, 0, 4);
    auto month = fixedNumber(text, 5, 2);
    auto day = fixedNumber(text, 8, 2);
    auto hour = fixedNumber(text, 11, 2);
    auto minute = fixedNumber(text, 14, 2);
    if (!year || !month || !day || !hour || !minute || *hour > 23 || *minute > 59)
        return std::nullopt;
    // Within these years neither the clock's range nor the four digits overflow.
    if (*year < 1970 || *year > 2200)
        return std::nullopt;
    std::chrono::year_month_day date { std::chrono::year(*year), std::chrono::month(*month),
        std::chrono::day(*day) };
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(*hour) + std::chrono::minutes(*minute);
}

} // namespace briarwharf
