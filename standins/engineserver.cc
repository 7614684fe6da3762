#include "standins/engineserver.h"
#include <algorithm>
#include <charconv>
#include <ctime>

namespace briarwharf {

namespace {

    constexpr std::string_view streamPrefix = "/v1/streams/";
    constexpr std::string_view cancelSuffix = "/cancel";
    constexpr std::uint32_t defaultMaxTokens = 32;
    constexpr std::uint32_t maxAnswerTokens = 100000;
    constexpr std::size_t maxEventsInAnswer = 1000;

    const StandinHeaders notRunHeaders { { "X-Not-Run", "true" } };

    std::uint64_t parseCount(std::string_view text)
    {
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    // Text of a message's content, which is a string or a list of objects with a "text" field.
    std::string contentText(const Json& message)
    {
        if (auto text = stringField(message, "content"))
            return *text;
        std::string joined;
        if (message.is_object() && message.contains("content") && message["content"].is_array()) {
            for (const auto& part : message["content"])
                joined += stringField(part, "text").value_or("");
        }
        return joined;
    }

    std::vector<ChatMessage> readMessages(const Json& body)
    {
        std::vector<ChatMessage> messages;
        if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
            return messages;
        for (const auto& message : body["messages"])
            messages.push_back({ stringField(message, "role").value_or("user"), contentText(message) });
        return messages;
    }

    std::uint32_t readMaxTokens(const Json& body)
    {
        auto value = integerField(body, "max_completion_tokens");
        if (!value)
            value = integerField(body, "max_tokens");
        auto tokens = value.value_or(defaultMaxTokens);
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens, 1, maxAnswerTokens));
    }

    Json usage(const EngineJob& job)
    {
        return { { "prompt_tokens", job.promptTokens }, { "completion_tokens", job.maxTokens },
            { "total_tokens", job.promptTokens + job.maxTokens },
            { "prompt_tokens_details", { { "cached_tokens", job.cachedTokens } } } };
    }

    Json envelope(const std::string& id, std::string_view object, const std::string& model)
    {
        return { { "id", id }, { "object", object }, { "created", std::time(nullptr) }, { "model", model } };
    }

    std::string formatEvent(const Json& body) { return "data: " + dumpJson(body) + "\n\n"; }

    // An identifier that no request has. It must not contain the request's own identifier: engines may add a
    // prefix to that, so a router accepts an identifier that contains its own.
    std::string crossedId(const std::string& id) { return "crossed-" + std::to_string(hash64(id)); }

    constexpr std::string_view chunkObject = "chat.completion.chunk";

} // namespace

EngineServer::EngineServer(event_base* base, EngineModel& model, EngineServerOptions options)
    : m_delays(base)
    , m_model(model)
    , m_options(options)
    , m_server(base,
          [this](
              const StandinRequest& request, const ExchangePointer& exchange) { handle(request, exchange); })
    , m_ticker(base, options.tick, [this] { tick(); })
{
}

void EngineServer::handle(const StandinRequest& request, const ExchangePointer& exchange)
{
    if (request.path.starts_with(streamPrefix))
        return handleStreams(request, exchange);
    if (request.method == "POST")
        return handlePost(request, exchange);
    if (request.path == "/load") {
        m_model.advance(clockNow());
        auto report = m_model.report(clockNow());
        return replyJson(exchange, 200,
            { { "tokens_in_progress", report.tokensInProgress },
                { "requests_in_progress", report.requestsInProgress }, { "role", report.role },
                { "version", report.version } });
    }
    if (request.path == "/stats")
        return replyJson(exchange, 200, m_model.stats());
    if (request.path == "/health")
        return replyJson(exchange, 200, { { "status", "ok" } });
    if (request.path == "/cache/events")
        return handleEvents(request, exchange);
    if (request.path == "/v1/models") {
        Json model = { { "id", m_model.state().version }, { "object", "model" } };
        return replyJson(exchange, 200, { { "object", "list" }, { "data", Json::array({ model }) } });
    }
    replyError(exchange, 404, "not_found", "unknown path", notRunHeaders);
}

