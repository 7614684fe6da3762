#include "process/adminapi.h"

#include "base/base.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds commandTimeout { 5000 };
    constexpr std::string_view bearerPrefix = "Bearer ";

    struct KindStatus {
        ErrorKind kind;
        int status;
    };

    constexpr KindStatus statuses[] = {
        { ErrorKind::InvalidArgument, 400 },
        { ErrorKind::NotFound, 404 },
        { ErrorKind::AlreadyExists, 409 },
        { ErrorKind::Conflict, 409 },
        { ErrorKind::Unauthorized, 401 },
        { ErrorKind::TooLarge, 413 },
        { ErrorKind::Overloaded, 503 },
        { ErrorKind::Unavailable, 503 },
        { ErrorKind::DeadlineExceeded, 504 },
        { ErrorKind::Unknown, 504 },
    };

    int statusFor(ErrorKind kind)
    {
        auto found = std::find_if(std::begin(statuses), std::end(statuses),
            [kind](const KindStatus& entry) { return entry.kind == kind; });
        return found == std::end(statuses) ? 500 : found->status;
    }

    void replyText(HttpExchange& exchange, int status, const std::string& text)
    {
        exchange.reply(status, { { "Content-Type", "text/plain" } }, text + "\n");
    }

} // namespace

AdminApi::AdminApi(Router& router, ConfigService& config, PeerService& peers, FactsSource facts)
    : m_router(router)
    , m_config(config)
    , m_peers(peers)
    , m_facts(std::move(facts))
{
}

void AdminApi::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::string& path = exchange->request().path;
    if (path == "/healthz")
        return replyText(*exchange, 200, "live");
    if (path == "/readyz")
        return handleReady(*exchange);
    if (path == "/metrics")
        return handleMetrics(*exchange);
    if (path == "/operator")
        return handleOperator(exchange);
    replyText(
        *exchange, 404, "there is nothing at " + path + ": use /healthz, /readyz, /metrics or /operator");
}

void AdminApi::handleReady(HttpExchange& exchange)
{
    if (m_router.isStopping())
        return replyText(exchange, 503, "shutting down");
    if (!m_router.config())
        return replyText(exchange, 503, "no configuration yet");
    // Without the store and without peers this instance refuses most requests, so the balancer should send
    // them to other instances.
    bool isolated = !m_peers.relay().current(std::chrono::steady_clock::now()) && m_peers.linkCount() == 0;
    if (isolated)
        return replyText(exchange, 503, "neither the store nor another instance answers");
    replyText(exchange, 200, "ready");
}

void AdminApi::handleMetrics(HttpExchange& exchange)
{
    exchange.reply(200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_router.metrics().serialize());
}

void AdminApi::handleOperator(const std::shared_ptr<HttpExchange>& exchange)
{
    const HttpServerRequest& request = exchange->request();
    std::string authorization = findHeader(request.headers, "Authorization").value_or("");
    std::string token
        = authorization.rfind(bearerPrefix, 0) == 0 ? authorization.substr(bearerPrefix.size()) : "";
    if (!equalConstantTime(sha256Hex(token), m_router.settings().operators.tokenHash))
        return answerError(*exchange,
            { ErrorKind::Unauthorized,
                "the operators' token is missing or wrong: send Authorization: Bearer TOKEN" });
    if (request.method != "POST" || request.bodyTooLarge)
        return answerError(*exchange,
            { ErrorKind::InvalidArgument,
                "an operator request is a POST with commands as its body: send up to 64 KiB of text" });
    auto commands = parseCommands(request.body);
    if (!commands)
        return answerError(*exchange, commands.error());
    runCommands(exchange, std::move(commands.value()));
}

// Appends all changes to the log together. After they took effect, answers the last of the queries.
void AdminApi::runCommands(const std::shared_ptr<HttpExchange>& exchange, std::vector<Command> commands)
{
    std::vector<Command> changes;
    std::vector<Command> queries;
    std::partition_copy(
        commands.begin(), commands.end(), std::back_inserter(queries), std::back_inserter(changes), isQuery);
    auto finish = [this, exchange, queries = std::move(queries)](Result<std::uint64_t> revision) {
        if (!revision)
            return answerError(*exchange, revision.error());
        OperatorAnswer reply;
        reply.revision = revision.value();
        if (!queries.empty()) {
            auto table = show(queries);
            if (!table)
                return answerError(*exchange, table.error());
            reply.table = std::move(table.value());
        }
        answer(*exchange, reply);
    };
    if (changes.empty())
        return finish(m_config.revision());
    if (!m_config.loaded())
        return finish(Error { ErrorKind::Unavailable,
            "this instance has no configuration yet: retry when /readyz answers 200" });
    ChangeOrigin origin { std::chrono::system_clock::now(), "operator",
        findHeader(exchange->request().headers, header::requestId).value_or(randomToken()) };
    m_config.submit(std::move(changes), origin, std::chrono::steady_clock::now() + commandTimeout, finish);
}

Result<Table> AdminApi::show(const std::vector<Command>& queries) const
{
    auto index = m_config.index();
    Config empty;
    const Config& config = index ? index->config() : empty;
    const auto& last = std::get<ShowCommand>(queries.back().statement);
    return showTable(last, config, m_facts());
}

void AdminApi::answer(HttpExchange& exchange, const OperatorAnswer& reply)
{
    int status = reply.error ? statusFor(reply.error->kind) : 200;
    exchange.reply(status, { { "Content-Type", "application/json" } }, dumpJson(answerJson(reply)));
}

void AdminApi::answerError(HttpExchange& exchange, const Error& error)
{
    OperatorAnswer reply;
    reply.revision = m_config.revision();
    reply.error = error;
    answer(exchange, reply);
}

} // namespace briarwharf
