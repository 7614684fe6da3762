#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

// The first placeholder, such as {{Limits.MemoryMb}}, that is left in a value from a template; nullopt: none
// is.
std::optional<std::string> unrenderedPlaceholder(std::string_view value);

// Finds the sections of a template, from {{#NAME}} or {{^NAME}} to {{/NAME}} on lines of their own, that are
// left in a settings file. Whether their condition holds is not known.
class UnrenderedSections {
public:
    // Takes the next line. Returns whether it belongs to such a section and is to be passed over.
    bool skips(std::string_view line);
    // The section that the latest line began, if none was open before; nullopt: it began none.
    std::optional<std::string> begun() const { return m_begun; }
    // The outermost section that has not ended; nullopt: there is none.
    std::optional<std::string> open() const;

private:
    std::string m_name; // of the outermost open section
    int m_depth = 0; // of open sections with this name
    std::optional<std::string> m_begun;
};

} // namespace briarwharf
