#pragma once

#include "base/error.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

using Json = nlohmann::json;

// Parses without exceptions. The error names the kind of input (`what`) and the remedy.
Result<Json> parseJson(std::string_view text, std::string_view what);

// Serializes without exceptions: invalid UTF-8 is replaced by U+FFFD.
std::string dumpJson(const Json&);

// Typed field access: nullopt if the value is not an object, or the field is absent or has another type.
std::optional<std::string> stringField(const Json&, std::string_view name);
std::optional<std::int64_t> integerField(const Json&, std::string_view name);
std::optional<double> numberField(const Json&, std::string_view name);
std::optional<bool> booleanField(const Json&, std::string_view name);

} // namespace briarwharf
