#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace briarwharf {

// Parses the whole text as a number with std::from_chars(), which accepts no spaces and no plus sign. Returns
// nullopt for any other text. `format` is passed as the last argument of std::from_chars(): the base for
// integers, or the std::chars_format for floating-point numbers.
template <typename Number, typename... Format>
std::optional<Number> parseNumber(std::string_view text, Format... format)
{
    Number number {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, format...);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

// Lower-case hexadecimal digits without leading zeros.
inline std::string printHex(std::uint64_t number)
{
    std::array<char, 16> digits {};
    auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return std::string(digits.data(), result.ptr);
}

} // namespace briarwharf
