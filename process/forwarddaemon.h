#pragma once

#include "process/directorysource.h"
#include "process/evacuationservice.h"
#include "process/forwarder.h"
#include "process/peermesh.h"
#include "process/quarantinearchive.h"
#include "process/readiness.h"
#include "process/settings.h"
#include <memory>
#include <optional>
#include <string>

namespace briarwharf {

// One instance that forwards requests along the routes of an external source. Owns all components and runs
// them on one event loop.
//
//   ForwardDaemon daemon(base, settings, file, std::make_unique<PlatformSource>(base, options));
//   Status started = daemon.start();
//   event_base_dispatch(base);     // returns at the end of the shutdown that shutDown() starts
class ForwardDaemon {
public:
    // `file`: settings file that reload() reads again; empty: reload() does nothing.
    ForwardDaemon(event_base*, Settings, SettingsSource, std::unique_ptr<DirectorySource>);
    ~ForwardDaemon();
    ForwardDaemon(const ForwardDaemon&) = delete;
    ForwardDaemon& operator=(const ForwardDaemon&) = delete;

    // Errors: Unavailable (an address is already in use).
    Status start();

    // Reads the settings file again. If it is invalid, logs the error and keeps the settings in force.
    void reload();

    // Starts a graceful shutdown: /readyz fails from now on, and requests are served until the load balancer
    // has stopped sending connections and no request is in progress, at the latest until the grace time ends.
    // Then the event loop is stopped.
    void shutDown();

    std::uint16_t callerPort() const { return m_callerPort; }
    std::uint16_t adminPort() const { return m_adminPort; }
    bool isReady() const { return m_forwarder.isReady() && !m_stopping; }
    Readiness readiness() const;
    const Forwarder& forwarder() const { return m_forwarder; }
    const PeerMesh& mesh() const { return m_mesh; }

private:
    void frameReceived(const std::string& peer, const PeerFrameT&);
    void applyUpdate(DirectoryUpdate, std::string_view peer);
    void logUnusable(std::string_view peer, const Error&);
    void applyRouting(RoutingConfig, std::string document, std::string_view from);
    void applyCallerLimits();
    void applyChanges(const DirectoryChanges&, std::string_view from);
    void registryRestored();
    void exchangeDepartures();
    void expireUpstreams(MonotonicTime now);
    void upstreamsChanged(std::string_view from);
    void seedFromSettings();
    void handleAdmin(const IngressRequest&, CallerExchange&);
    std::string metricsText();
    void setMemoryMetrics();
    std::string showText(std::string_view resource) const;
    void tick();
    void checkSettingsFile();
    void checkShutdown();
    void logReadiness();

    event_base* m_base;
    Settings m_settings;
    std::optional<CallerLimits> m_configuredLimits; // of the configuration in force
    SettingsSource m_settingsSource;
    std::int64_t m_fileModifiedNs = 0; // Unix time of the settings file's modification; 0: no file
    std::unique_ptr<DirectorySource> m_source;
    std::shared_ptr<MemoryBudget> m_memory;
    PeerMesh m_mesh;
    DirectoryRelay m_relay;
    InProgressTable m_inProgress;
    UpstreamHealth m_health;
    SegmentQuarantine m_quarantine;
    QuarantineArchive m_quarantineArchive;
    UpstreamLimits m_limits;
    PoolShares m_shares;
    UpstreamDirectory m_directory;
    ForwardMetrics m_metrics;
    Forwarder m_forwarder;
    EvacuationService m_evacuations;
    Ingress m_callers;
    Ingress m_admin;
    Ticker m_ticker;
    Ticker m_fileTicker;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_adminPort = 0;
    MonotonicTime m_startedAt;
    MonotonicTime m_memoryReturnedAt; // when freed memory was last returned to the system
    bool m_stopping = false;
    bool m_readinessLogged = false;
    MonotonicTime m_stoppingSince;
    Milliseconds m_stoppingGrace { 0 }; // promised to the requests in progress, whatever a reload changes
    std::size_t m_cutRequests = 0; // that the end of the grace time ended
};

} // namespace briarwharf
