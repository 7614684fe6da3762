#include "standins/serviceserver.h"

namespace briarwharf {

ServiceServer::ServiceServer(event_base* base, ServiceModel& model, ServiceServerOptions options)
    : m_delays(base)
    , m_model(model)
    , m_options(std::move(options))
    , m_server(base, [this](const StandinRequest& request, const ExchangePointer& exchange) {
        handle(request, exchange);
    })
{
}

void ServiceServer::handle(const StandinRequest& request, const ExchangePointer& exchange)
{
    if (request.method == "GET" && request.path == "/runs")
        return replyJson(exchange, 200, m_model.report(request.argument("keys") != "0"));
    if (request.method == "GET" && request.path == "/health")
        return replyJson(exchange, 200, { { "status", "ok" } });
    if (request.method == "POST" && request.path == "/faults")
        return handleFaults(request, exchange);
    auto fault = m_faults.takePlan();
    if (fault.delay.count() <= 0)
        return run(request, exchange, fault);
    // A call that was received runs even if its caller disconnects during the delay.
    m_delays.run(fault.delay, [this, request, exchange, fault] { run(request, exchange, fault); });
}

void ServiceServer::handleFaults(const StandinRequest& request, const ExchangePointer& exchange)
{
    auto body = parseJson(request.body, "body");
    if (!body)
        return replyError(exchange, 400, "invalid_argument", body.error().message);
    if (booleanField(body.value(), "silence_open").value_or(false))
        m_server.silenceOpenConnections(exchange);
    auto set = m_faults.set(body.value());
    if (!set)
        return replyError(exchange, 400, "invalid_argument", set.error().message);
    replyJson(exchange, 200, Json::object());
}

void ServiceServer::run(
    const StandinRequest& request, const ExchangePointer& exchange, const FaultPlan& fault)
{
    if (fault.refuse)
        return replyError(
            exchange, 503, "overloaded", "refused: a fault is set", { { "X-Not-Run", "true" } });
    if (fault.status)
        return replyError(exchange, *fault.status, "fault", "a fault is set");
    // If the caller names an organisation, keys are counted separately for each organisation.
    auto key = request.header("Idempotency-Key");
    auto organisation = request.header("X-Briarwharf-Organisation");
    if (!key.empty() && !organisation.empty())
        key = organisation + '/' + key;
    auto count = m_model.run(key);
    if (fault.silent)
        return;
    if (fault.close)
        return exchange->cut();
    Json body = { { "service", m_options.name }, { "method", request.method }, { "path", request.path },
        { "run", count }, { "key", request.header("Idempotency-Key") }, { "body", request.body } };
    m_delays.run(m_options.workTime,
        [this, request, exchange, fault, body] { answer(request, exchange, fault, body); });
}

void ServiceServer::answer(
    const StandinRequest& request, const ExchangePointer& exchange, const FaultPlan& fault, const Json& body)
{
    auto id = request.header("X-Request-Id");
    if (fault.crossed)
        id = "crossed-" + id;
    auto text = dumpJson(body);
    if (fault.unframed || fault.truncateAfter) {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + id;
        head += fault.unframed ? "\r\nConnection: close"
                               : "\r\nContent-Length: " + std::to_string(text.size());
        exchange->sendRaw(head + "\r\n\r\n" + text.substr(0, text.size() / 2));
        return exchange->cut();
    }
    exchange->reply(200, text, { { "Content-Type", "application/json" }, { "X-Request-Id", id } });
}

} // namespace briarwharf
