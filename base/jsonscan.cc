#include "base/jsonscan.h"

#include "base/json.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

    // Returns the position after the string that begins at `start` with a quotation mark, or the text's size.
    std::size_t stringEnd(std::string_view text, std::size_t start)
    {
        std::size_t at = start + 1;
        while (at < text.size() && text[at] != '"')
            at += text[at] == '\\' ? 2 : 1;
        return std::min(at + 1, text.size());
    }

    Error malformed(std::string_view reason)
    {
        return { ErrorKind::InvalidArgument,
            "the JSON text cannot be separated into its values (" + std::string(reason)
                + "): send one complete object or array" };
    }

    // Reads the punctuation of one object or array.
    class JsonSplitter {
    public:
        explicit JsonSplitter(std::string_view text)
            : m_text(text)
        {
            if (m_text.substr(0, byteOrderMark.size()) == byteOrderMark) // which the parser ignores, too
                m_at = byteOrderMark.size();
        }

        bool take(char expected)
        {
            skipSpace();
            if (m_at == m_text.size() || m_text[m_at] != expected)
                return false;
            ++m_at;
            return true;
        }

        bool atEnd()
        {
            skipSpace();
            return m_at == m_text.size();
        }

        // The text of a string with its quotation marks; empty if there is no string at this position.
        std::string_view takeString()
        {
            skipSpace();
            if (m_at == m_text.size() || m_text[m_at] != '"')
                return {};
            std::size_t start = m_at;
            m_at = stringEnd(m_text, start);
            return m_text.substr(start, m_at - start);
        }

        // The text up to the comma or bracket that follows the value, without the spaces around it.
        std::string_view takeValue()
        {
            skipSpace();
            std::size_t start = m_at;
            skipValue();
            std::size_t end = m_at;
            while (end > start && isSpace(m_text[end - 1]))
                --end;
            return m_text.substr(start, end - start);
        }

    private:
        static bool isSpace(char character)
        {
            return character == ' ' || character == '\t' || character == '\n' || character == '\r';
        }

        void skipSpace()
        {
            while (m_at < m_text.size() && isSpace(m_text[m_at]))
                ++m_at;
        }

        void skipValue()
        {
            std::size_t depth = 0;
            while (m_at < m_text.size()) {
                char character = m_text[m_at];
                if (character == '"') {
                    m_at = stringEnd(m_text, m_at);
                    continue;
                }
                bool closes = character == ']' || character == '}';
                if (depth == 0 && (closes || character == ','))
                    return;
                if (closes)
                    --depth;
                else if (character == '[' || character == '{')
                    ++depth;
                ++m_at;
            }
        }

        std::string_view m_text;
        std::size_t m_at = 0;
    };

    // The name in its quotation marks. A name that cannot be parsed is no name that anyone looks for.
    std::string memberName(std::string_view quoted)
    {
        if (quoted.find('\\') != std::string_view::npos) {
            auto parsed = parseJson(quoted, "name");
            if (parsed && parsed.value().is_string())
                return parsed.value().get<std::string>();
        }
        return std::string(quoted.substr(1, quoted.size() - 2));
    }

    // Calls `takeElement` at each element of an object or array. It reads the element and returns ok(), or
    // the error with which the walk ends.
    template <typename TakeElement>
    Status walk(std::string_view text, char opening, char closing, TakeElement takeElement)
    {
        JsonSplitter splitter(text);
        if (!splitter.take(opening))
            return malformed("it has another type");
        bool isComplete = splitter.take(closing);
        while (!isComplete) {
            Status taken = takeElement(splitter);
            if (!taken)
                return taken;
            isComplete = splitter.take(closing);
            if (!isComplete && !splitter.take(','))
                return malformed("it ends early");
        }
        return splitter.atEnd() ? ok() : Status(malformed("it goes on after its end"));
    }

    struct QuotedMember {
        std::string_view name; // with its quotation marks
        std::string_view text;
    };

    Result<QuotedMember> takeMember(JsonSplitter& splitter)
    {
        QuotedMember member;
        member.name = splitter.takeString();
        if (member.name.size() < 2 || !splitter.take(':'))
            return malformed("a member has no name or no value");
        member.text = splitter.takeValue();
        return member;
    }

    Status checkCount(std::size_t elements)
    {
        if (elements < maxJsonValues)
            return ok();
        return Error { ErrorKind::TooLarge,
            "the JSON text has more than " + std::to_string(maxJsonValues) + " values: send it in parts" };
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

Result<JsonMembers> splitJsonObject(std::string_view text)
{
    JsonMembers members;
    Status walked = walk(text, '{', '}', [&members](JsonSplitter& splitter) -> Status {
        Status counted = checkCount(members.size());
        if (!counted)
            return counted;
        auto member = takeMember(splitter);
        if (!member)
            return member.error();
        members.push_back({ memberName(member.value().name), member.value().text });
        return ok();
    });
    if (!walked)
        return walked.error();
    return members;
}

Result<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    Status walked = walk(text, '[', ']', [&elements](JsonSplitter& splitter) {
        elements.push_back(splitter.takeValue());
        return checkCount(elements.size() - 1);
    });
    if (!walked)
        return walked.error();
    return elements;
}

Result<std::vector<std::string_view>> findJsonMembers(
    std::string_view text, const std::vector<std::string_view>& names)
{
    std::vector<std::string_view> texts(names.size());
    Status walked = walk(text, '{', '}', [&](JsonSplitter& splitter) -> Status {
        auto member = takeMember(splitter);
        if (!member)
            return member.error();
        auto found = std::find(names.begin(), names.end(), memberName(member.value().name));
        if (found != names.end())
            texts[static_cast<std::size_t>(found - names.begin())] = member.value().text;
        return ok();
    });
    if (!walked)
        return walked.error();
    return texts;
}

std::string_view memberText(const JsonMembers& members, std::string_view name)
{
    auto last = std::find_if(
        members.rbegin(), members.rend(), [name](const JsonMember& member) { return member.name == name; });
    return last == members.rend() ? std::string_view() : last->text;
}

} // namespace briarwharf
