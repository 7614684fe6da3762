#pragma once

#include "connection/eventloop.h"
#include "connection/upstreamclient.h"
#include "process/process.h"
#include "standins/engineserver.h"
#include "standins/serviceserver.h"
#include "standins/storeserver.h"
#include <memory>
#include <string>
#include <vector>

namespace briarwharf {

// One engine stand-in with its HTTP server.
struct EngineFixture {
    EngineFixture(event_base*, const std::string& name, double streamTokensPerSecond);

    EngineModel model;
    EngineServer server;
    std::uint16_t port;
};

// What a client saw of one request.
struct ClientAnswer {
    bool finished = false;
    ExchangeResult result;
    int status = 0;
    HttpHeaders headers;
    std::string body;

    std::string header(std::string_view name) const { return findHeader(headers, name).value_or(""); }
};

using ClientAnswerPointer = std::shared_ptr<ClientAnswer>;

// Instances, a store, engines and one service in this process, on one event loop with real loopback sockets.
// Tests wait for conditions, never for a span of time; a bound that only a hang reaches ends a wait.
class FleetFixture {
public:
    FleetFixture(std::size_t instances, std::size_t engines, double streamTokensPerSecond = 200);
    ~FleetFixture();

    // Runs the loop until the condition holds. False: it did not within the bound.
    bool runUntil(const std::function<bool()>& condition);

    // Starts a request and returns at once.
    ClientAnswerPointer send(std::uint16_t port, UpstreamRequest);
    // Starts a request and waits for its end.
    ClientAnswerPointer call(std::uint16_t port, UpstreamRequest);

    UpstreamRequest chatRequest(const std::string& chat, bool stream, int maxTokens);
    UpstreamRequest bookingRequest(const std::string& idempotencyKey, const std::string& body);

    ClientAnswerPointer command(std::size_t instance, const std::string& text);
    void setFaults(std::uint16_t port, const std::string& json);

    // Text of all content of a streamed answer.
    static std::string streamText(const ClientAnswer&);

    event_base* base() { return m_base.get(); }
    Daemon& daemon(std::size_t instance) { return *m_daemons.at(instance); }
    // Kills the instance without a word to the others and starts a new process in its place.
    void replaceDaemon(std::size_t instance);
    std::uint16_t callerPort(std::size_t instance) { return daemon(instance).callerPort(); }
    void stopEngine(std::size_t number) { m_engines.at(number).reset(); }
    EngineFixture& engine(std::size_t number) { return *m_engines.at(number); }
    // Calls that the service has run.
    int bookingsRun() const { return m_service.report(false)["total"].get<int>(); }
    std::uint16_t storePort() const { return m_storePort; }
    std::uint16_t servicePort() const { return m_servicePort; }

    // Number of engines that have taken a request since the counts were last saved, and which.
    std::uint64_t submitted(std::size_t engine);

private:
    struct BaseDeleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };

    Settings settingsFor(std::size_t instance) const;
    void startDaemon(std::size_t instance);
    void configure();

    std::unique_ptr<event_base, BaseDeleter> m_base;
    StoreModel m_store;
    StoreServer m_storeServer;
    std::uint16_t m_storePort;
    ServiceModel m_service;
    ServiceServer m_serviceServer;
    std::uint16_t m_servicePort;
    std::vector<std::unique_ptr<EngineFixture>> m_engines;
    std::vector<std::uint16_t> m_peerPorts;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::uint16_t, std::unique_ptr<UpstreamClient>> m_clients;
};

} // namespace briarwharf