void EngineServer::handlePost(const StandinRequest& request, const ExchangePointer& exchange)
{
    if (request.path == "/v1/chat/completions")
        return handleChat(request, exchange);
    auto body = parseJson(request.body, "body");
    if (!body)
        return replyError(exchange, 400, "invalid_argument", body.error().message);
    if (request.path == "/orders")
        return handleOrder(body.value(), exchange);
    if (request.path == "/kv/export" || request.path == "/kv/import")
        return handleKv(request.path, body.value(), exchange);
    if (request.path == "/faults")
        return handleFaults(body.value(), exchange);
    replyError(exchange, 404, "not_found", "unknown path", notRunHeaders);
}

void EngineServer::handleFaults(const Json& body, const ExchangePointer& exchange)
{
    if (booleanField(body, "silence_open").value_or(false))
        m_server.silenceOpenConnections(exchange);
    auto set = m_faults.set(body);
    if (!set)
        return replyError(exchange, 400, "invalid_argument", set.error().message);
    replyJson(exchange, 200, Json::object());
}

void EngineServer::handleOrder(const Json& body, const ExchangePointer& exchange)
{
    EngineOrder order { stringField(body, "order").value_or(""),
        static_cast<std::uint64_t>(integerField(body, "fence").value_or(0)),
        stringField(body, "argument").value_or("") };
    auto applied = m_model.order(order, clockNow());
    if (!applied) {
        bool stale = applied.error().kind == ErrorKind::Conflict;
        return replyError(
            exchange, stale ? 409 : 400, errorKindName(applied.error().kind), applied.error().message);
    }
    auto state = m_model.state();
    replyJson(exchange, 200, { { "role", state.role }, { "version", state.version } });
}

void EngineServer::handleKv(const std::string& path, const Json& body, const ExchangePointer& exchange)
{
    if (auto fence = integerField(body, "fence")) {
        auto fresh = m_model.checkFence(static_cast<std::uint64_t>(*fence));
        if (!fresh)
            return replyError(exchange, 409, "conflict", fresh.error().message);
    }
    if (path == "/kv/export") {
        auto blob = m_model.exportContext(stringField(body, "chat").value_or(""));
        if (!blob)
            return replyError(exchange, 404, "not_found", blob.error().message);
        return replyJson(exchange, 200, blob.value());
    }
    auto tokens = m_model.importContext(body, clockNow());
    if (!tokens)
        return replyError(exchange, 400, "invalid_argument", tokens.error().message);
    replyJson(exchange, 200, { { "tokens", tokens.value() } });
}

void EngineServer::handleEvents(const StandinRequest& request, const ExchangePointer& exchange)
{
    auto since = parseCount(request.argument("since"));
    Json events = Json::array();
    for (const auto& event : m_model.events(since, clockNow(), maxEventsInAnswer)) {
        events.push_back({ { "sequence", event.sequence }, { "kind", event.kind }, { "chat", event.chat },
            { "tokens", event.tokens } });
        since = event.sequence;
    }
    replyJson(exchange, 200, { { "events", events }, { "next", since } });
}

void EngineServer::handleChat(const StandinRequest& request, const ExchangePointer& exchange)
{
    auto fault = m_faults.takePlan();
    if (fault.delay.count() <= 0)
        return startChat(request, exchange, fault);
    m_delays.run(fault.delay, [this, request, exchange, fault] {
        if (exchange->open())
            startChat(request, exchange, fault);
    });
}

