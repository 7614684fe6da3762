#include "soak/roughcaller.h"

#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::uint64_t maxPieceBytes = 2000;
    constexpr std::uint64_t maxPauseMs = 15;
    constexpr std::uint64_t maxStayMs = 1500; // after the last piece

} // namespace

RoughCaller::RoughCaller(event_base* base, const Endpoint& endpoint, std::string bytes, std::uint64_t seed)
    : m_random(seed)
    , m_bytes(std::move(bytes))
    , m_timer(base, [this] { step(); })
{
    auto stream = TcpStream::connect(base, endpoint.address, endpoint.port, {}, *this);
    m_done = !stream;
    if (!stream)
        return;
    m_stream = std::move(stream.value());
    if (m_random.chance(0.5))
        m_stream->resetOnClose();
    m_timer.start(Milliseconds(0));
}

void RoughCaller::step()
{
    if (m_bytes.empty() || m_done) {
        m_done = true;
        return;
    }
    std::size_t length = std::min<std::size_t>(m_bytes.size(), 1 + m_random.below(maxPieceBytes));
    m_stream->write(std::string_view(m_bytes).substr(0, length));
    m_bytes.erase(0, length);
    if (m_random.chance(0.3))
        m_stream->pauseReading();
    else
        m_stream->resumeReading();
    m_timer.start(Milliseconds(m_random.below(m_bytes.empty() ? maxStayMs : maxPauseMs)));
}

} // namespace briarwharf
