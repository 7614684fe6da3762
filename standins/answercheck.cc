#include "standins/answercheck.h"
#include <algorithm>

namespace briarwharf {

namespace {

    constexpr std::string_view dataPrefix = "data:";
    constexpr std::string_view endMarker = "[DONE]";

    // The field `name` ("delta" or "message") of the first choice; null if absent.
    Json firstChoiceField(const Json& body, const char* name)
    {
        if (!body.is_object() || !body.contains("choices") || !body["choices"].is_array()
            || body["choices"].empty() || !body["choices"][0].is_object())
            return nullptr;
        return body["choices"][0].value(name, Json());
    }

} // namespace

std::size_t AnswerCheck::addStreamData(std::string_view bytes)
{
    std::size_t chunks = 0;
    m_pending += bytes;
    std::size_t start = 0;
    for (auto end = m_pending.find('\n'); end != std::string::npos; end = m_pending.find('\n', start)) {
        std::string_view line(m_pending.data() + start, end - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        chunks += addEvent(line) ? 1 : 0;
        start = end + 1;
    }
    m_pending.erase(0, start);
    return chunks;
}

// Returns whether the line held a content chunk. Comments and blank lines are ignored.
bool AnswerCheck::addEvent(std::string_view line)
{
    if (!line.starts_with(dataPrefix))
        return false;
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (m_endReceived)
        m_malformed = true;
    if (line == endMarker) {
        m_endReceived = true;
        return false;
    }
    auto parsed = parseJson(line, "event");
    if (!parsed) {
        m_malformed = true;
        return false;
    }
    if (parsed.value().is_object() && parsed.value().contains("error")) {
        m_errorEventReceived = true;
        return false;
    }
    addIdentifier(parsed.value());
    addUsage(parsed.value());
    auto content = stringField(firstChoiceField(parsed.value(), "delta"), "content");
    m_text += content.value_or("");
    return content.has_value();
}

void AnswerCheck::addWholeAnswer(std::string_view body)
{
    auto parsed = parseJson(body, "answer");
    if (!parsed) {
        m_malformed = true;
        return;
    }
    addIdentifier(parsed.value());
    addUsage(parsed.value());
    auto content = stringField(firstChoiceField(parsed.value(), "message"), "content");
    m_malformed = !content;
    m_text = content.value_or("");
    m_endReceived = true;
}

void AnswerCheck::addIdentifier(const Json& body)
{
    auto identifier = stringField(body, "id").value_or("");
    if (m_identifier.empty())
        m_identifier = identifier;
    bool expected = m_expected.requestId.empty() || identifier == m_expected.requestId;
    if (identifier != m_identifier || !expected)
        m_foreignIdentifier = true;
}

void AnswerCheck::addUsage(const Json& body)
{
    if (!body.is_object() || !body.contains("usage"))
        return;
    const auto& usage = body["usage"];
    m_promptTokens = integerField(usage, "prompt_tokens").value_or(0);
    if (usage.is_object() && usage.contains("prompt_tokens_details"))
        m_cachedTokens = integerField(usage["prompt_tokens_details"], "cached_tokens").value_or(0);
}

bool AnswerCheck::textMatchesRequest() const
{
    auto compared = std::min(m_text.size(), m_expected.nonce.size());
    return m_text.compare(0, compared, m_expected.nonce, 0, compared) == 0;
}

bool AnswerCheck::textComplete() const
{
    auto words = static_cast<std::uint32_t>(std::count(m_text.begin(), m_text.end(), ' ')) + 1;
    bool whole = m_text.starts_with(m_expected.nonce) && words == m_expected.words;
    return whole && (m_expected.words == 1 || m_text.ends_with(" end"));
}

} // namespace briarwharf