void EngineServer::startChat(
    const StandinRequest& request, const ExchangePointer& exchange, const FaultPlan& fault)
{
    if (fault.refuse)
        return replyError(exchange, 503, "overloaded", "refused: a fault is set", notRunHeaders);
    if (fault.status)
        return replyError(exchange, *fault.status, "fault", "a fault is set");
    auto body = parseJson(request.body, "body");
    if (!body)
        return replyError(exchange, 400, "invalid_argument", body.error().message, notRunHeaders);
    auto model = stringField(body.value(), "model").value_or("");
    if (!m_model.options().model.empty() && model != m_model.state().version)
        return replyError(exchange, 404, "not_found", "the model is not loaded", notRunHeaders);
    EngineRequest chat;
    chat.id = request.header("X-Request-Id");
    if (chat.id.empty())
        chat.id = randomToken();
    chat.chat = request.header("X-Briarwharf-Chat");
    chat.messages = readMessages(body.value());
    chat.maxTokens = readMaxTokens(body.value());
    chat.priority = integerField(body.value(), "priority").value_or(0);
    auto job = m_model.submit(chat, clockNow());
    if (!job)
        return replyError(exchange, 503, "overloaded", job.error().message, notRunHeaders);
    Call call;
    call.job = job.value();
    call.exchange = exchange;
    call.stream = booleanField(body.value(), "stream").value_or(false);
    call.fault = fault;
    call.answerId = chat.id;
    addCall(std::move(call));
}

void EngineServer::handleStreams(const StandinRequest& request, const ExchangePointer& exchange)
{
    auto id = request.path.substr(streamPrefix.size());
    bool isCancel = id.ends_with(cancelSuffix);
    if (isCancel)
        id.resize(id.size() - cancelSuffix.size());
    m_model.advance(clockNow());
    auto job = m_model.findJob(id);
    if (!job || m_model.job(*job)->state == JobState::Cancelled)
        return replyError(exchange, 404, "not_found", "no stream has this identifier");
    if (isCancel)
        return replyJson(exchange, 200, { { "cancelled", m_model.cancel(*job, clockNow()) } });
    Call call;
    call.job = *job;
    call.exchange = exchange;
    call.stream = true;
    call.nextChunk = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(parseCount(request.argument("offset")), m_model.job(*job)->maxTokens));
    call.answerId = id;
    addCall(std::move(call));
}

void EngineServer::addCall(Call call)
{
    auto pointer = std::make_shared<Call>(std::move(call));
    pointer->answerJob = pointer->job;
    if (pointer->fault.crossed)
        applyCrossedFault(*pointer);
    m_abandoned.erase(pointer->job);
    std::weak_ptr<Call> weak = pointer;
    pointer->exchange->onDisconnect([weak] {
        if (auto locked = weak.lock())
            locked->disconnected = true;
    });
    m_calls.push_back(std::move(pointer));
}

// Gives the call the identifier and text of another call in progress; if there is none, an identifier that no
// request has.
void EngineServer::applyCrossedFault(Call& call) const
{
    call.answerId = crossedId(call.answerId);
    for (const auto& other : m_calls) {
        if (other->job == call.job || other->fault.crossed)
            continue;
        call.answerId = other->answerId;
        call.answerJob = other->job;
        return;
    }
}

void EngineServer::tick()
{
    auto now = clockNow();
    m_model.advance(now);
    for (const auto& call : m_calls) {
        if (!call->disconnected)
            serveCall(*call);
        if (call->disconnected && !call->finished)
            m_abandoned.emplace(call->job, call->stream ? now : MonotonicTime {});
    }
    std::erase_if(m_calls, [](const CallPointer& call) { return call->disconnected || call->finished; });
    for (const auto& call : m_calls)
        m_abandoned.erase(call->job);
    cancelAbandoned(now);
}

void EngineServer::cancelAbandoned(MonotonicTime now)
{
    std::erase_if(m_abandoned, [&](const auto& entry) {
        if (entry.second + m_options.resumeGrace > now)
            return false;
        m_model.cancel(entry.first, now);
        return true;
    });
}

