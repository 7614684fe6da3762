#pragma once

#include "base/error.h"
#include <string>
#include <string_view>
#include <vector>

namespace briarwharf {

// Internal to the command language.

enum class TokenKind {
    Bare, // a keyword, name, number, duration, address or path without quotes
    Quoted,
    Symbol, // ; , ( ) = != < <= > >=
    End,
};

struct Token {
    TokenKind kind = TokenKind::End;
    std::string text; // without quotes
    std::size_t offset = 0; // of the first byte in the command text
};

// Splits the text; the last token is End. Errors: InvalidArgument, TooLarge.
Result<std::vector<Token>> tokenize(std::string_view text);

// True if the text reads as one Bare token.
bool isBareToken(std::string_view);

// "line 1, column 17" and the line with a caret below the offset. Quoted text and words after KEY are masked.
std::string describePlace(std::string_view text, std::size_t offset);
std::string excerptAt(std::string_view text, std::size_t offset);

// An InvalidArgument at the offset: what was expected, and what was found there.
Error syntaxError(
    std::string_view text, std::size_t offset, std::string_view expected, std::string_view found);

// Compares without regard to the case of ASCII letters.
bool equalIgnoringCase(std::string_view, std::string_view);

} // namespace briarwharf
