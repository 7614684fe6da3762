#pragma once

#include <charconv>
#include <optional>
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

} // namespace briarwharf
