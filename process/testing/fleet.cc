#include "process/testing/fleet.h"

#include "base/base.h"
#include "connection/testing/loopback.h"
#include <doctest/doctest.h>

namespace briarwharf {

namespace {

    constexpr const char* apiKey = "test-api-key-0123456789";
    constexpr const char* operatorToken = "test-operator-token";
    constexpr Milliseconds hangTimeout { 30000 }; // a wait this long fails the test

    EngineOptions engineOptions(const std::string& name, double streamTokensPerSecond)
    {
        EngineOptions options;
        options.name = name;
        options.model = "model-1";
        options.streamTokensPerSecond = streamTokensPerSecond;
        options.tokensPerSecond = std::max(options.tokensPerSecond, streamTokensPerSecond);
        return options;
    }

    EngineServerOptions engineServerOptions()
    {
        EngineServerOptions options;
        options.tick = Milliseconds(5);
        return options;
    }

    constexpr std::uint16_t peerPort = 7400;

    std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

} // namespace

EngineFixture::EngineFixture(event_base* base, const std::string& name, double streamTokensPerSecond)
    : model(engineOptions(name, streamTokensPerSecond))
    , server(base, model, engineServerOptions())
    , port(server.listen(0).value())
{
}

FleetFixture::FleetFixture(std::size_t instances, std::size_t engines, double streamTokensPerSecond)
    : m_base(event_base_new())
    , m_storeServer(m_base.get(), m_store)
    , m_storePort(m_storeServer.listen(0).value())
    , m_serviceServer(m_base.get(), m_service, { "desk", Milliseconds(1) })
    , m_servicePort(m_serviceServer.listen(0).value())
{
    ignoreBrokenPipes();
    configureLogging("error");
    for (std::size_t i = 0; i < engines; ++i)
        m_engines.push_back(std::make_unique<EngineFixture>(
            m_base.get(), "engine-" + std::to_string(i), streamTokensPerSecond));
    Json list = Json::array();
    for (std::size_t i = 0; i < instances; ++i) {
        m_peerAddresses.push_back({ ownLoopbackAddress(i + 1), peerPort });
        list.push_back({ { "id", "entry-" + std::to_string(i) },
            { "address", printEndpoint(m_peerAddresses.back()) }, { "failure_domain", "a" } });
    }
    m_store.setInstances(list, std::chrono::steady_clock::now(), Milliseconds(0));
    m_daemons.resize(instances);
    for (std::size_t i = 0; i < instances; ++i)
        startDaemon(i);
    configure();
}

FleetFixture::~FleetFixture() = default;

void FleetFixture::startDaemon(std::size_t instance)
{
    Settings settings = settingsFor(instance);
    auto hints = HintSigner::create({ settings.hint.key, "" });
    m_daemons.at(instance) = std::make_unique<Daemon>(m_base.get(), settings, std::move(hints.value()));
    REQUIRE(m_daemons.at(instance)->start().has_value());
}

void FleetFixture::replaceDaemon(std::size_t instance)
{
    m_daemons.at(instance).reset();
    startDaemon(instance);
}

Settings FleetFixture::settingsFor(std::size_t instance) const
{
    Settings settings;
    settings.instance.id = "entry-" + std::to_string(instance);
    settings.listen.callers.port = 0;
    settings.listen.admin.port = 0;
    settings.listen.peers = m_peerAddresses[instance];
    settings.store.endpoint.port = m_storePort;
    settings.store.timeout = Milliseconds(500);
    settings.operators.tokenHash = sha256Hex(operatorToken);
    settings.hint.key = "test-hint-key-0123456789";
    settings.limits.upstreamSilence = Milliseconds(300);
    settings.limits.streamBufferBytes = 16 * 1024;
    settings.limits.slowCallerTimeout = Milliseconds(300);
    return settings;
}

void FleetFixture::configure()
{
    UpstreamRequest ready;
    ready.method = "GET";
    ready.target = "/readyz";
    for (const auto& instance : m_daemons)
        REQUIRE(runUntil([&] { return call(instance->adminPort(), ready)->status == 200; }));
    std::string text = "CREATE ORGANISATION org KEY '" + std::string(apiKey)
        + "'; CREATE POOL models KIND ENGINE MODEL 'model-1'; CREATE POOL desk KIND SERVICE; "
          "ADD UPSTREAM desk-1 POOL desk ADDRESS "
        + loopback(m_servicePort) + " DOMAIN a REPORTS_STATE false";
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        text += "; ADD UPSTREAM engine-" + std::to_string(i) + " POOL models ADDRESS "
            + loopback(m_engines[i]->port) + " DOMAIN a";
    auto accepted = command(0, text);
    REQUIRE_MESSAGE(accepted->status == 200, accepted->body);
    UpstreamRequest models;
    models.method = "GET";
    models.target = "/v1/models";
    models.headers = { { "Authorization", std::string("Bearer ") + apiKey } };
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        REQUIRE(runUntil([&] { return call(callerPort(i), models)->status == 200; }));
}

bool FleetFixture::runUntil(const std::function<bool()>& condition)
{
    bool hung = false;
    Timer guard(m_base.get(), [&] { hung = true; });
    guard.start(hangTimeout);
    while (!hung && !condition())
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    return !hung;
}

ClientAnswerPointer FleetFixture::send(std::uint16_t port, UpstreamRequest request)
{
    auto& client = m_clients[port];
    if (!client)
        client = std::make_unique<UpstreamClient>(m_base.get(), "127.0.0.1", port);
    request.silenceTimeout = hangTimeout;
    request.deadline = hangTimeout;
    auto answer = std::make_shared<ClientAnswer>();
    client->start(request,
        { [answer](const ResponseHead& head) {
             answer->status = head.status;
             answer->headers = head.headers;
         },
            [answer](std::string_view data) { answer->body.append(data); },
            [answer](const ExchangeResult& result) {
                answer->result = result;
                answer->finished = true;
            } });
    return answer;
}

ClientAnswerPointer FleetFixture::call(std::uint16_t port, UpstreamRequest request)
{
    auto answer = send(port, std::move(request));
    CHECK(runUntil([&] { return answer->finished; }));
    return answer;
}

UpstreamRequest FleetFixture::chatRequest(const std::string& chat, bool stream, int maxTokens)
{
    Json body = {
        { "model", "model-1" },
        { "stream", stream },
        { "max_tokens", maxTokens },
        { "messages", Json::array({ { { "role", "user" }, { "content", "question of " + chat } } }) },
    };
    UpstreamRequest request;
    request.target = "/v1/chat/completions";
    request.headers = { { "Authorization", std::string("Bearer ") + apiKey }, { header::chat, chat } };
    request.body = dumpJson(body);
    return request;
}

UpstreamRequest FleetFixture::bookingRequest(const std::string& idempotencyKey, const std::string& body)
{
    UpstreamRequest request;
    request.target = "/v1/services/desk/bookings";
    request.headers = { { "Authorization", std::string("Bearer ") + apiKey } };
    if (!idempotencyKey.empty())
        request.headers.push_back({ header::idempotencyKey, idempotencyKey });
    request.body = body;
    return request;
}

ClientAnswerPointer FleetFixture::command(std::size_t instance, const std::string& text)
{
    UpstreamRequest request;
    request.target = "/operator";
    request.headers = { { "Authorization", std::string("Bearer ") + operatorToken } };
    request.body = text;
    return call(daemon(instance).adminPort(), request);
}

void FleetFixture::setFaults(std::uint16_t port, const std::string& json)
{
    UpstreamRequest request;
    request.target = "/faults";
    request.body = json;
    CHECK(call(port, request)->status == 200);
}

std::string FleetFixture::streamText(const ClientAnswer& answer)
{
    std::string text;
    EventStreamParser parser(1024 * 1024, [&](std::string_view data) {
        auto event = parseJson(data, "event");
        if (!event || !event.value().contains("choices") || event.value()["choices"].empty())
            return;
        text += stringField(event.value()["choices"][0]["delta"], "content").value_or("");
    });
    parser.feed(answer.body);
    return text;
}

std::uint64_t FleetFixture::submittedRequests(std::size_t engine)
{
    return m_engines.at(engine)->model.stats()["submitted"].get<std::uint64_t>();
}

} // namespace briarwharf
