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

// A stand-in for one engine, with its HTTP server.
struct EngineFixture {
    EngineFixture(event_base*, const std::string& name, double streamTokensPerSecond);

    EngineModel model;
    EngineServer server;
    std::uint16_t port;
};

// The answer that a client has received so far, and how its exchange ended.
struct ClientAnswer {
    bool finished = false;
    ExchangeResult result;
    int status = 0;
    HttpHeaders headers;
    std::string body;

    std::string header(std::string_view name) const { return findHeader(headers, name).value_or(""); }
};

using ClientAnswerPointer = std::shared_ptr<ClientAnswer>;

// Runs instances and stand-ins for the store, the engines and one service in this process, on one event loop
// with real loopback sockets. Tests wait for conditions and never for a fixed time; only a wait that hangs
// reaches hangTimeout.
class FleetFixture {
public:
    FleetFixture(std::size_t instances, std::size_t engines, double streamTokensPerSecond = 200);
    ~FleetFixture();

    // Runs the loop until the condition holds. Returns false if it does not hold within hangTimeout.
    bool runUntil(const std::function<bool()>& condition);

    // Starts a request and returns without waiting for the answer.
    ClientAnswerPointer send(std::uint16_t port, UpstreamRequest);
    // Starts a request and waits until its exchange ends.
    ClientAnswerPointer call(std::uint16_t port, UpstreamRequest);

    UpstreamRequest chatRequest(const std::string& chat, bool stream, int maxTokens);
    UpstreamRequest bookingRequest(const std::string& idempotencyKey, const std::string& body);

    ClientAnswerPointer command(std::size_t instance, const std::string& text);
    void setFaults(std::uint16_t port, const std::string& json);

    // The concatenated content of the events of a streamed answer.
    static std::string streamText(const ClientAnswer&);

    event_base* base() { return m_base.get(); }
    Daemon& daemon(std::size_t instance) { return *m_daemons.at(instance); }
    // Destroys the instance without a graceful shutdown, so that the others are not notified, and starts a
    // new one with the same settings in its place.
    void replaceDaemon(std::size_t instance);
    std::uint16_t callerPort(std::size_t instance) { return daemon(instance).callerPort(); }
    void stopEngine(std::size_t number) { m_engines.at(number).reset(); }
    EngineFixture& engine(std::size_t number) { return *m_engines.at(number); }
    // Number of calls that the service has run.
    int bookingsRun() const { return m_service.report(false)["total"].get<int>(); }
    std::uint16_t storePort() const { return m_storePort; }
    std::uint16_t servicePort() const { return m_servicePort; }

    // Number of requests that the engine has received.
    std::uint64_t submittedRequests(std::size_t engine);

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
    std::vector<Endpoint> m_peerAddresses;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::uint16_t, std::unique_ptr<UpstreamClient>> m_clients;
};

} // namespace briarwharf
