#include "process/unrendered.h"

namespace briarwharf {

namespace {

    constexpr std::string_view opening = "{{";
    constexpr std::string_view closing = "}}";

    struct SectionTag {
        char kind = 0; // '#', '^' or '/'
        std::string_view name;
    };

    // nullopt: the line is no tag of a section.
    std::optional<SectionTag> sectionTag(std::string_view line)
    {
        constexpr std::string_view blanks = " \t\r\n";
        std::size_t first = line.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return std::nullopt;
        line = line.substr(first, line.find_last_not_of(blanks) + 1 - first);
        bool isTag = line.size() > opening.size() + closing.size() + 1 && line.starts_with(opening)
            && line.ends_with(closing);
        if (!isTag)
            return std::nullopt;
        line = line.substr(opening.size(), line.size() - opening.size() - closing.size());
        bool isSection = line.front() == '#' || line.front() == '^' || line.front() == '/';
        if (!isSection || line.find_first_of("{}") != std::string_view::npos)
            return std::nullopt;
        return SectionTag { line.front(), line.substr(1) };
    }

} // namespace

std::optional<std::string> unrenderedPlaceholder(std::string_view value)
{
    std::size_t begin = value.find(opening);
    if (begin == std::string_view::npos)
        return std::nullopt;
    std::size_t end = value.find(closing, begin);
    if (end == std::string_view::npos)
        return std::nullopt;
    return std::string(value.substr(begin, end + closing.size() - begin));
}

bool UnrenderedSections::skips(std::string_view line)
{
    m_begun.reset();
    auto tag = sectionTag(line);
    if (m_depth == 0) {
        if (!tag || tag->kind == '/')
            return false;
        m_name = tag->name;
        m_begun = m_name;
        m_depth = 1;
        return true;
    }
    if (tag && tag->name == m_name)
        m_depth += tag->kind == '/' ? -1 : 1;
    return true;
}

std::optional<std::string> UnrenderedSections::open() const
{
    return m_depth > 0 ? std::optional(m_name) : std::nullopt;
}

} // namespace briarwharf
