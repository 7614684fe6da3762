#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace briarwharf {

enum class ErrorKind {
    InvalidArgument, // malformed or out of range; the caller must change the input
    NotFound,
    AlreadyExists,
    Conflict, // a concurrent change took effect first; read again and decide anew
    Unauthorized,
    TooLarge,
    Overloaded, // rejected before it ran; retry later
    Unavailable, // the other side cannot be reached; the call had no effect
    DeadlineExceeded,
    Unknown, // sent, but it is not known whether it took effect
    Corrupt, // bytes from outside the process that fail verification
    Internal,
};

// Stable lower-case name, for logs, metrics and JSON ("invalid_argument").
std::string_view errorKindName(ErrorKind);

// The message says what went wrong and how to correct it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

// A value or an Error. Check has_value() or operator bool before value(): a wrong access ends the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// For functions that return no value on success.
using Status = Result<void>;

inline auto ok() { return boost::outcome_v2::success(); }

} // namespace briarwharf
