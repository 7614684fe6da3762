#pragma once

#include "base/error.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

// The fields of a chat-completions request that the router uses. The request body goes to the engine with a
// `priority` field added and is otherwise unchanged.
struct ChatRequest {
    std::string model;
    bool stream = false;
    bool returning = false; // has an assistant message, so an engine may hold its prefix in its cache
    std::int64_t promptTokens = 0; // estimated from the size of the messages
    std::int64_t maxTokens = 0; // maximum number of tokens to generate
    std::string
        derivedChatId; // hash of the first messages; identifies the chat if the caller sends no identifier
};

// Maximum number of generated tokens for a request that sets none.
constexpr std::int64_t defaultMaxTokens = 512;

// Errors: InvalidArgument; the message names the invalid field.
Result<ChatRequest> parseChatRequest(std::string_view body);

// Estimates the number of tokens in a text of this size: common tokenizers produce about one token for four
// bytes of English text.
std::int64_t estimateTokens(std::size_t bytes);

} // namespace briarwharf
