#include "process/forwarddaemon.h"

#include "base/base.h"
#include "base/hash.h"
#include <algorithm>
#include <sys/stat.h>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds tickInterval { 100 };
    constexpr Milliseconds fileCheckInterval { 2000 };

    // After SIGTERM the load balancer sends new connections until two of its health checks, which are 1 s
    // apart, have failed.
    constexpr Milliseconds balancerDetectionDelay { 2500 };
    // After that delay, connections that have been idle for at least this long are closed. On one that was
    // opened or used more recently, the caller's next request may already be on its way.
    constexpr Milliseconds minIdle { 500 };
    // Requests must end, and the process exits, this long before the end of the grace time.
    constexpr Milliseconds exitMargin { 300 };

    // Descriptors for files, the log and the program itself.
    constexpr std::int64_t fileDescriptors = 200;
    // Parts of the other descriptors that callers and upstreams may have. The rest is for peers, the store,
    // health checks and operators.
    constexpr double callerDescriptorShare = 0.6;
    constexpr double upstreamDescriptorShare = 0.3;

    // An older state may not be the newest one. Longer than a watch in calm; with the time after which a
    // registry removes a silent entry, shorter than DirectoryOptions::doubtPeriod.
    constexpr Milliseconds maxConfirmedAge { 6000 };

    // Freed memory is returned to the system at most this often: it blocks the event loop.
    constexpr Milliseconds memoryReturnInterval { 2000 };
    // Part of the memory budget that unfinished answers may use.
    constexpr std::size_t answerShareDivisor = 3;
    // Operators' connections have a budget of their own, so that callers cannot use it up.
    constexpr std::size_t adminBudgetBytes = 4 * 1024 * 1024;

    constexpr std::size_t maxAdminHeadBytes = 8 * 1024;
    constexpr std::size_t maxAdminBodyBytes = 64 * 1024;

    InstanceIdentity identityOf(const Settings& settings)
    {
        InstanceIdentity identity;
        // Peers identify the instance by its address, because the settings list seeds by address only.
        identity.id = identity.address = printEndpoint(settings.listen.peers);
        identity.failureDomain = settings.instance.failureDomain;
        identity.incarnation = static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
        return identity;
    }

    FleetRetryBudgetSettings budgetOf(const Settings& settings)
    {
        FleetRetryBudgetSettings budget;
        budget.ratio = settings.fleet.retryRatio;
        budget.slack = settings.fleet.retrySlack;
        budget.window = settings.fleet.retryWindow;
        return budget;
    }

    UpstreamLimitsOptions limitsOptions(const Settings& settings)
    {
        UpstreamLimitsOptions options;
        options.coldBound.factor = settings.fleet.coldBurstRatio;
        options.coldBound.extra = settings.fleet.coldBurstRequests;
        return options;
    }

    // 0: no descriptors are stated.
    std::size_t descriptors(const Settings& settings, double share)
    {
        std::int64_t stated = settings.limits.maxFds;
        return stated == 0 ? 0
                           : static_cast<std::size_t>(static_cast<double>(stated - fileDescriptors) * share);
    }

    std::size_t maxCallerConnections(const Settings& settings)
    {
        auto configured = static_cast<std::size_t>(settings.limits.maxConnections);
        std::size_t available = descriptors(settings, callerDescriptorShare);
        return available == 0 ? configured : std::min(configured, available);
    }

    std::size_t maxUnfinishedAnswerBytes(const Settings& settings)
    {
        return std::min(ForwarderSettings {}.maxBufferedBytes,
            memoryBudgetBytes(settings.limits.memoryMb) / answerShareDivisor);
    }

    HedgeSettings hedgingOf(const Settings& settings)
    {
        HedgeSettings hedging;
        hedging.ratio = settings.fleet.hedgeRatio;
        hedging.quantile = settings.fleet.hedgeQuantile;
        hedging.window = settings.fleet.retryWindow;
        hedging.seed = std::max<std::uint64_t>(1, hash64(settings.instance.id));
        return hedging;
    }

    ForwarderSettings forwarderSettings(const Settings& settings, std::shared_ptr<MemoryBudget> memory)
    {
        ForwarderSettings result;
        result.memory = std::move(memory);
        result.maxBufferedBytes = maxUnfinishedAnswerBytes(settings);
        result.maxUpstreamConnections = descriptors(settings, upstreamDescriptorShare);
        result.failureDomain = settings.instance.failureDomain;
        result.budget = budgetOf(settings);
        result.fairShares = settings.fleet.fairShares;
        result.hedging = hedgingOf(settings);
        result.streamBufferBytes = static_cast<std::size_t>(settings.limits.streamBufferBytes);
        return result;
    }

    IngressLimits ingressLimits(const Settings& settings)
    {
        IngressLimits limits;
        limits.maxHeadBytes = static_cast<std::size_t>(settings.limits.maxHeaderBytes);
        limits.maxBodyBytes = static_cast<std::size_t>(settings.limits.maxBodyBytes);
        limits.maxConnections = maxCallerConnections(settings);
        limits.requiresHost = true;
        return limits;
    }

    IngressLimits adminLimits()
    {
        IngressLimits limits;
        limits.maxHeadBytes = maxAdminHeadBytes;
        limits.maxBodyBytes = maxAdminBodyBytes;
        limits.maxConnections = 100;
        limits.maxBufferedBytes = adminBudgetBytes;
        return limits;
    }

    DirectoryOptions directoryOptions(const Settings& settings)
    {
        DirectoryOptions options;
        options.lapseHold = settings.directory.lapseHold;
        return options;
    }

    // Plain services answer some of their calls with errors in normal operation, so an error adds only a
    // small penalty. A broken connection leaves the outcome of a call unknown, so the second one within a few
    // seconds makes the upstream unusable.
    UpstreamHealthOptions healthOptions()
    {
        UpstreamHealthOptions options;
        options.errorPenalty = 0.7;
        options.badAbove = 3.5;
        options.halfLife = Milliseconds(3000);
        return options;
    }

    std::int64_t modificationTimeNs(const std::string& file)
    {
        struct stat status { };
        if (file.empty() || ::stat(file.c_str(), &status) != 0)
            return 0;
        return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1000000000 + status.st_mtim.tv_nsec;
    }

} // namespace

