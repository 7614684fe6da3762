#pragma once

#include "base/error.h"
#include "process/adminapi.h"
#include "process/callerapi.h"
#include "process/claims.h"
#include "process/configservice.h"
#include "process/drainservice.h"
#include "process/loadnotices.h"
#include "process/peers.h"
#include "process/residence.h"
#include "process/router.h"
#include "process/settings.h"
#include <memory>

namespace briarwharf {

// Organisations' token rates, shared between the instances. Organisations without a limit are not counted.
class SharedRates : public RateAllowance {
public:
    explicit SharedRates(RateShare& shares)
        : m_shares(shares)
    {
    }

    void apply(const ConfigIndex& index) { m_index = &index; }

    bool tryTake(std::string_view organisation, std::int64_t tokens, MonotonicTime now) override;
    Milliseconds retryAfter(
        std::string_view organisation, std::int64_t tokens, MonotonicTime now) const override;

private:
    bool isLimited(std::string_view organisation) const;

    RateShare& m_shares;
    const ConfigIndex* m_index = nullptr;
};

// One instance: all parts, wired together on one event loop.
//
//   Daemon daemon(base, settings);
//   Status started = daemon.start();
//   event_base_dispatch(base);     // until SIGTERM or SIGINT has been carried out
class Daemon {
public:
    Daemon(event_base*, Settings, HintSigner);

    // Errors: Unavailable (an address is taken).
    Status start();

    // Ports in force, for settings that leave the choice to the system (port 0).
    std::uint16_t callerPort() const { return m_callerPort; }
    std::uint16_t adminPort() const { return m_adminPort; }

    std::size_t openRequests() const { return m_router.openRequests(); }

    // Graceful shutdown: /readyz fails, waiting requests are refused, requests in progress get the grace time
    // of the settings, then the loop ends.
    void shutDown();

private:
    struct ControlBytes {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    void configurationChanged(std::shared_ptr<const ConfigIndex>);
    void upstreamPolled(const UpstreamRuntime&, bool reached, std::uint32_t tokens);
    bool mayGetNewWork(const UpstreamRuntime&) const;
    Router::Parts routerParts();
    void frameReceived(const std::string& peer, const PeerFrameT&);
    void tick();
    void step();
    void pollUpstreams();
    void readLoads();
    void updateMetrics();
    void checkShutdown();
    ControlBytes controlBytes();
    RuntimeFacts facts() const;
    UpstreamFacts upstreamFacts(const UpstreamRuntime&, MonotonicTime now) const;

    event_base* m_base;
    Settings m_settings;
    Metrics m_metrics;
    Tracer m_tracer;
    HttpStore m_store;
    ConfigService m_config;
    PeerService m_peers;
    ClaimGateway m_claims;
    UpstreamSet m_upstreams;
    SharedRates m_rates;
    ResidenceService m_residence;
    Router m_router;
    LoadNoticeService m_notices;
    DrainService m_drains;
    CallerApi m_callerApi;
    AdminApi m_adminApi;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    Ticker m_ticker;
    Ticker m_stepTicker;
    Ticker m_pollTicker;
    Ticker m_metricsTicker;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_adminPort = 0;
    ControlBytes m_lastControlBytes;
    std::optional<MonotonicTime> m_shutdownDeadline;
    std::optional<MonotonicTime> m_listenUntil;
};

} // namespace briarwharf
