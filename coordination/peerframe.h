#pragma once

#include "base/error.h"
#include "coordination/peer_generated.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

// Longest frame between instances, in bytes without the length; a snapshot fits.
constexpr std::size_t maxPeerFrameBytes = 2 * 1024 * 1024;

// Bytes of the little-endian length before each frame.
constexpr std::size_t peerFrameHeaderBytes = 4;

// The frame with its length in front, ready to send.
std::string encodePeerFrame(const PeerFrameT&);

// Length of the frame whose header starts `bytes`, which must hold peerFrameHeaderBytes.
// Errors: TooLarge (close the link: the other side does not speak this protocol).
Result<std::size_t> peerFrameLength(std::string_view bytes);

// Verifies and decodes one frame without its length. Errors: Corrupt (close the link).
Result<PeerFrameT> decodePeerFrame(std::string_view bytes);

} // namespace briarwharf
