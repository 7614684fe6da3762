#pragma once

#include "base/random.h"
#include "connection/connection.h"
#include <memory>
#include <string>

namespace briarwharf {

// A connection whose caller writes bytes in pieces at random moments, reads now and then, and leaves at a
// random moment. It checks nothing of what it receives.
class RoughCaller : public TcpStreamEvents {
public:
    RoughCaller(event_base*, const Endpoint&, std::string bytes, std::uint64_t seed);

    bool isDone() const { return m_done; }

    void streamReceived(std::string_view) override { }
    void streamEnded() override { m_done = true; }
    void streamFailed(std::string_view) override { m_done = true; }

private:
    void step();

    Random m_random;
    std::string m_bytes; // not written yet
    bool m_done = false;
    Timer m_timer;
    std::unique_ptr<TcpStream> m_stream;
};

} // namespace briarwharf
