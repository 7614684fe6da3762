#include "connection/chunkdecoder.h"

#include <algorithm>
#include <limits>

namespace briarwharf {

namespace {

    // The value of a hexadecimal digit; -1: it is none.
    int hexDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return -1;
    }

    bool isLetterOrDigit(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z');
    }

} // namespace

bool isTokenByte(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isLetterOrDigit(character) || marks.find(character) != std::string_view::npos;
}

bool isTextByte(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteByte = 0x7f;
    auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= firstPrintable && byte != deleteByte);
}

std::size_t ChunkDecoder::feed(std::string_view bytes, const DataCallback& onData)
{
    std::size_t used = 0;
    while (used < bytes.size() && !complete() && !failed()) {
        if (m_state == State::Data)
            used += takeData(bytes.substr(used), onData);
        else
            m_state = take(bytes[used++]);
    }
    return used;
}

std::size_t ChunkDecoder::takeData(std::string_view bytes, const DataCallback& onData)
{
    auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_size, bytes.size()));
    m_size -= count;
    if (m_size == 0)
        m_state = State::DataCarriageReturn;
    onData(bytes.substr(0, count));
    return count;
}

// Takes one byte outside of a chunk's data and returns the state after it.
ChunkDecoder::State ChunkDecoder::take(char character)
{
    switch (m_state) {
    case State::SizeStart:
        m_size = 0;
        return addDigit(character) ? State::Size : State::Failed;
    case State::Size:
        return takeSize(character);
    case State::Extension:
        if (character == '\r')
            return State::SizeLineFeed;
        return isTextByte(character) ? State::Extension : State::Failed;
    case State::SizeLineFeed:
        if (character != '\n')
            return State::Failed;
        return m_size > 0 ? State::Data : State::LineStart;
    case State::DataCarriageReturn:
        return character == '\r' ? State::DataLineFeed : State::Failed;
    case State::DataLineFeed:
        return character == '\n' ? State::SizeStart : State::Failed;
    case State::LineStart:
        return takeLineStart(character);
    case State::TrailerName:
        if (character == ':')
            return State::TrailerValue;
        return isTokenByte(character) ? State::TrailerName : State::Failed;
    case State::TrailerValue:
        if (character == '\r')
            return State::TrailerLineFeed;
        return isTextByte(character) ? State::TrailerValue : State::Failed;
    case State::TrailerLineFeed:
        return character == '\n' ? State::LineStart : State::Failed;
    case State::EndLineFeed:
        return character == '\n' ? State::Complete : State::Failed;
    case State::Data:
    case State::Complete:
    case State::Failed:
        break;
    }
    return State::Failed;
}

ChunkDecoder::State ChunkDecoder::takeSize(char character)
{
    if (character == '\r')
        return State::SizeLineFeed;
    if (character == ';' || character == ' ' || character == '\t')
        return State::Extension;
    return addDigit(character) ? State::Size : State::Failed;
}

ChunkDecoder::State ChunkDecoder::takeLineStart(char character)
{
    if (character == '\r')
        return State::EndLineFeed;
    return isTokenByte(character) ? State::TrailerName : State::Failed;
}

// Returns false for a byte that is no digit, or a size beyond 64 bits.
bool ChunkDecoder::addDigit(char character)
{
    constexpr std::uint64_t base = 16;
    int digit = hexDigit(character);
    if (digit < 0 || m_size > std::numeric_limits<std::uint64_t>::max() / base)
        return false;
    m_size = m_size * base + static_cast<std::uint64_t>(digit);
    return true;
}

} // namespace briarwharf
