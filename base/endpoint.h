#pragma once

#include "base/error.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwharf {

struct Endpoint {
    std::string address; // IP address in its canonical text form
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
    // Lets endpoints be keys of ordered maps.
    bool operator<(const Endpoint& other) const
    {
        return address != other.address ? address < other.address : port < other.port;
    }
};

// Parses an IP address and port ("10.0.0.1:8080", "[::1]:8080"). Errors: InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);
std::string printEndpoint(const Endpoint&);

} // namespace briarwharf
