#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace briarwharf {

// Seeded pseudo-random numbers for decisions and tests; the same seed gives the same sequence.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() { return m_engine(); }

    // Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }

    // Uniform in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11) / 9007199254740992.0; }

    bool chance(double probability) { return unit() < probability; }

    // Exponentially distributed with the given mean.
    double exponential(double mean);

private:
    std::mt19937_64 m_engine;
};

// 128 bits from OpenSSL's cryptographic generator as 32 hex digits, for identifiers and tokens.
std::string randomToken();

// A seed from OpenSSL's cryptographic generator.
std::uint64_t randomSeed();

} // namespace briarwharf
