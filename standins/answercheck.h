#pragma once

#include "base/base.h"
#include <cstdint>
#include <string>

namespace briarwharf {

// What a chat request asked for, as far as its answer can be checked against it.
struct ExpectedAnswer {
    std::string nonce; // first word of the answer, as the engine stand-in gives it
    std::uint32_t words = 0; // the answer's length; the last word is "end"
    std::string requestId; // own identifier that must come back; empty: any, but one only
};

// Checks a whole answer or a stream: own text, one identifier, whole length and the end mark.
class AnswerCheck {
public:
    explicit AnswerCheck(ExpectedAnswer expected)
        : m_expected(std::move(expected))
    {
    }

    // A part of an event stream. Returns the number of content chunks that it completed.
    std::size_t addStreamData(std::string_view);
    // A whole answer's body.
    void addWhole(std::string_view body);

    // The text is this request's, as far as it came.
    bool ownText() const;
    // One identifier only, and the expected one if there is one.
    bool ownIdentifier() const { return !m_foreignIdentifier; }
    // Every word came.
    bool wholeText() const;
    // `data: [DONE]` came, or the body was a whole answer.
    bool ended() const { return m_ended; }
    // An error event came.
    bool errorEvent() const { return m_errorEvent; }
    // Bytes or events that are no part of the format.
    bool malformed() const { return m_malformed; }

    const std::string& text() const { return m_text; }
    std::int64_t promptTokens() const { return m_promptTokens; }
    std::int64_t cachedTokens() const { return m_cachedTokens; }

private:
    bool addEvent(std::string_view line);
    void addIdentifier(const Json&);
    void addUsage(const Json&);

    ExpectedAnswer m_expected;
    std::string m_pending; // bytes of an event that is not complete
    std::string m_identifier;
    std::string m_text;
    bool m_foreignIdentifier = false;
    bool m_ended = false;
    bool m_errorEvent = false;
    bool m_malformed = false;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_cachedTokens = 0;
};

} // namespace briarwharf
