#pragma once

#include "connection/connection.h"
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <string_view>

namespace briarwharf {

// A caller that sends what the test gives it, and counts what it reads.
class RawCaller : public TcpStreamEvents {
public:
    RawCaller(event_base* base, std::uint16_t port, std::string_view bytes)
    {
        auto stream = TcpStream::connect(base, "127.0.0.1", port, {}, *this);
        REQUIRE(stream);
        m_stream = std::move(stream.value());
        m_stream->write(bytes);
    }

    void close() { m_stream.reset(); }
    void resumeReading() { m_stream->resumeReading(); }
    void write(std::string_view bytes) { m_stream->write(bytes); }

    void streamConnected() override
    {
        if (stopReading)
            m_stream->pauseReading();
    }
    void streamReceived(std::string_view bytes) override { received += bytes; }
    void streamEnded() override { ended = true; }
    void streamFailed(std::string_view) override { ended = true; }

    std::string received;
    bool ended = false;
    bool stopReading = false;

private:
    std::unique_ptr<TcpStream> m_stream;
};

} // namespace briarwharf