ForwardDaemon::ForwardDaemon(event_base* base, Settings settings, SettingsSource settingsSource,
    std::unique_ptr<DirectorySource> source)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_settingsSource(std::move(settingsSource))
    , m_fileModifiedNs(modificationTimeNs(m_settingsSource.file))
    , m_source(std::move(source))
    , m_memory(std::make_shared<MemoryBudget>(memoryBudgetBytes(m_settings.limits.memoryMb)))
    , m_mesh(
          base, identityOf(m_settings),
          [this](const std::string& peer, const PeerFrameT& frame) { frameReceived(peer, frame); }, m_memory)
    , m_relay({}, m_mesh.membership(), m_mesh.outbox())
    , m_inProgress(m_mesh.membership(), {})
    , m_health(healthOptions())
    , m_quarantine(m_mesh.membership())
    , m_quarantineArchive(m_mesh.membership(), m_quarantine, *m_source)
    , m_limits(m_mesh.membership(), limitsOptions(m_settings))
    , m_shares(m_mesh.membership())
    , m_directory(directoryOptions(m_settings))
    , m_forwarder(base, forwarderSettings(m_settings, m_memory), m_source->headers(),
          { m_inProgress, m_health, m_quarantine, m_limits, m_shares }, m_metrics)
    , m_evacuations(m_settings.directory.evacuations, { m_relay, m_directory, m_inProgress, m_forwarder })
    , m_callers(
          base, ingressLimits(m_settings),
          [this](IngressRequest request, CallerExchange& caller) {
              m_forwarder.handle(std::move(request), caller);
          },
          m_memory)
    , m_admin(base, adminLimits(),
          [this](const IngressRequest& request, CallerExchange& caller) { handleAdmin(request, caller); })
    , m_ticker(base, tickInterval, [this] { tick(); })
    , m_fileTicker(base, fileCheckInterval, [this] { checkSettingsFile(); })
    , m_startedAt(clockNow())
{
    for (HeartbeatSection* section : std::initializer_list<HeartbeatSection*> {
             &m_relay, &m_inProgress, &m_health, &m_quarantine, &m_limits, &m_shares })
        m_mesh.membership().addSection(*section);
}

ForwardDaemon::~ForwardDaemon() = default;