void EngineServer::serveCall(Call& call)
{
    const auto* job = m_model.job(call.job);
    if (!job || job->state == JobState::Cancelled) {
        call.finished = true;
        return call.exchange->cut();
    }
    if (call.fault.silent)
        return;
    if (call.fault.close) {
        call.finished = true;
        return call.exchange->cut();
    }
    if (call.stream)
        serveStream(call, *job);
    else if (job->state == JobState::Done)
        serveWhole(call, *job);
}

// Returns whether a fault prevents the call from sending its next chunk.
bool EngineServer::faultStopsSending(Call& call)
{
    if (call.fault.silentAfter && call.chunksSent >= *call.fault.silentAfter)
        return true;
    if (!call.fault.truncateAfter || call.chunksSent < *call.fault.truncateAfter)
        return false;
    call.finished = true;
    call.exchange->cut();
    return true;
}

void EngineServer::serveStream(Call& call, const EngineJob& job)
{
    if (!call.started) {
        call.started = true;
        call.exchange->startStream(
            { { "Content-Type", "text/event-stream" }, { "X-Request-Id", call.answerId } });
    }
    const auto* shown = m_model.job(call.answerJob);
    auto model = m_model.state().version;
    while (call.nextChunk < job.producedTokens()) {
        if (call.exchange->unsentBytes() > m_options.maxUnsentBytes || faultStopsSending(call))
            return;
        Json delta = { { "content", EngineModel::word(shown ? *shown : job, call.nextChunk) } };
        if (call.nextChunk == 0)
            delta["role"] = "assistant";
        bool crossed = call.fault.crossedAfter && call.chunksSent >= *call.fault.crossedAfter;
        Json chunk = envelope(crossed ? crossedId(call.answerId) : call.answerId, chunkObject, model);
        chunk["choices"]
            = Json::array({ { { "index", 0 }, { "delta", delta }, { "finish_reason", nullptr } } });
        call.exchange->sendChunk(formatEvent(chunk));
        ++call.nextChunk;
        ++call.chunksSent;
    }
    if (job.state == JobState::Done && !faultStopsSending(call))
        endStream(call, job);
}

void EngineServer::endStream(Call& call, const EngineJob& job)
{
    auto model = m_model.state().version;
    Json last = envelope(call.answerId, chunkObject, model);
    last["choices"]
        = Json::array({ { { "index", 0 }, { "delta", Json::object() }, { "finish_reason", "stop" } } });
    Json totals = envelope(call.answerId, chunkObject, model);
    totals["choices"] = Json::array();
    totals["usage"] = usage(job);
    call.exchange->sendChunk(formatEvent(last) + formatEvent(totals) + "data: [DONE]\n\n");
    call.exchange->endStream();
    call.finished = true;
}

void EngineServer::serveWhole(Call& call, const EngineJob& job)
{
    const auto* shown = m_model.job(call.answerJob);
    const auto& source = shown ? *shown : job;
    auto id = call.fault.crossedAfter ? crossedId(call.answerId) : call.answerId;
    Json body = envelope(id, "chat.completion", m_model.state().version);
    Json message = { { "role", "assistant" }, { "content", EngineModel::text(source, source.maxTokens) } };
    body["choices"]
        = Json::array({ { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } } });
    body["usage"] = usage(job);
    call.finished = true;
    auto text = dumpJson(body);
    if (call.fault.silentAfter) {
        call.finished = false;
        call.fault.silent = true;
        return;
    }
    if (call.fault.unframed || call.fault.truncateAfter) {
        std::string head
            = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + call.answerId;
        head += call.fault.unframed ? "\r\nConnection: close"
                                    : "\r\nContent-Length: " + std::to_string(text.size());
        call.exchange->sendRaw(head + "\r\n\r\n" + text.substr(0, text.size() / 2));
        return call.exchange->cut();
    }
    call.exchange->reply(
        200, text, { { "Content-Type", "application/json" }, { "X-Request-Id", call.answerId } });
}

} // namespace briarwharf
