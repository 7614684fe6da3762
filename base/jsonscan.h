#pragma once

#include <cstddef>
#include <string_view>

namespace briarwharf {

// Upper bounds on a JSON value, counted in its text.
struct JsonSize {
    std::size_t depth = 0; // arrays and objects inside each other
    std::size_t values = 0; // of arrays and objects, their elements, keys and members included
};

// Reads the text once, in constant memory. The text need not be valid JSON; for valid JSON no value has more
// levels or values than returned.
JsonSize measureJson(std::string_view text);

} // namespace briarwharf
