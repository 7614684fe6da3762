#pragma once

#include "base/error.h"
#include "base/time.h"
#include "request/placement.h"
#include <string>
#include <string_view>

namespace briarwharf {

enum class HintVerdict {
    Valid,
    Absent,
    Malformed, // size, alphabet or version
    Forged, // signed with neither key
    ForeignOrganisation,
    ForeignChat,
    Expired,
    FromFuture, // issued later than now by more than the clock tolerance
};

std::string_view hintVerdictName(HintVerdict);

struct HintCheck {
    HintVerdict verdict = HintVerdict::Absent;
    UpstreamId upstream = 0; // meaningful only for Valid
    WallTime
        issued; // likewise; a hint older than the upstream's last restart or drain points to an empty cache
};

struct HintSettings {
    std::string key; // at least 16 bytes
    std::string previousKey; // accepted but not used for signing; empty: none
    std::chrono::hours lifetime { 24 * 7 };
    std::chrono::seconds clockTolerance { 60 };
};

// The size of every hint's text.
inline constexpr std::size_t hintTextBytes = 64;

// Issues and verifies residence hints: which upstream caches a chat's context, kept by the caller so that
// instances store nothing per chat. 48 bytes as base64url text: version and issue time, hashes of the
// organisation and chat, upstream, and the first 16 bytes of an HMAC-SHA-256 over these. A hint that is not
// Valid must have no effect on placement.
class HintSigner {
public:
    // InvalidArgument if a key is too short.
    static Result<HintSigner> create(HintSettings);

    std::string issue(std::string_view organisation, std::string_view chat, UpstreamId, WallTime now) const;

    HintCheck verify(
        std::string_view text, std::string_view organisation, std::string_view chat, WallTime now) const;

private:
    explicit HintSigner(HintSettings settings)
        : m_settings(std::move(settings))
    {
    }

    HintSettings m_settings;
};

} // namespace briarwharf
