#pragma once

#include "base/error.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

using Json = nlohmann::json;

// Copying and printing a value recurse as deep as it is nested, so that text from outside could overflow the
// stack. Documents of this code base's interfaces have fewer than 20 levels.
constexpr std::size_t maxJsonDepth = 128;

// Bounds the memory of a parsed text: a value takes up to about 100 bytes, however short its text is.
constexpr std::size_t maxJsonValues = 1000000;

// Parses without exceptions. The error names the kind of input (`what`) and the remedy. Errors:
// InvalidArgument (not one JSON value, or nested deeper than maxJsonDepth), TooLarge (more than maxJsonValues
// values).
Result<Json> parseJson(std::string_view text, std::string_view what);

// Whether parseJson() would accept the text; the same errors. Builds no values: what it allocates is bounded
// by the longest string.
Status checkJson(std::string_view text, std::string_view what);

// Serializes without exceptions: invalid UTF-8 is replaced by U+FFFD.
std::string dumpJson(const Json&);

// Typed field access: nullopt if the value is not an object, or the field is absent or has another type.
std::optional<std::string> stringField(const Json&, std::string_view name);
std::optional<std::int64_t> integerField(const Json&, std::string_view name);
std::optional<double> numberField(const Json&, std::string_view name);
std::optional<bool> booleanField(const Json&, std::string_view name);

} // namespace briarwharf
