#include "version/lexer.h"

#include "version/command.h"
#include <algorithm>
#include <array>
#include <cctype>

namespace briarwharf {

namespace {

    // Maximum number of characters that an error's excerpt shows on each side of the caret.
    constexpr std::size_t excerptRadius = 50;

    constexpr std::array<std::string_view, 10> symbols { "!=", "<=", ">=", ";", ",", "(", ")", "=", "<",
        ">" };

    bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

    bool isBareCharacter(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
            || (c != '\0' && std::string_view("_.:/+-[]@%~").find(c) != std::string_view::npos);
    }

    bool startsComment(std::string_view text, std::size_t offset) { return text.substr(offset, 2) == "--"; }

    std::size_t endOfLine(std::string_view text, std::size_t offset)
    {
        return std::min(text.find('\n', offset), text.size());
    }

    std::size_t endOfBare(std::string_view text, std::size_t offset)
    {
        while (offset < text.size() && isBareCharacter(text[offset]))
            ++offset;
        return offset;
    }

    // The offset after the closing quote; npos if there is none. Two quotes in a row stand for one in the
    // text.
    std::size_t endOfQuoted(std::string_view text, std::size_t offset)
    {
        char quote = text[offset];
        for (std::size_t i = offset + 1; i < text.size(); ++i) {
            if (text[i] != quote)
                continue;
            if (text.substr(i + 1, 1) != std::string_view(&quote, 1))
                return i + 1;
            ++i;
        }
        return std::string_view::npos;
    }

    std::string unquote(std::string_view quoted)
    {
        std::string text;
        char quote = quoted.front();
        for (std::size_t i = 1; i + 1 < quoted.size(); ++i) {
            text += quoted[i];
            if (quoted[i] == quote)
                ++i;
        }
        return text;
    }

    std::string_view symbolAt(std::string_view text, std::size_t offset)
    {
        for (std::string_view symbol : symbols) {
            if (text.substr(offset, symbol.size()) == symbol)
                return symbol;
        }
        return {};
    }

    // Replaces everything that may be an API key by '*': the content of quotes and words after KEY or HASH.
    // The length stays the same, so that offsets stay valid.
    std::string maskSecrets(std::string_view text)
    {
        std::string masked(text);
        bool afterKey = false;
        for (std::size_t i = 0; i < text.size();) {
            if (text[i] == '\'' || text[i] == '"') {
                std::size_t end = std::min(endOfQuoted(text, i), text.size());
                for (std::size_t j = i + 1; j < end && text[j] != '\n'; ++j)
                    masked[j] = '*';
                i = end;
                afterKey = false;
            } else if (startsComment(text, i)) {
                i = endOfLine(text, i);
            } else if (isBareCharacter(text[i])) {
                std::size_t end = endOfBare(text, i);
                std::string_view word = text.substr(i, end - i);
                bool hash = equalIgnoringCase(word, "HASH");
                if (afterKey && !hash)
                    std::fill(masked.begin() + static_cast<std::ptrdiff_t>(i),
                        masked.begin() + static_cast<std::ptrdiff_t>(end), '*');
                afterKey = hash || equalIgnoringCase(word, "KEY");
                i = end;
            } else {
                ++i;
            }
        }
        return masked;
    }

    std::size_t startOfLine(std::string_view text, std::size_t offset)
    {
        std::size_t newline = offset == 0 ? std::string_view::npos : text.rfind('\n', offset - 1);
        return newline == std::string_view::npos ? 0 : newline + 1;
    }

} // namespace

bool equalIgnoringCase(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

bool isBareToken(std::string_view text)
{
    return !text.empty() && !startsComment(text, 0) && endOfBare(text, 0) == text.size();
}

std::string describePosition(std::string_view text, std::size_t offset)
{
    auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n');
    return "line " + std::to_string(line) + ", column "
        + std::to_string(offset - startOfLine(text, offset) + 1);
}

std::string excerptAt(std::string_view text, std::size_t offset)
{
    std::string masked = maskSecrets(text);
    std::size_t begin = startOfLine(text, offset);
    std::size_t end = endOfLine(text, offset);
    if (offset - begin > excerptRadius)
        begin = offset - excerptRadius;
    end = std::min(end, offset + excerptRadius);
    std::string line = masked.substr(begin, end - begin);
    std::replace_if(
        line.begin(), line.end(), [](char c) { return c < ' ' || c > '~'; }, ' ');
    return "  " + line + "\n  " + std::string(offset - begin, ' ') + "^";
}

Error syntaxError(
    std::string_view text, std::size_t offset, std::string_view expected, std::string_view found)
{
    return { ErrorKind::InvalidArgument,
        "syntax error at " + describePosition(text, offset) + ", found " + std::string(found) + ": write "
            + std::string(expected) + "\n" + excerptAt(text, offset) };
}

Result<std::vector<Token>> tokenize(std::string_view text)
{
    if (text.size() > maxCommandTextBytes)
        return Error { ErrorKind::TooLarge,
            "the command text has more than " + std::to_string(maxCommandTextBytes)
                + " bytes: send the commands in several parts" };
    auto forbidden
        = std::find_if(text.begin(), text.end(), [](char c) { return (c < ' ' || c > '~') && !isSpace(c); });
    if (forbidden != text.end())
        return syntaxError(text, static_cast<std::size_t>(forbidden - text.begin()),
            "printable ASCII characters only", "another byte");
    std::vector<Token> tokens;
    std::size_t i = 0;
    while (i < text.size()) {
        if (isSpace(text[i])) {
            ++i;
        } else if (startsComment(text, i)) {
            i = endOfLine(text, i);
        } else if (text[i] == '\'' || text[i] == '"') {
            std::size_t end = endOfQuoted(text, i);
            if (end == std::string_view::npos)
                return syntaxError(text, i, "a closing quote", "a text that does not end");
            std::string_view quoted = text.substr(i, end - i);
            if (std::any_of(quoted.begin(), quoted.end(), [](char c) { return c < ' '; }))
                return syntaxError(text, i, "a quoted text on one line", "a line break in it");
            tokens.push_back({ TokenKind::Quoted, unquote(quoted), i });
            i = end;
        } else if (isBareCharacter(text[i])) {
            std::size_t end = endOfBare(text, i);
            tokens.push_back({ TokenKind::Bare, std::string(text.substr(i, end - i)), i });
            i = end;
        } else {
            std::string_view symbol = symbolAt(text, i);
            if (symbol.empty())
                return syntaxError(text, i, "a keyword, a name or one of ; , ( ) = != < <= > >=",
                    "'" + std::string(1, text[i]) + "'");
            tokens.push_back({ TokenKind::Symbol, std::string(symbol), i });
            i += symbol.size();
        }
    }
    tokens.push_back({ TokenKind::End, "", text.size() });
    return tokens;
}

} // namespace briarwharf