Status ForwardDaemon::start()
{
    auto callerPort = m_callers.listen(m_settings.listen.callers);
    if (!callerPort)
        return callerPort.error();
    m_callerPort = callerPort.value();
    auto adminPort = m_admin.listen(m_settings.listen.admin);
    if (!adminPort)
        return adminPort.error();
    m_adminPort = adminPort.value();
    Status peers = m_mesh.listen();
    if (!peers)
        return peers;
    LogLine(LogLevel::Info, "process", "started")
        .field("instance", m_settings.instance.id)
        .field("domain", m_settings.instance.failureDomain)
        .field("callers", printEndpoint(m_settings.listen.callers))
        .field("peers", m_mesh.membership().self().address)
        .field("store", printEndpoint(m_settings.store.endpoint))
        .field("seeds", m_settings.fleet.seeds.size())
        .field("memory_mb", m_settings.limits.memoryMb)
        .field("max_fds", m_settings.limits.maxFds)
        .field("evacuations", m_settings.directory.evacuations);
    for (const std::string& value : m_settings.unrendered)
        LogLine(LogLevel::Warning, "process", "unrendered").field("value", value);
    seedFromSettings();
    m_source->start({ [this](RoutingConfig config, std::string document) {
                         applyRouting(std::move(config), std::move(document), "source");
                     },
        [this](const DirectoryChanges& changes) { applyChanges(changes, "source"); },
        [this](const std::vector<ListedInstance>& instances) { m_mesh.seed(instances); },
        [this](const std::string& address) {
            const auto& usable = m_mesh.membership().usable(); // an instance's id is its address
            return std::binary_search(usable.begin(), usable.end(), address);
        },
        [this](const std::vector<SavedQuarantine>& saved) {
            m_quarantineArchive.restore(saved, clockNow(), std::chrono::system_clock::now());
        },
        [this](const EvacuationChanges& changes) {
            m_evacuations.apply(changes);
            logReadiness();
        } });
    return ok();
}

// All instances listen for peers on the same port, so this instance's own peer port is used for every seed.
void ForwardDaemon::seedFromSettings()
{
    std::vector<ListedInstance> seeds;
    for (const Endpoint& seed : m_settings.fleet.seeds) {
        std::string address = printEndpoint({ seed.address, m_settings.listen.peers.port });
        seeds.push_back({ address, address, "" });
    }
    m_mesh.seed(seeds);
}

void ForwardDaemon::frameReceived(const std::string& peer, const PeerFrameT& frame)
{
    if (const auto* fetch = frame.body.AsDirectoryFetch()) {
        m_relay.receive(peer, *fetch, m_directory, clockNow());
    } else if (const auto* push = frame.body.AsDirectoryPush()) {
        auto update = m_relay.receive(peer, *push);
        if (update)
            applyUpdate(std::move(update.value()), peer);
        else
            logUnusable(peer, update.error());
    }
}

void ForwardDaemon::applyUpdate(DirectoryUpdate update, std::string_view peer)
{
    // First, so that no request goes to an evacuated domain when the rest makes this instance ready.
    m_evacuations.learn(update.evacuations, peer);
    if (update.changes)
        applyChanges(*update.changes, peer);
    if (update.routingVersion <= m_relay.routingVersion())
        return;
    auto config = m_source->decodeRouting(update.routingDocument);
    if (config)
        applyRouting(std::move(config.value()), std::move(update.routingDocument), peer);
    else
        logUnusable(peer, config.error());
}

void ForwardDaemon::logUnusable(std::string_view peer, const Error& error)
{
    LogLine(LogLevel::Warning, "directory", "unusable").field("from", peer).field("message", error.message);
}

// Ignores a version that is not higher than the one in force, whether the source or a peer sent it.
void ForwardDaemon::applyRouting(RoutingConfig config, std::string document, std::string_view from)
{
    if (config.version <= m_relay.routingVersion())
        return;
    LogLine(LogLevel::Info, "directory", "routing")
        .field("version", config.version)
        .field("before", m_relay.routingVersion())
        .field("routes", config.routes.size())
        .field("organisations", config.organisations.size())
        .field("from", from);
    m_relay.setRouting(config.version, std::move(document));
    auto table = std::make_shared<const RoutingTable>(std::move(config));
    m_configuredLimits = table->config().limits;
    applyCallerLimits();
    m_forwarder.setRouting(std::move(table));
    logReadiness();
}

