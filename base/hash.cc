#include "base/hash.h"

#include <cmath>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace briarwharf {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    // The finalizer of splitmix64: every input bit changes about half of the output bits.
    std::uint64_t mixed = first + 0x9e3779b97f4a7c15ULL + (second * 0xbf58476d1ce4e5b9ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double unitInterval(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return (static_cast<double>(hash >> 11) + 0.5) * scale;
}

double rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash, double weight)
{
    return -weight / std::log(unitInterval(combineHashes(keyHash, nodeHash)));
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex({ reinterpret_cast<const char*>(digest.data()), size });
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
    return { reinterpret_cast<const char*>(digest.data()), size };
}

bool equalConstantTime(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (char byte : bytes) {
        auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4];
        text += digits[value & 15];
    }
    return text;
}

} // namespace briarwharf
