#include "process/chatrequest.h"

#include "base/hash.h"
#include "base/json.h"
#include <array>

namespace briarwharf {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr std::int64_t maxTokensLimit = 1000000;

    // Number of messages from which the identifier of a chat is derived. The system prompt and the first
    // question are the first messages of every request of a chat, so they identify it.
    constexpr std::size_t chatIdMessages = 2;

    Error invalid(const std::string& message) { return Error { ErrorKind::InvalidArgument, message }; }

    Result<std::int64_t> parseMaxTokens(const Json& body)
    {
        for (const char* name : { "max_completion_tokens", "max_tokens" }) {
            auto field = body.find(name);
            if (field == body.end() || field->is_null())
                continue;
            auto value = integerField(body, name);
            if (!value || *value < 1 || *value > maxTokensLimit)
                return invalid(
                    std::string(name) + " is not a whole number from 1 to " + std::to_string(maxTokensLimit));
            return *value;
        }
        return defaultMaxTokens;
    }

    std::size_t contentBytes(const Json& content)
    {
        return content.is_string() ? content.get_ref<const std::string&>().size() : dumpJson(content).size();
    }

    std::string deriveChatId(const Json& messages)
    {
        std::string head;
        for (std::size_t i = 0; i < std::min(messages.size(), chatIdMessages); ++i)
            head += dumpJson(messages[i]);
        return "auto-" + std::to_string(hash64(head));
    }

} // namespace

std::int64_t estimateTokens(std::size_t bytes)
{
    return static_cast<std::int64_t>((bytes + bytesPerToken - 1) / bytesPerToken);
}

Result<ChatRequest> parseChatRequest(std::string_view text)
{
    BOOST_OUTCOME_TRY(body, parseJson(text, "request body"));
    auto model = stringField(body, "model");
    if (!model || model->empty())
        return invalid("model is missing or not a text");
    auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("messages is missing or not a list with at least one message");
    ChatRequest request;
    for (const auto& message : *messages) {
        auto role = stringField(message, "role");
        if (!role)
            return invalid("a message has no role");
        request.returning = request.returning || *role == "assistant";
        auto content = message.find("content");
        if (content != message.end())
            request.promptTokens += estimateTokens(contentBytes(*content));
    }
    auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_null() && !stream->is_boolean())
        return invalid("stream is not true or false");
    BOOST_OUTCOME_TRY(maxTokens, parseMaxTokens(body));
    request.maxTokens = maxTokens;
    request.model = *model;
    request.stream = booleanField(body, "stream").value_or(false);
    request.derivedChatId = deriveChatId(*messages);
    return request;
}

} // namespace briarwharf
