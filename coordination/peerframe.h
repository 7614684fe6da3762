#pragma once

#include "base/error.h"
#include "coordination/peer_generated.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

// Maximum length of a frame between instances, without the length header; large enough for a snapshot.
constexpr std::size_t maxPeerFrameBytes = 2 * 1024 * 1024;

// Each frame is preceded by its length, a little-endian number of this many bytes.
constexpr std::size_t peerFrameHeaderBytes = 4;

// Encodes a frame with its length header, ready to send.
std::string encodePeerFrame(const PeerFrameT&);

// Reads the length of a frame from the header at the start of `bytes`, which must contain at least
// peerFrameHeaderBytes bytes. Errors: TooLarge (close the link: the other side does not speak this protocol).
Result<std::size_t> peerFrameLength(std::string_view bytes);

// Verifies and decodes one frame without its length header. Errors: Corrupt (close the link).
Result<PeerFrameT> decodePeerFrame(std::string_view bytes);

} // namespace briarwharf
