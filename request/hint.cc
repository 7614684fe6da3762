#include "request/hint.h"

#include "base/hash.h"
#include <array>
#include <optional>

namespace briarwharf {

namespace {

    constexpr std::size_t minKeyBytes = 16;
    constexpr std::size_t payloadBytes = 32;
    constexpr std::size_t signatureBytes = 16;
    constexpr std::uint64_t hintVersion = 1; // in the highest byte of the time field
    constexpr int versionShift = 56;
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

    static_assert((payloadBytes + signatureBytes) % 3 == 0, "base64url without padding");
    static_assert((payloadBytes + signatureBytes) / 3 * 4 == hintTextBytes);

    void append(std::string& bytes, std::uint64_t value)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes += static_cast<char>((value >> shift) & 0xff);
    }

    std::uint64_t integerAt(std::string_view bytes, std::size_t offset)
    {
        std::uint64_t value = 0;
        for (std::size_t index = 0; index < 8; ++index)
            value = (value << 8) | static_cast<unsigned char>(bytes[offset + index]);
        return value;
    }

    std::string encode(std::string_view bytes)
    {
        std::string text;
        text.reserve(hintTextBytes);
        for (std::size_t index = 0; index + 3 <= bytes.size(); index += 3) {
            std::uint32_t group = 0;
            for (std::size_t byte = 0; byte < 3; ++byte)
                group = (group << 8) | static_cast<unsigned char>(bytes[index + byte]);
            for (int shift = 18; shift >= 0; shift -= 6)
                text += alphabet[(group >> shift) & 63];
        }
        return text;
    }

    constexpr std::array<int, 256> makeDigits()
    {
        std::array<int, 256> digits {};
        digits.fill(-1);
        for (std::size_t index = 0; index < alphabet.size(); ++index)
            digits[static_cast<unsigned char>(alphabet[index])] = static_cast<int>(index);
        return digits;
    }

    std::optional<std::string> decode(std::string_view text)
    {
        static constexpr std::array<int, 256> digits = makeDigits();
        std::string bytes;
        for (std::size_t index = 0; index + 4 <= text.size(); index += 4) {
            std::uint32_t group = 0;
            for (std::size_t character = 0; character < 4; ++character) {
                int digit = digits[static_cast<unsigned char>(text[index + character])];
                if (digit < 0)
                    return std::nullopt;
                group = (group << 6) | static_cast<std::uint32_t>(digit);
            }
            for (int shift = 16; shift >= 0; shift -= 8)
                bytes += static_cast<char>((group >> shift) & 0xff);
        }
        return bytes;
    }

    std::string signature(std::string_view key, std::string_view payload)
    {
        return hmacSha256(key, payload).substr(0, signatureBytes);
    }

} // namespace

std::string_view hintVerdictName(HintVerdict verdict)
{
    constexpr std::string_view names[] { "valid", "absent", "malformed", "forged", "foreign_organisation",
        "foreign_chat", "expired", "from_future" };
    return names[static_cast<std::size_t>(verdict)];
}

Result<HintSigner> HintSigner::create(HintSettings settings)
{
    if (settings.key.size() < minKeyBytes)
        return Error { ErrorKind::InvalidArgument, "the hint key is too short: give at least 16 bytes" };
    if (!settings.previousKey.empty() && settings.previousKey.size() < minKeyBytes)
        return Error { ErrorKind::InvalidArgument,
            "the previous hint key is too short: give at least 16 bytes or leave it empty" };
    return HintSigner(std::move(settings));
}

std::string HintSigner::issue(
    std::string_view organisation, std::string_view chat, UpstreamId upstream, WallTime now) const
{
    std::string payload;
    payload.reserve(payloadBytes + signatureBytes);
    append(payload, (hintVersion << versionShift) | static_cast<std::uint64_t>(unixMilliseconds(now)));
    append(payload, hash64(organisation));
    append(payload, hash64(chat));
    append(payload, upstream);
    payload += signature(m_settings.key, payload);
    return encode(payload);
}

HintCheck HintSigner::verify(
    std::string_view text, std::string_view organisation, std::string_view chat, WallTime now) const
{
    if (text.empty())
        return { HintVerdict::Absent };
    if (text.size() != hintTextBytes)
        return { HintVerdict::Malformed };
    std::optional<std::string> bytes = decode(text);
    if (!bytes || integerAt(*bytes, 0) >> versionShift != hintVersion)
        return { HintVerdict::Malformed };
    std::string_view payload = std::string_view(*bytes).substr(0, payloadBytes);
    std::string_view givenSignature = std::string_view(*bytes).substr(payloadBytes);
    bool signatureMatches = equalConstantTime(signature(m_settings.key, payload), givenSignature)
        || (!m_settings.previousKey.empty()
            && equalConstantTime(signature(m_settings.previousKey, payload), givenSignature));
    if (!signatureMatches)
        return { HintVerdict::Forged };
    if (integerAt(payload, 8) != hash64(organisation))
        return { HintVerdict::ForeignOrganisation };
    if (integerAt(payload, 16) != hash64(chat))
        return { HintVerdict::ForeignChat };
    constexpr std::uint64_t timeMask = (1ULL << versionShift) - 1;
    WallTime issued = fromUnixMilliseconds(static_cast<std::int64_t>(integerAt(payload, 0) & timeMask));
    if (issued > now + m_settings.clockTolerance)
        return { HintVerdict::FromFuture };
    if (issued + m_settings.lifetime < now)
        return { HintVerdict::Expired };
    return { HintVerdict::Valid, integerAt(payload, 24), issued };
}

} // namespace briarwharf
