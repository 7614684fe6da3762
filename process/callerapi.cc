#include "process/callerapi.h"

#include "base/base.h"
#include "process/chatcall.h"
#include "process/servicecall.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::size_t maxIdentifierBytes = 256;
    constexpr std::string_view bearerPrefix = "Bearer ";

    std::optional<Milliseconds> parseDeadline(const std::string& text)
    {
        auto value = parseNumber<std::int64_t>(text);
        if (!value)
            return std::nullopt;
        return Milliseconds(*value);
    }

    std::string apiKey(const HttpHeaders& headers)
    {
        std::string value = findHeader(headers, "Authorization").value_or("");
        return value.rfind(bearerPrefix, 0) == 0 ? value.substr(bearerPrefix.size()) : "";
    }

    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    }

} // namespace

CallerApi::CallerApi(Router& router, ClaimClient& claims)
    : m_router(router)
    , m_claims(claims)
{
}

void CallerApi::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    CallContext context;
    context.exchange = exchange;
    context.requestId = randomToken();
    context.config = m_router.config();
    const HttpServerRequest& request = exchange->request();
    const auto& limits = m_router.settings().limits;
    if (request.headersTooLarge)
        return fail(context, CallerErrorKind::HeadersTooLarge,
            "the request's headers are over " + std::to_string(limits.maxHeaderBytes) + " bytes",
            "send fewer or shorter headers");
    if (request.bodyTooLarge)
        return fail(context, CallerErrorKind::BodyTooLarge,
            "the request's body is over " + std::to_string(limits.maxBodyBytes) + " bytes",
            "send a shorter body");
    if (!m_router.acceptsRequests())
        return fail(context, CallerErrorKind::NotReady,
            m_router.isStopping() ? "this instance is shutting down"
                                  : "this instance has no configuration yet",
            "retry: the balancer sends the request to another instance");
    context.organisation = context.config->organisationByKeyHash(sha256Hex(apiKey(request.headers)));
    if (!context.organisation)
        return fail(context, CallerErrorKind::UnknownKey, "the API key is missing or unknown",
            "send Authorization: Bearer KEY with the key of your organisation");
    Milliseconds timeout = limits.requestDeadline;
    if (auto text = findHeader(request.headers, header::deadline)) {
        auto requested = parseDeadline(*text);
        if (!requested || *requested > limits.maxRequestDeadline)
            return fail(context, CallerErrorKind::InvalidRequest,
                std::string(header::deadline) + " is not a whole number up to "
                    + std::to_string(limits.maxRequestDeadline.count()),
                "send the milliseconds that you can wait");
        if (*requested <= Milliseconds(0))
            return fail(context, CallerErrorKind::DeadlineExceeded, "the request's deadline has passed",
                "send a longer " + std::string(header::deadline));
        timeout = *requested;
    }
    context.deadline = clockNow() + timeout;
    if (request.path == "/v1/chat/completions")
        return handleChat(context);
    if (request.path == "/v1/models")
        return handleModels(context);
    if (request.path.rfind(servicePrefix, 0) == 0)
        return handleService(context);
    fail(context, CallerErrorKind::UnknownPath, "there is nothing at " + request.path,
        "use /v1/chat/completions, /v1/models or /v1/services/POOL/PATH");
}

Span CallerApi::startSpan(const CallContext& context, const std::string& name)
{
    auto parent
        = parseTraceparent(findHeader(context.exchange->request().headers, header::traceparent).value_or(""));
    Span span = m_router.tracer().startSpan(name, parent, true, std::chrono::system_clock::now());
    span.attributes.push_back({ "request_id", context.requestId });
    span.attributes.push_back({ "organisation", context.organisation->name });
    return span;
}

