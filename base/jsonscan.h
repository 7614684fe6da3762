#pragma once

#include "base/error.h"
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Work on JSON text before it is parsed: limits, and the separation of a list's entries, so that an entry
// that cannot be parsed does not make the others unreadable. Nothing here recurses; each function takes time
// linear in the text.

// Upper bounds on a JSON value, counted in its text.
struct JsonSize {
    std::size_t depth = 0; // arrays and objects inside each other
    std::size_t values = 0; // of arrays and objects, their elements, keys and members included
};

// Reads the text once, in constant memory. The text need not be valid JSON; for valid JSON no value has more
// levels or values than returned.
JsonSize measureJson(std::string_view text);

struct JsonMember {
    std::string name;
    std::string_view text; // of the value, not parsed
};

using JsonMembers = std::vector<JsonMember>;

// Separates the members of an object, or the elements of an array, by quotation marks, brackets and commas
// only. Values that are not valid JSON are returned as they are, provided that their brackets and quotation
// marks match. The results point into `text`. Errors: InvalidArgument (not one object or array, or the text
// ends early), TooLarge (more than maxJsonValues members or elements).
//
//   for (std::string_view element : splitJsonArray(text).value())
//       parseJson(element, "element");
Result<JsonMembers> splitJsonObject(std::string_view text);
Result<std::vector<std::string_view>> splitJsonArray(std::string_view text);

// The text of the last member of that name, which is the one that parseJson() keeps; empty if there is none.
std::string_view memberText(const JsonMembers&, std::string_view name);

// The same for some members of an object, without a list of all of them: the memory used does not grow with
// the text. Returns one text for each name, in the order of the names. Errors: as splitJsonObject(), except
// TooLarge.
Result<std::vector<std::string_view>> findJsonMembers(
    std::string_view text, const std::vector<std::string_view>& names);

} // namespace briarwharf
