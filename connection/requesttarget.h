#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

// A request target (RFC 9112, section 3.2) in the form in which it is routed and passed on.
struct RequestTarget {
    std::string authority; // host and port of a target in absolute form; empty: the Host field holds them
    std::string path; // path and query, or "*" for OPTIONS
};

// Parses a target in origin form, in absolute form (http or https) or, for OPTIONS, in asterisk form.
// nullopt: it is not valid, or names a user.
std::optional<RequestTarget> parseRequestTarget(std::string_view method, std::string_view target);

// Whether the text is a valid value of a Host field: an empty one, or a host with or without a port.
bool isHostValue(std::string_view text);

} // namespace briarwharf