// The settings hold until there is a configuration, and for what it does not limit.
void ForwardDaemon::applyCallerLimits()
{
    IngressLimits limits = ingressLimits(m_settings);
    if (m_configuredLimits) {
        limits.maxHeadBytes = static_cast<std::size_t>(m_configuredLimits->maxHeaderBytes);
        limits.maxBodyBytes = static_cast<std::size_t>(m_configuredLimits->maxBodyBytes);
        limits.headTimeout = m_configuredLimits->headerTimeout;
        limits.idleTimeout = m_configuredLimits->idleTimeout;
    }
    m_callers.setLimits(limits);
}

void ForwardDaemon::applyChanges(const DirectoryChanges& changes, std::string_view from)
{
    std::uint64_t before = m_directory.revision();
    bool changed = m_directory.apply(changes, clockNow());
    m_relay.setDirectoryRevision(m_directory.revision());
    if (before > 0 && generationOf(m_directory.revision()) > generationOf(before))
        registryRestored();
    if (changed)
        upstreamsChanged(from);
}

void ForwardDaemon::registryRestored()
{
    LogLine(LogLevel::Warning, "directory", "restored")
        .field("generation", generationOf(m_directory.revision()))
        .field("revision", revisionInGeneration(m_directory.revision()))
        .field("routing_version", m_relay.routingVersion());
    m_quarantineArchive.sourceRestored();
}

void ForwardDaemon::exchangeDepartures()
{
    MonotonicTime now = clockNow();
    bool changed = false;
    for (const UpstreamDeparture& departure : m_relay.takeDepartures())
        changed |= m_directory.learn(departure, now);
    auto contradicted = m_directory.takeContradicted();
    if (!contradicted.empty())
        LogLine(LogLevel::Info, "directory", "departures").field("kept", contradicted.size());
    m_relay.spread(contradicted, now);
    if (changed)
        upstreamsChanged("departures");
}

void ForwardDaemon::expireUpstreams(MonotonicTime now)
{
    auto age = m_relay.confirmedAge(now);
    if (!age || *age > maxConfirmedAge)
        m_directory.extendDoubts(now);
    if (m_directory.expire(now))
        upstreamsChanged("lapse");
}

void ForwardDaemon::upstreamsChanged(std::string_view from)
{
    auto counts = [this](bool UpstreamEntry::*member) {
        return std::count_if(m_directory.upstreams().begin(), m_directory.upstreams().end(),
            [member](const auto& upstream) { return upstream.second.*member; });
    };
    LogLine(LogLevel::Info, "directory", "upstreams")
        .field("generation", generationOf(m_directory.revision()))
        .field("revision", revisionInGeneration(m_directory.revision()))
        .field("upstreams", m_directory.upstreams().size())
        .field("draining", counts(&UpstreamEntry::draining))
        .field("lapsed", counts(&UpstreamEntry::lapsed))
        .field("from", from);
    m_forwarder.setUpstreams(m_directory.upstreams(), revisionInGeneration(m_directory.revision()));
    logReadiness();
}

Readiness ForwardDaemon::readiness() const
{
    Readiness readiness;
    readiness.running = !m_stopping;
    readiness.routing = m_forwarder.routing() != nullptr;
    readiness.upstreams = m_forwarder.hasUpstreamList();
    readiness.evacuations = m_forwarder.knowsEvacuatedDomains();
    readiness.problems = m_source->problems();
    return readiness;
}

void ForwardDaemon::logReadiness()
{
    if (!m_forwarder.isReady() || std::exchange(m_readinessLogged, true))
        return;
    LogLine(LogLevel::Info, "process", "ready")
        .field("after_ms", toMilliseconds(clockNow() - m_startedAt).count())
        .field("routing_version", m_relay.routingVersion())
        .field("directory_generation", generationOf(m_directory.revision()))
        .field("directory_revision", revisionInGeneration(m_directory.revision()));
}

