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

// Limits the organisations' token rates over all instances. The tokens of organisations without a limit are
// not counted.
class SharedRates : public RateAllowance {
public:
    explicit SharedRates(RateShare& shares)
        : m_shares(shares)
    {
    }

    // The index must stay valid until the next call.
    void apply(const ConfigIndex& index) { m_index = &index; }

    bool tryTake(std::string_view organisation, std::int64_t tokens, MonotonicTime now) override;
    Milliseconds retryAfter(
        std::string_view organisation, std::int64_t tokens, MonotonicTime now) const override;

private:
    bool isLimited(std::string_view organisation) const;

    RateShare& m_shares;
    const ConfigIndex* m_index = nullptr;
};

// One instance of the router: creates all its services, connects them and runs them on one event loop.
//
//   Daemon daemon(base, settings, hints);
//   Status started = daemon.start();
//   event_base_dispatch(base); // returns when a shutdown after SIGTERM or SIGINT is complete
class Daemon {
public:
    Daemon(event_base*, Settings, HintSigner);

    // Errors: Unavailable (an address is already in use).
    Status start();

    // The ports on which the instance listens. They differ from the settings if those let the system choose
    // (port 0).
    std::uint16_t callerPort() const { return m_callerPort; }
    std::uint16_t adminPort() const { return m_adminPort; }

    std::size_t openRequests() const { return m_router.openRequests(); }

    // Starts a graceful shutdown: /readyz fails, waiting requests are refused, and the event loop ends when
    // the requests in progress are finished and their claims settled, or when the settings' grace time ends.
    void shutDown();

private:
    struct ControlBytes {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    void configurationChanged(std::shared_ptr<const ConfigIndex>);
    void upstreamPolled(const UpstreamRuntime&, bool reached, std::uint32_t tokens);
    bool mayGetNewWork(const UpstreamRuntime&) const;
    Router::Dependencies routerDependencies();
    void frameReceived(const std::string& peer, const PeerFrameT&);
    void tick();
    void slowTick();
    void pollUpstreams();
    void updateLedgers();
    void updateMetrics();
    void checkShutdown();
    ControlBytes updateControlBytes();
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
    Ticker m_slowTicker;
    Ticker m_pollTicker;
    Ticker m_metricsTicker;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_adminPort = 0;
    ControlBytes m_lastControlBytes;
    std::optional<MonotonicTime> m_shutdownDeadline;
    std::optional<MonotonicTime> m_listenUntil;
};

} // namespace briarwharf
