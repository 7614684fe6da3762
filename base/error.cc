#include "base/error.h"

namespace briarwharf {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid_argument";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::AlreadyExists:
        return "already_exists";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorKind::Unknown:
        return "unknown";
    case ErrorKind::Corrupt:
        return "corrupt";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace briarwharf
