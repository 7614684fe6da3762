#pragma once

#include "base/error.h"
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Internal to the library: splits command texts into tokens and describes syntax errors.

enum class TokenKind {
    Bare, // a keyword, name, number, duration, address or path without quotes
    Quoted,
    Symbol, // ; , ( ) = != < <= > >=
    End,
};

struct Token {
    TokenKind kind = TokenKind::End;
    std::string text; // quoted tokens: the content, without the quotes
    std::size_t offset = 0; // of the first byte in the command text
};

// Splits the text into tokens; the last one is End. Errors: InvalidArgument (a character or a quoted text
// that is not valid), TooLarge (longer than maxCommandTextBytes).
Result<std::vector<Token>> tokenize(std::string_view text);

// True if tokenize() would read the whole text as one Bare token.
bool isBareToken(std::string_view);

// describePosition gives "line 1, column 17"; excerptAt gives the line and below it a caret at the offset.
// The excerpt masks quoted texts and words after KEY, which may be API keys.
std::string describePosition(std::string_view text, std::size_t offset);
std::string excerptAt(std::string_view text, std::size_t offset);

// An InvalidArgument error that states the position, what was found there and what was expected.
Error syntaxError(
    std::string_view text, std::size_t offset, std::string_view expected, std::string_view found);

// Ignores the case of ASCII letters only.
bool equalIgnoringCase(std::string_view, std::string_view);

} // namespace briarwharf
