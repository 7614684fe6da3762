#pragma once

#include "base/error.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

// What the router needs to know of a chat-completions request; the body itself goes to the engine unchanged.
struct ChatRequest {
    std::string model;
    bool stream = false;
    bool returning = false; // holds an earlier answer, so some engine may cache its prefix
    std::int64_t promptTokens = 0; // estimated
    std::int64_t maxTokens = 0; // most tokens that may be generated
    std::string chat; // from the first messages, for callers that send no chat identifier
};

// Tokens assumed for a request that sets no maximum.
constexpr std::int64_t defaultMaxTokens = 512;

// Errors: InvalidArgument; the message names the field.
Result<ChatRequest> parseChatRequest(std::string_view body);

// Estimate of the tokens of a text; the common tokenizers need about one for four bytes of English text.
std::int64_t estimateTokens(std::size_t bytes);

} // namespace briarwharf
