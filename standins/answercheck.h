#pragma once

#include "base/base.h"
#include <cstdint>
#include <string>

namespace briarwharf {

// The properties of a chat request that its answer is checked against.
struct ExpectedAnswer {
    std::string nonce; // first word of the answer; the engine stand-in copies it from the prompt
    std::uint32_t words = 0; // length of the answer; its last word is "end"
    std::string requestId; // identifier that the answer must carry; empty: any, but the same throughout
};

// Checks a whole answer or a stream: that its text and identifier belong to the request, that no word is
// missing and that the end marker is present.
class AnswerCheck {
public:
    explicit AnswerCheck(ExpectedAnswer expected)
        : m_expected(std::move(expected))
    {
    }

    // Adds received bytes of an event stream. Returns the number of content chunks that these bytes
    // completed.
    std::size_t addStreamData(std::string_view);
    // Adds the body of an answer that is not streamed.
    void addWholeAnswer(std::string_view body);

    // Whether the text received so far starts with the nonce of this request.
    bool textMatchesRequest() const;
    // Whether every identifier received was the same, and the expected one if one was given.
    bool identifierMatchesRequest() const { return !m_foreignIdentifier; }
    // Whether all expected words were received.
    bool textComplete() const;
    // Whether the stream's end marker `data: [DONE]`, or a whole answer with valid JSON, was received.
    bool endReceived() const { return m_endReceived; }
    // Whether the stream contained an error event.
    bool errorEventReceived() const { return m_errorEventReceived; }
    // Whether the answer broke the format: invalid JSON, a whole answer without content, or events after the
    // end marker.
    bool malformed() const { return m_malformed; }

    const std::string& text() const { return m_text; }
    std::int64_t promptTokens() const { return m_promptTokens; }
    std::int64_t cachedTokens() const { return m_cachedTokens; }

private:
    bool addEvent(std::string_view line);
    void addIdentifier(const Json&);
    void addUsage(const Json&);

    ExpectedAnswer m_expected;
    std::string m_pending; // received bytes of an incomplete line
    std::string m_identifier;
    std::string m_text;
    bool m_foreignIdentifier = false;
    bool m_endReceived = false;
    bool m_errorEventReceived = false;
    bool m_malformed = false;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_cachedTokens = 0;
};

} // namespace briarwharf
