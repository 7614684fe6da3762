#include "coordination/coordination.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

PeerFrameT heartbeatFrame()
{
    HeartbeatT heartbeat;
    heartbeat.revision = 7;
    PeerFrameT frame;
    frame.sender = "entry-1";
    frame.incarnation = 3;
    frame.body.Set(std::move(heartbeat));
    return frame;
}

} // namespace

// Guards against fields that are lost in encoding or decoding.
TEST_CASE("a peer frame survives encoding and decoding")
{
    std::string bytes = encodePeerFrame(heartbeatFrame());
    auto length = peerFrameLength(bytes);
    REQUIRE(length.has_value());
    REQUIRE(length.value() == bytes.size() - peerFrameHeaderBytes);
    auto decoded = decodePeerFrame(std::string_view(bytes).substr(peerFrameHeaderBytes));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().sender == "entry-1");
    REQUIRE(decoded.value().body.AsHeartbeat());
    CHECK(decoded.value().body.AsHeartbeat()->revision == 7);
}

// Guards against reads past the end of a truncated frame.
TEST_CASE("every truncation of a frame is refused")
{
    std::string bytes = encodePeerFrame(heartbeatFrame()).substr(peerFrameHeaderBytes);
    for (std::size_t size = 0; size < bytes.size() / 2; ++size)
        CHECK(decodePeerFrame(bytes.substr(0, size)).has_error());
}
