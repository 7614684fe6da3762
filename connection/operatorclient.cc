#include "connection/operatorclient.h"

#include <utility>

namespace briarwharf {

namespace {

    // A table of all upstreams at the target scale takes about 1 MB.
    constexpr std::size_t maxAnswerBytes = 32 * 1024 * 1024;

} // namespace

OperatorClient::OperatorClient(event_base* base, OperatorClientOptions options)
    : m_base(base)
    , m_options(std::move(options))
{
    for (const AdminAddress& server : m_options.servers)
        m_clients.push_back(std::make_unique<UpstreamClient>(m_base, server.address, server.port));
}

void OperatorClient::send(const std::string& commands, const std::string& requestId, Callback callback)
{
    m_callback = std::move(callback);
    m_request = {};
    m_request.target = "/operator";
    m_request.headers = { { "Authorization", "Bearer " + m_options.token }, { "Content-Type", "text/plain" },
        { "Accept", "application/json" }, { "X-Briarwharf-Request-Id", requestId } };
    m_request.body = commands;
    m_request.deadline = m_options.timeout;
    m_request.silenceTimeout = m_options.timeout;
    m_request.maxAnswerBytes = maxAnswerBytes;
    m_request.freshConnection = true;
    runLater(m_base, [this] { tryServer(0); });
}

void OperatorClient::tryServer(std::size_t index)
{
    if (index >= m_clients.size())
        return std::exchange(m_callback, nullptr)(m_reply);
    const AdminAddress& server = m_options.servers[index];
    bool bracketed = server.address.find(':') != std::string::npos;
    m_reply = {};
    m_reply.server
        = (bracketed ? "[" + server.address + "]" : server.address) + ":" + std::to_string(server.port);
    m_clients[index]->start(m_request,
        { [this](const ResponseHead& head) { m_reply.status = head.status; },
            [this](std::string_view data) { m_reply.body += data; },
            [this, index](const ExchangeResult& result) { handleEnd(index, result); } });
}

void OperatorClient::handleEnd(std::size_t index, const ExchangeResult& result)
{
    m_reply.end = result.end;
    if (result.end != ExchangeEnd::Complete && !result.requestWritten)
        return runLater(m_base, [this, index] { tryServer(index + 1); });
    m_reply.delivery
        = result.end == ExchangeEnd::Complete ? CommandDelivery::Answered : CommandDelivery::Unknown;
    std::exchange(m_callback, nullptr)(m_reply);
}

} // namespace briarwharf
