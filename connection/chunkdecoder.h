#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace briarwharf {

// Whether a byte may stand in the name of a header field (RFC 9110, "token").
bool isTokenByte(char);
// Whether a byte may stand in a field's value, a reason phrase or a chunk extension: no control byte but the
// tab.
bool isTextByte(char);

// Decodes a chunked body, trailer included (RFC 9112, section 7.1). Trailer fields are checked and dropped.
// It is strict, because a body whose chunks do not fit their lengths is not the body that was sent.
//
//   ChunkDecoder chunks;
//   std::size_t used = chunks.feed(bytes, [](std::string_view data) { ... });   // stops after the body
//   if (chunks.failed()) ...
class ChunkDecoder {
public:
    using DataCallback = std::function<void(std::string_view)>;

    // Returns the number of bytes consumed. Consumes nothing after the end or a failure.
    std::size_t feed(std::string_view bytes, const DataCallback&);

    bool complete() const { return m_state == State::Complete; }
    bool failed() const { return m_state == State::Failed; }

private:
    enum class State {
        SizeStart, // at the first digit
        Size,
        Extension,
        SizeLineFeed,
        Data,
        DataCarriageReturn,
        DataLineFeed,
        LineStart, // of a trailer line or of the empty line at the end
        TrailerName,
        TrailerValue,
        TrailerLineFeed,
        EndLineFeed,
        Complete,
        Failed,
    };

    std::size_t takeData(std::string_view bytes, const DataCallback&);
    State take(char);
    State takeSize(char);
    State takeLineStart(char);
    bool addDigit(char);

    State m_state = State::SizeStart;
    std::uint64_t m_size = 0; // of the chunk; while its data is read, what is left of it
};

} // namespace briarwharf
