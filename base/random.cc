#include "base/random.h"

#include "base/hash.h"
#include <array>
#include <cmath>
#include <openssl/rand.h>

namespace briarwharf {

double Random::exponential(double mean) { return -mean * std::log(1 - unit()); }

std::string randomToken()
{
    std::array<unsigned char, 16> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
    return seed;
}

} // namespace briarwharf
