#pragma once

#include "base/base.h"
#include <cstdlib>
#include <string_view>

// The functions that the fuzz targets run on their inputs, and the corpus tests on stored inputs. A violated
// property aborts the process, which both the fuzzer and the test program report.
namespace briarwharf::testing {

// Aborts the process if the condition does not hold.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

// Separates arbitrary bytes into members and elements. Valid JSON must give the values that the parser gives,
// and no more values and levels than measured.
inline void exerciseJson(std::string_view bytes)
{
    auto json = parseJson(bytes, "fuzz");
    auto members = splitJsonObject(bytes);
    auto elements = splitJsonArray(bytes);
    require(!members || !elements);
    if (!json) {
        require(!checkJson(bytes, "fuzz"));
        return;
    }
    require(!dumpJson(json.value()).empty());
    require(members.has_value() == json.value().is_object());
    require(checkJson(bytes, "fuzz").has_value());
    require(elements.has_value() == json.value().is_array());
    if (elements) {
        require(elements.value().size() == json.value().size());
        for (std::size_t index = 0; index < json.value().size(); ++index)
            require(parseJson(elements.value()[index], "element").value() == json.value()[index]);
    }
    if (members) {
        for (const auto& [name, value] : json.value().items())
            require(parseJson(memberText(members.value(), name), "member").value() == value
                && findJsonMembers(bytes, { name, "" }).value().front() == memberText(members.value(), name));
    }
}

} // namespace briarwharf::testing
