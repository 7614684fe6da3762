#pragma once

#include <string>
#include <unistd.h>

// Addresses for tests in which an address must be known before its listener exists. Header-only, so that
// tests of other folders can use it.
namespace briarwharf {

// Returns the loopback address number `number` (1 to 254) of this process. No other test program that runs at
// the same time binds it, and outgoing connections have 127.0.0.1 as their source, so every port is free.
inline std::string ownLoopbackAddress(std::size_t number)
{
    constexpr int octetValues = 254; // 1 to 254, so that 127.0.0.0/16 stays unused
    int process = getpid();
    return "127." + std::to_string(1 + process / octetValues % octetValues) + "."
        + std::to_string(1 + process % octetValues) + "." + std::to_string(number);
}

} // namespace briarwharf
