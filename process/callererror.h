#pragma once

#include "base/error.h"
#include "base/time.h"
#include "connection/connection.h"
#include "connection/httpserver.h"
#include "request/outcome.h"
#include <optional>
#include <string>

namespace briarwharf {

// What callers can be told, each with its HTTP status and `type` in the error's JSON.
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
    IdempotencyKeyReused, // with another body
    CallInProgress, // the same key is being run by another request
    DeadlineExceeded,
    Overloaded,
    RateLimited,
    NoUpstream,
    NotReady, // the instance has no configuration or is shutting down
    StoreUnavailable, // calls that run at most once need the platform's store
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

// {"error": {"type", "message", "remedy", "outcome", "request_id"}}
std::string callerErrorBody(const CallerError&, const std::string& requestId);

// Answers with the error's status, body, outcome and Retry-After.
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
    inline constexpr const char* upstreamRequestId = "X-Request-Id"; // towards upstreams, echoed by them
    inline constexpr const char* notRun = "X-Not-Run"; // from upstreams: the request had no effect
    inline constexpr const char* priority = "X-Priority"; // towards engines: 0 is the most urgent
} // namespace header

} // namespace briarwharf
