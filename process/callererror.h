#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/connection.h"
#include "connection/httpserver.h"
#include "request/outcome.h"
#include <optional>
#include <string>

namespace briarwharf {

// The errors that callers can receive. callerErrorStatus() and callerErrorType() give the HTTP status and the
// `type` in the error's JSON for each of them.
enum class CallerErrorKind {
    UnknownKey,
    UnknownModel,
    UnknownPool,
    UnknownPath,
    MethodNotAllowed,
    InvalidJson,
    InvalidRequest,
    BodyTooLarge,
    HeadersTooLarge,
    MissingIdempotencyKey,
    IdempotencyKeyReused, // the key was used before with a different request
    CallInProgress, // another call with the same idempotency key is running
    DeadlineExceeded,
    Overloaded,
    RateLimited,
    NoUpstream,
    NotReady, // the instance has no configuration or is shutting down
    StoreUnavailable, // a call that runs at most once needs the platform's store for its claim
    UpstreamFailed,
    AnswerTruncated,
    AnswerTooLarge,
    OutcomeUnknown,
};

struct CallerError {
    CallerErrorKind kind = CallerErrorKind::UpstreamFailed;
    std::string message;
    std::string remedy;
    Outcome outcome = Outcome::NotRun;
    std::optional<Milliseconds> retryAfter;
};

int callerErrorStatus(CallerErrorKind);
std::string_view callerErrorType(CallerErrorKind);

// JSON of the form {"error": {"type", "message", "remedy", "outcome", "request_id"}}.
std::string callerErrorBody(const CallerError&, const std::string& requestId);

// Sends the error's HTTP status and body, with the headers for outcome and, if set, Retry-After.
void replyError(HttpExchange&, const CallerError&, const std::string& requestId);

// Header names of the caller interface.
namespace header {
    inline constexpr const char* chat = "X-Briarwharf-Chat";
    inline constexpr const char* residence = "X-Briarwharf-Residence";
    inline constexpr const char* deadline = "X-Briarwharf-Deadline-Ms";
    inline constexpr const char* requestId = "X-Briarwharf-Request-Id";
    inline constexpr const char* outcome = "X-Briarwharf-Outcome";
    inline constexpr const char* idempotencyKey = "Idempotency-Key";
    inline constexpr const char* traceparent = "traceparent";
    inline constexpr const char* upstreamRequestId = "X-Request-Id"; // sent to upstreams, which echo it
    inline constexpr const char* notRun = "X-Not-Run"; // sent by upstreams: the request had no effect
    inline constexpr const char* priority = "X-Priority"; // sent to engines: 0 is the most urgent
} // namespace header

} // namespace briarwharf
