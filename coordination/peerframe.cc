#include "coordination/peerframe.h"

namespace briarwharf {

std::string encodePeerFrame(const PeerFrameT& frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(PeerFrame::Pack(builder, &frame));
    std::string bytes(peerFrameHeaderBytes, '\0');
    flatbuffers::WriteScalar(bytes.data(), static_cast<std::uint32_t>(builder.GetSize()));
    bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return bytes;
}

Result<std::size_t> peerFrameLength(std::string_view bytes)
{
    auto length = flatbuffers::ReadScalar<std::uint32_t>(bytes.data());
    if (length > maxPeerFrameBytes)
        return Error { ErrorKind::TooLarge,
            "peer frame of " + std::to_string(length) + " bytes exceeds the limit of "
                + std::to_string(maxPeerFrameBytes)
                + ": check that the peer port is not used by another protocol" };
    return std::size_t { length };
}

Result<PeerFrameT> decodePeerFrame(std::string_view bytes)
{
    // The verifier requires an alignment that a slice of a receive buffer may not have.
    std::vector<std::uint64_t> aligned((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(aligned.data()));
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<PeerFrame>(nullptr))
        return Error { ErrorKind::Corrupt,
            "peer frame of " + std::to_string(bytes.size()) + " bytes fails verification: close the link" };
    PeerFrameT frame;
    flatbuffers::GetRoot<PeerFrame>(data)->UnPackTo(&frame);
    // The verifier accepts a union whose type is set but whose value is missing.
    if (frame.body.type != PeerBody::NONE && !frame.body.value)
        return Error { ErrorKind::Corrupt,
            "peer frame states a message type but contains no message: close the link" };
    return frame;
}

} // namespace briarwharf
