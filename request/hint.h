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
    Malformed, // wrong size, alphabet or version
    Forged, // signed with neither the current nor the previous key
    ForeignOrganisation,
    ForeignChat,
    Expired,
    FromFuture, // the issue time is ahead of now by more than the clock tolerance
};

std::string_view hintVerdictName(HintVerdict);

struct HintCheck {
    HintVerdict verdict = HintVerdict::Absent;
    UpstreamId upstream = 0; // valid only if the verdict is Valid
    // Valid only if the verdict is Valid. A hint that was issued before the upstream's last restart or drain
    // refers to an empty cache.
    WallTime issued;
};

struct HintSettings {
    std::string key; // at least 16 bytes
    std::string previousKey; // accepted but not used for signing; empty if there is none
    std::chrono::hours lifetime { 24 * 7 };
    std::chrono::seconds clockTolerance { 60 };
};

// Every hint's text has this size.
inline constexpr std::size_t hintTextBytes = 64;

// Issues and verifies residence hints. A hint names the upstream that caches a chat's context. The caller
// keeps the hint, so that instances store nothing per chat. A hint is 48 bytes as base64url text: version and
// issue time, hashes of the organisation and the chat, the upstream, and the first 16 bytes of an
// HMAC-SHA-256 over these fields. A hint that is not Valid must have no effect on placement.
class HintSigner {
public:
    // Fails with InvalidArgument if a key is too short.
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
