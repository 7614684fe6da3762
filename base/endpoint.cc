#include "base/endpoint.h"

#include "base/number.h"
#include <arpa/inet.h>
#include <array>
#include <optional>

namespace briarwharf {

namespace {

    std::optional<std::string> canonicalAddress(const std::string& text)
    {
        std::array<unsigned char, sizeof(in6_addr)> binary {};
        std::array<char, INET6_ADDRSTRLEN> printed {};
        for (int family : { AF_INET, AF_INET6 }) {
            if (inet_pton(family, text.c_str(), binary.data()) == 1)
                return inet_ntop(family, binary.data(), printed.data(), printed.size());
        }
        return std::nullopt;
    }

} // namespace

Result<Endpoint> parseEndpoint(std::string_view text)
{
    Error error { ErrorKind::InvalidArgument,
        "the address '" + std::string(text.substr(0, 64))
            + "' is not an IP number with a port: give one as 10.0.0.1:8080 or [2001:db8::1]:8080; "
              "host names are not resolved" };
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return error;
    std::string_view host = text.substr(0, colon);
    std::string_view portText = text.substr(colon + 1);
    bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    auto address = canonicalAddress(std::string(host));
    auto port = parseNumber<std::uint16_t>(portText);
    if (!address || port.value_or(0) == 0 || bracketed != (address->find(':') != std::string::npos))
        return error;
    return Endpoint { *address, *port };
}

std::string printEndpoint(const Endpoint& endpoint)
{
    bool bracketed = endpoint.address.find(':') != std::string::npos;
    return (bracketed ? "[" + endpoint.address + "]" : endpoint.address) + ":"
        + std::to_string(endpoint.port);
}

} // namespace briarwharf
