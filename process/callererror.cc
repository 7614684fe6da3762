#include "process/callererror.h"

#include "base/json.h"
#include <array>

namespace briarwharf {

namespace {

    struct KindProperties {
        int status;
        std::string_view type;
    };

    // In the order of CallerErrorKind.
    constexpr std::array<KindProperties, 22> kindProperties { {
        { 401, "unknown_key" },
        { 404, "unknown_model" },
        { 404, "unknown_pool" },
        { 404, "unknown_path" },
        { 405, "method_not_allowed" },
        { 400, "invalid_json" },
        { 400, "invalid_request" },
        { 413, "body_too_large" },
        { 431, "headers_too_large" },
        { 400, "missing_idempotency_key" },
        { 422, "idempotency_key_reused" },
        { 409, "call_in_progress" },
        { 504, "deadline_exceeded" },
        { 503, "overloaded" },
        { 429, "rate_limited" },
        { 503, "no_upstream" },
        { 503, "not_ready" },
        { 503, "store_unavailable" },
        { 502, "upstream_failed" },
        { 502, "answer_truncated" },
        { 502, "answer_too_large" },
        { 502, "outcome_unknown" },
    } };

    const KindProperties& properties(CallerErrorKind kind)
    {
        return kindProperties[static_cast<std::size_t>(kind)];
    }

    // Retry-After is in whole seconds. The delay is rounded up so that callers do not retry too early.
    std::string retryAfterSeconds(Milliseconds delay)
    {
        constexpr Milliseconds second { 1000 };
        return std::to_string(std::max<std::int64_t>(1, (delay + second - Milliseconds(1)) / second));
    }

} // namespace

int callerErrorStatus(CallerErrorKind kind) { return properties(kind).status; }

std::string_view callerErrorType(CallerErrorKind kind) { return properties(kind).type; }

std::string callerErrorBody(const CallerError& error, const std::string& requestId)
{
    Json fields = {
        { "type", std::string(callerErrorType(error.kind)) },
        { "message", error.message },
        { "remedy", error.remedy },
        { "outcome", std::string(outcomeName(error.outcome)) },
        { "request_id", requestId },
    };
    return dumpJson({ { "error", fields } });
}

void replyError(HttpExchange& exchange, const CallerError& error, const std::string& requestId)
{
    HttpHeaders headers {
        { "Content-Type", "application/json" },
        { header::requestId, requestId },
        { header::outcome, std::string(outcomeName(error.outcome)) },
    };
    if (error.retryAfter)
        headers.push_back({ "Retry-After", retryAfterSeconds(*error.retryAfter) });
    if (error.kind == CallerErrorKind::UnknownKey)
        headers.push_back({ "WWW-Authenticate", "Bearer" });
    exchange.reply(callerErrorStatus(error.kind), headers, callerErrorBody(error, requestId));
}

} // namespace briarwharf