void ForwardDaemon::tick()
{
    MonotonicTime now = clockNow();
    if (auto confirmed = m_source->confirmedAt())
        m_relay.confirm(*confirmed);
    m_mesh.tick();
    exchangeDepartures();
    m_relay.tick(now);
    m_evacuations.tick(now);
    logReadiness();
    m_quarantine.tick(now);
    m_limits.tick(now);
    m_forwarder.updatePoolStates(now);
    m_shares.tick(now);
    m_quarantineArchive.tick(now, std::chrono::system_clock::now());
    m_source->follow(m_stopping ? WatchDuty::OwnOnly : m_relay.duty());
    m_mesh.flush();
    expireUpstreams(now);
    m_forwarder.setInstances(m_mesh.membership().expectedInstances());
    if (now - m_memoryReturnedAt > memoryReturnInterval) {
        m_memoryReturnedAt = now;
        returnFreedMemory(*m_memory);
    }
    if (m_stopping)
        checkShutdown();
    flushLogs();
}

void ForwardDaemon::checkSettingsFile()
{
    if (modificationTimeNs(m_settingsSource.file) != m_fileModifiedNs)
        reload();
}

void ForwardDaemon::reload()
{
    if (m_settingsSource.file.empty())
        return;
    m_fileModifiedNs = modificationTimeNs(m_settingsSource.file);
    auto loaded = loadSettings(m_settingsSource);
    if (!loaded) {
        LogLine(LogLevel::Error, "process", "reload-failed").field("message", loaded.error().message);
        return;
    }
    Settings& next = loaded.value();
    bool needsRestart = next.listen.callers != m_settings.listen.callers
        || next.listen.admin != m_settings.listen.admin || next.listen.peers != m_settings.listen.peers
        || next.instance.id != m_settings.instance.id
        || next.directory.evacuations != m_settings.directory.evacuations
        || next.limits.maxFds != m_settings.limits.maxFds
        || next.fleet.fairShares != m_settings.fleet.fairShares;
    m_settings.store.endpoint = next.store.endpoint;
    m_settings.fleet = next.fleet;
    m_settings.limits = next.limits;
    applyCallerLimits();
    m_memory->setLimit(memoryBudgetBytes(m_settings.limits.memoryMb));
    m_forwarder.setMaxBufferedBytes(maxUnfinishedAnswerBytes(m_settings));
    m_settings.log = next.log;
    configureLogging(m_settings.log.level, LogFlush::Buffered);
    m_source->setEndpoint(m_settings.store.endpoint);
    m_forwarder.setBudget(budgetOf(m_settings));
    m_limits.setColdBound(m_settings.fleet.coldBurstRatio, m_settings.fleet.coldBurstRequests);
    m_forwarder.setHedging(hedgingOf(m_settings));
    seedFromSettings();
    LogLine(LogLevel::Info, "process", "reloaded").field("needs_restart", needsRestart);
}

void ForwardDaemon::shutDown()
{
    if (std::exchange(m_stopping, true))
        return;
    m_stoppingSince = clockNow();
    m_stoppingGrace = m_settings.limits.shutdownGrace;
    LogLine(LogLevel::Info, "process", "stopping")
        .field("in_progress", m_forwarder.requestsInProgress())
        .field("connections", m_callers.connections())
        .field("grace_ms", m_stoppingGrace.count());
    m_callers.startClosing();
    m_forwarder.setShutdownDeadline(
        m_stoppingSince + m_stoppingGrace - exitMargin, m_stoppingSince + balancerDetectionDelay);
    m_mesh.leave();
    m_source->leave();
}

void ForwardDaemon::checkShutdown()
{
    auto elapsed = clockNow() - m_stoppingSince;
    bool balancerNoticed = elapsed >= balancerDetectionDelay;
    // Idle connections are closed as soon as the load balancer has stopped sending new ones: a request that
    // arrives later on a kept connection might not end within the grace time.
    if (balancerNoticed)
        m_callers.closeIdle(minIdle);
    bool idle = m_callers.connections() == 0 && m_forwarder.requestsInProgress() == 0;
    bool graceEnding = elapsed >= std::max(m_stoppingGrace - exitMargin, exitMargin);
    if (!(balancerNoticed && idle) && !graceEnding)
        return;
    std::size_t cut = m_forwarder.requestsInProgress();
    m_cutRequests += cut;
    m_forwarder.endRequests();
    if (cut > 0) // their answers are written before the next tick
        return;
    LogLine(LogLevel::Info, "process", "stopped")
        .field("cut", m_cutRequests)
        .field("after_ms", toMilliseconds(elapsed).count());
    flushLogs();
    event_base_loopbreak(m_base);
}

} // namespace briarwharf