void CallerApi::handleChat(const CallContext& context)
{
    const HttpServerRequest& request = context.exchange->request();
    if (request.method != "POST")
        return fail(
            context, CallerErrorKind::MethodNotAllowed, "chat completions take POST", "send a POST request");
    auto parsed = parseChatRequest(request.body);
    if (!parsed) {
        bool isJson = parseJson(request.body, "body").has_value();
        return fail(context, isJson ? CallerErrorKind::InvalidRequest : CallerErrorKind::InvalidJson,
            parsed.error().message, "send a chat-completions request as JSON with model and messages");
    }
    const Pool* pool = context.config->poolByModel(parsed.value().model);
    if (!pool)
        return fail(context, CallerErrorKind::UnknownModel,
            "there is no model \"" + parsed.value().model + "\"", "use a model that GET /v1/models lists");
    std::string chat = findHeader(request.headers, header::chat).value_or(parsed.value().derivedChatId);
    if (chat.empty() || chat.size() > maxIdentifierBytes || !isPrintable(chat))
        return fail(context, CallerErrorKind::InvalidRequest,
            std::string(header::chat) + " is not 1 to " + std::to_string(maxIdentifierBytes)
                + " printable characters without spaces",
            "send a shorter identifier without spaces");
    ChatCallInput input;
    input.exchange = context.exchange;
    input.requestId = context.requestId;
    input.request = parsed.value();
    input.chat = chat;
    input.organisation = context.organisation;
    input.pool = pool;
    input.config = context.config;
    input.deadline = context.deadline;
    input.span = startSpan(context, "chat");
    std::make_shared<ChatCall>(m_router, std::move(input))->start();
}

void CallerApi::handleModels(const CallContext& context)
{
    if (context.exchange->request().method != "GET")
        return fail(
            context, CallerErrorKind::MethodNotAllowed, "the list of models takes GET", "send a GET request");
    Json models = Json::array();
    for (const auto& [name, pool] : context.config->config().pools) {
        if (pool.kind == PoolKind::Engine)
            models.push_back({ { "id", pool.model }, { "object", "model" }, { "owned_by", name } });
    }
    HttpHeaders headers { { "Content-Type", "application/json" }, { header::requestId, context.requestId },
        { header::outcome, std::string(outcomeName(Outcome::Completed)) } };
    context.exchange->reply(200, headers, dumpJson({ { "object", "list" }, { "data", models } }));
}

void CallerApi::handleService(const CallContext& context)
{
    const HttpServerRequest& request = context.exchange->request();
    std::string rest = request.path.substr(servicePrefix.size());
    std::size_t slash = rest.find('/');
    std::string poolName = rest.substr(0, slash);
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    const Pool* pool = context.config->poolByName(poolName);
    if (!pool || pool->kind != PoolKind::Service)
        return fail(context, CallerErrorKind::UnknownPool, "there is no service \"" + poolName + "\"",
            "use the name of a service pool in /v1/services/POOL/PATH");
    ServiceCallInput input;
    input.exchange = context.exchange;
    input.requestId = context.requestId;
    input.path = path;
    input.organisation = context.organisation;
    input.pool = pool;
    input.config = context.config;
    input.deadline = context.deadline;
    const Operation* operation = ConfigIndex::findOperation(*pool, request.method, path);
    // An operation that the pool does not declare may have any effect, so it counts as not repeatable.
    input.repeatable = operation && operation->repeatable;
    input.idempotencyKey = findHeader(request.headers, header::idempotencyKey).value_or("");
    if (!input.repeatable
        && (input.idempotencyKey.empty() || input.idempotencyKey.size() > maxIdentifierBytes))
        return fail(context, CallerErrorKind::MissingIdempotencyKey,
            request.method + " " + path + " runs at most once and needs an " + header::idempotencyKey
                + " of 1 to " + std::to_string(maxIdentifierBytes) + " characters",
            "send a key that is unique for each call and equal in its repeats");
    input.span = startSpan(context, "service");
    std::make_shared<ServiceCall>(m_router, m_claims, std::move(input))->start();
}

void CallerApi::fail(
    const CallContext& context, CallerErrorKind kind, const std::string& message, const std::string& remedy)
{
    CallerError error { kind, message, remedy, Outcome::NotRun, std::nullopt };
    if (kind == CallerErrorKind::NotReady)
        error.retryAfter = Milliseconds(1000);
    m_router.metrics().countRequest(
        "none", "none", std::string(outcomeName(Outcome::NotRun)), callerErrorStatus(kind));
    replyError(*context.exchange, error, context.requestId);
}

} // namespace briarwharf
