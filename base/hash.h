#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

// 64-bit XXH3. Equal on every instance, so it may be used for placement. Not for cryptographic use.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two 64-bit values; the order of the arguments matters.
std::uint64_t combineHashes(std::uint64_t, std::uint64_t);

// Maps a hash to a uniform value in (0, 1), from its upper 53 bits.
double unitInterval(std::uint64_t hash);

// Rendezvous score of a node for a key: the highest score wins. Weight must be positive.
double rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash, double weight = 1);

// SHA-256 as 64 lower-case hex digits.
std::string sha256Hex(std::string_view bytes);

// HMAC-SHA-256, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view bytes);

// Compares in a time that does not depend on where the strings differ.
bool equalConstantTime(std::string_view, std::string_view);

std::string toHex(std::string_view bytes);

} // namespace briarwharf
