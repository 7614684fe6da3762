#pragma once

#include "process/directorysource.h"
#include "process/forwarder.h"
#include "process/peermesh.h"
#include "process/settings.h"
#include <memory>
#include <optional>
#include <string>

namespace briarwharf {

// One instance that forwards routes of an external source: all parts, wired together on one event loop.
//
//   ForwardDaemon daemon(base, settings, file, std::make_unique<PlatformSource>(base, options));
//   Status started = daemon.start();
//   event_base_dispatch(base);     // until shutDown() has been carried out
class ForwardDaemon {
public:
    // `file` is read again by reload(); empty: never.
    ForwardDaemon(event_base*, Settings, std::string file, std::unique_ptr<DirectorySource>);
    ~ForwardDaemon();
    ForwardDaemon(const ForwardDaemon&) = delete;
    ForwardDaemon& operator=(const ForwardDaemon&) = delete;

    // Errors: Unavailable (an address is taken).
    Status start();

    // Reads the settings file again. Settings that cannot be used are logged, and the old ones stay.
    void reload();

    // Graceful shutdown: /readyz fails at once, requests are served until the balancer has noticed and
    // nothing is in progress, at the latest until the grace time ends; then the loop ends.
    void shutDown();

    std::uint16_t callerPort() const { return m_callerPort; }
    std::uint16_t adminPort() const { return m_adminPort; }
    bool isReady() const { return m_forwarder.isReady() && !m_stopping; }
    const Forwarder& forwarder() const { return m_forwarder; }
    const PeerMesh& mesh() const { return m_mesh; }

private:
    void frameReceived(const std::string& peer, const PeerFrameT&);
    void applyUpdate(DirectoryUpdate, std::string_view peer);
    void logUnusable(std::string_view peer, const Error&);
    void applyRouting(RoutingConfig, std::string document, std::string_view from);
    void applyChanges(const DirectoryChanges&, std::string_view from);
    void upstreamsChanged(std::string_view from);
    void seedFromSettings();
    void handleAdmin(const IngressRequest&, CallerExchange&);
    std::string metricsText();
    std::string showText(std::string_view what) const;
    void tick();
    void checkSettingsFile();
    void checkShutdown();
    void logReadiness();

    event_base* m_base;
    Settings m_settings;
    std::string m_file;
    std::int64_t m_fileModifiedNs = 0; // modification time of the settings file
    std::unique_ptr<DirectorySource> m_source;
    PeerMesh m_mesh;
    DirectoryRelay m_relay;
    InProgressTable m_inProgress;
    UpstreamHealth m_health;
    UpstreamDirectory m_directory;
    ForwardMetrics m_metrics;
    Forwarder m_forwarder;
    Ingress m_callers;
    Ingress m_admin;
    Ticker m_ticker;
    Ticker m_fileTicker;
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_adminPort = 0;
    MonotonicTime m_startedAt;
    bool m_stopping = false;
    bool m_readinessLogged = false;
    MonotonicTime m_stoppingSince;
};

} // namespace briarwharf
