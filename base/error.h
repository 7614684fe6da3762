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
    Conflict, // lost against a concurrent change; re-read and decide again
    Unauthorized,
    TooLarge,
    Overloaded, // refused before running; retry later
    Unavailable, // the other side cannot be reached; nothing was done
    DeadlineExceeded,
    Unknown, // sent, but whether it took effect is not known
    Corrupt, // outside bytes that fail verification
    Internal,
};

// Stable lower-case name, for logs, metrics and JSON ("invalid_argument").
std::string_view errorKindName(ErrorKind);

// What went wrong; the message also names the remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

// Value or Error. Check hasValue() / operator bool before value(): reading the wrong side terminates.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// For functions that return no value on success.
using Status = Result<void>;

inline auto ok() { return boost::outcome_v2::success(); }

} // namespace briarwharf
