#include "base/jsonscan.h"

#include <algorithm>

namespace briarwharf {

namespace {

    // Returns the position after the string that begins at `start` with a quotation mark, or the text's size.
    std::size_t stringEnd(std::string_view text, std::size_t start)
    {
        std::size_t at = start + 1;
        while (at < text.size() && text[at] != '"')
            at += text[at] == '\\' ? 2 : 1;
        return std::min(at + 1, text.size());
    }

} // namespace

JsonSize measureJson(std::string_view text)
{
    JsonSize size { 0, 1 };
    std::size_t depth = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        switch (text[at]) {
        case '"':
            at = stringEnd(text, at);
            continue;
        case '[':
        case '{':
            size.depth = std::max(size.depth, ++depth);
            ++size.values;
            break;
        case ']':
        case '}':
            depth -= depth > 0;
            break;
        case ',':
        case ':':
            ++size.values;
            break;
        default:
            break;
        }
        ++at;
    }
    return size;
}

} // namespace briarwharf
