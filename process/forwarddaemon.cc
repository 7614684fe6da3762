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

    void answerText(CallerExchange& caller, int status, std::string_view text)
    {
        caller.answer(status, "Content-Type: text/plain\r\n", text);
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
    seedFromSettings();
    m_source->start({ [this](RoutingConfig config, std::string document) {
                         applyRouting(std::move(config), std::move(document), "source");
                     },
        [this](const DirectoryChanges& changes) { applyChanges(changes, "source"); },
        [this](const std::vector<ListedInstance>& instances) { m_mesh.seed(instances); },
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
    if (m_directory.expire(now))
        upstreamsChanged("lapse");
    m_forwarder.setInstances(m_mesh.membership().expectedInstances());
    if (now - m_memoryReturnedAt > memoryReturnInterval) {
        m_memoryReturnedAt = now;
        returnFreedMemory(*m_memory);
    }
    if (m_stopping)
        checkShutdown();
    flushLogs();
}

void ForwardDaemon::handleAdmin(const IngressRequest& request, CallerExchange& caller)
{
    std::string_view target = request.head.target;
    std::string_view path = target.substr(0, target.find('?'));
    constexpr std::string_view showPrefix = "/show/";
    if (path == "/healthz")
        return answerText(caller, 200, "live\n");
    if (path == "/readyz" && isReady())
        return answerText(caller, 200, "ready\n");
    if (path == "/readyz")
        return answerText(
            caller, 503, m_stopping ? "shutting down\n" : "no configuration or upstreams yet\n");
    if (path == "/metrics")
        return caller.answer(200, "Content-Type: text/plain; version=0.0.4\r\n", metricsText());
    if (path.substr(0, showPrefix.size()) == showPrefix) {
        std::string text = showText(path.substr(showPrefix.size()));
        if (!text.empty())
            return caller.answer(200, "Content-Type: application/json\r\n", text);
    }
    answerText(caller, 404,
        "use /healthz, /readyz, /metrics, /show/routes, /show/upstreams, /show/quarantine, "
        "/show/evacuations or /show/instances\n");
}

std::string ForwardDaemon::showText(std::string_view resource) const
{
    Json rows = Json::array();
    if (resource == "routes") {
        const RoutingTable* table = m_forwarder.routing();
        for (const Route& route : table ? table->config().routes : std::vector<Route> {})
            rows.push_back({ { "name", route.name }, { "host", route.host }, { "prefix", route.pathPrefix },
                { "kind", routeKindName(route.kind) }, { "resumable", route.resumable },
                { "attempts", route.maxAttempts }, { "timeout_ms", route.timeout.count() },
                { "target_ms", route.targetLatency.count() }, { "priority", route.priority } });
    } else if (resource == "upstreams") {
        MonotonicTime now = clockNow();
        for (const auto& [id, entry] : m_directory.upstreams()) {
            auto hash = static_cast<std::uint32_t>(hash64(id));
            std::uint32_t lifetimeHash = upstreamLifetimeHash(entry);
            rows.push_back(
                { { "id", id }, { "pool", entry.pool }, { "address", printEndpoint(entry.endpoint) },
                    { "domain", entry.failureDomain }, { "draining", entry.draining },
                    { "lapsed", entry.lapsed }, { "evacuated", m_forwarder.isEvacuated(entry) },
                    { "usable", m_health.usable(hash, now) }, { "requests", m_inProgress.own(hash).requests },
                    { "requests_elsewhere", m_inProgress.others(hash).requests },
                    { "limit_per_second", m_limits.limit(lifetimeHash) },
                    { "cold_left_ms", m_limits.coldTimeLeft(lifetimeHash, now).count() },
                    { "leaving", m_forwarder.availability().isLeaving(lifetimeHash) },
                    { "stale", m_forwarder.availability().isStale(lifetimeHash) },
                    { "pause_left_ms", m_forwarder.availability().pauseLeft(lifetimeHash, now).count() } });
        }
    } else if (resource == "quarantine") {
        MonotonicTime now = clockNow();
        for (const SuspectGroup& group : m_quarantine.groups()) {
            Json segments = Json::array();
            for (std::uint64_t segment : group.segments)
                segments.push_back(printHex(segment));
            rows.push_back({ { "segments", segments }, { "crashes", group.upstreams.size() },
                { "left_ms", std::max<std::int64_t>(0, toMilliseconds(group.termEnd - now).count()) } });
        }
    } else if (resource == "evacuations") {
        rows = m_evacuations.rows();
    } else if (resource == "instances") {
        for (const auto& [id, member] : m_mesh.membership().members())
            rows.push_back({ { "id", id }, { "domain", member.failureDomain },
                { "state", EnumNameMemberState(member.state) },
                { "linked", m_mesh.membership().linked(id) } });
    } else {
        return {};
    }
    Json answer { { "routing_version", m_relay.routingVersion() },
        { "directory_generation", generationOf(m_directory.revision()) },
        { "directory_revision", revisionInGeneration(m_directory.revision()) }, { "rows", rows } };
    return dumpJson(answer) + "\n";
}

std::string ForwardDaemon::metricsText()
{
    const ForwarderCounters& forwarded = m_forwarder.counters();
    const HttpPoolCounters& connections = m_forwarder.connectionCounters();
    const IngressCounters& callers = m_callers.counters();
    DirectoryCounters directory = m_source->counters();
    const PeerLinkCounters& peers = m_mesh.counters();
    auto total = [this](const char* name, const char* help, std::uint64_t value) {
        m_metrics.setTotal(name, help, static_cast<double>(value));
    };
    total("briarwharf_repeats_total", "Attempts beyond the first of a request.", forwarded.repeats);
    if (m_settings.fleet.hedgeRatio > 0) {
        total("briarwharf_hedges_total", "Second attempts sent while the first was in progress.",
            forwarded.hedges);
        total("briarwharf_hedges_won_total", "Second attempts whose answer the caller got.",
            forwarded.hedgesWon);
    }
    total("briarwharf_resumes_total", "Streams continued at another upstream.", forwarded.resumes);
    total("briarwharf_quarantine_refusals_total",
        "Requests refused because of a prompt segment that crashes upstreams.", forwarded.quarantined);
    total("briarwharf_malformed_prompt_segments_total",
        "Entries of callers' lists of prompt segments that could not be read.", forwarded.malformedSegments);
    total("briarwharf_crash_checks_skipped_total",
        "Upstreams that broke connections and were not looked at, as too many did at once.",
        m_forwarder.crashDetector().skippedUpstreams());
    total("briarwharf_limit_refusals_total", "Requests refused because no upstream takes more at present.",
        forwarded.overLimits);
    total("briarwharf_share_refusals_total",
        "Requests refused because the organisation has its share of a scarce pool.", forwarded.overShare);
    total("briarwharf_late_refusals_total",
        "Requests refused because their pool's queues are longer than the time left.", forwarded.tooLate);
    for (const PoolShareStatus& pool : m_shares.status())
        m_metrics.set(pool);
    total("briarwharf_upstream_pauses_total", "Pauses that upstreams asked for.", forwarded.pauses);
    total("briarwharf_callers_left_total", "Callers that closed before their answer ended.",
        forwarded.callersLeft);
    total("briarwharf_upstream_connections_opened_total", "Connections opened to upstreams.",
        connections.opened);
    total(
        "briarwharf_upstream_connections_reused_total", "Requests on kept connections.", connections.reused);
    total("briarwharf_stray_answers_total", "Answers and bytes that belonged to no open request.",
        connections.strayAnswers);
    total("briarwharf_caller_connections_accepted_total", "Connections of callers.", callers.accepted);
    total("briarwharf_caller_connections_refused_total", "Connections over the bound.", callers.refused);
    total("briarwharf_malformed_requests_total", "Requests that could not be read.", callers.malformed);
    total("briarwharf_directory_calls_total", "Calls to the directory's source.", directory.calls);
    total("briarwharf_directory_failures_total", "Calls of these that failed.", directory.failures);
    total("briarwharf_directory_unusable_entries_total",
        "Entries of the directory's source that could not be read or used.", directory.unusableEntries);
    total("briarwharf_peer_bytes_sent_total", "Bytes to other instances.", peers.bytesSent);
    total("briarwharf_peer_bytes_received_total", "Bytes from other instances.", peers.bytesReceived);
    total("briarwharf_log_lines_dropped_total", "Log lines over their bound.", droppedLogLines());
    m_metrics.set("briarwharf_ready", "1 if this instance takes new work.", isReady() ? 1 : 0);
    m_metrics.set("briarwharf_directory_reachable", "1 if the directory's source answers.",
        m_source->reachable() ? 1 : 0);
    m_metrics.set("briarwharf_routing_version", "Configuration in force.",
        static_cast<double>(m_relay.routingVersion()));
    m_metrics.set("briarwharf_directory_revision", "Revision of the list of upstreams in force.",
        static_cast<double>(revisionInGeneration(m_directory.revision())));
    m_metrics.set("briarwharf_directory_generation",
        "Rises when the directory's source was restored from an older copy.",
        static_cast<double>(generationOf(m_directory.revision())));
    m_metrics.set("briarwharf_quarantined_segments", "Groups of prompt segments that crash upstreams.",
        static_cast<double>(m_quarantine.groups().size()));
    m_metrics.set("briarwharf_limited_upstreams", "Upstreams that limit the requests they take.",
        static_cast<double>(m_limits.limitedUpstreams()));
    m_metrics.set("briarwharf_cold_upstreams", "Upstreams that have just started and take few requests.",
        static_cast<double>(m_limits.coldUpstreams(clockNow())));
    m_metrics.set("briarwharf_leaving_upstreams",
        "Listed upstreams that stated in an answer that they leave.",
        static_cast<double>(m_forwarder.availability().leavingUpstreams()));
    m_metrics.set("briarwharf_stale_upstreams", "Listed upstreams at whose address another one answered.",
        static_cast<double>(m_forwarder.availability().staleUpstreams()));
    m_metrics.set("briarwharf_paused_upstreams", "Upstreams that asked this instance for a pause.",
        static_cast<double>(m_forwarder.availability().pausedUpstreams(clockNow())));
    m_evacuations.report(m_metrics);
    m_metrics.set("briarwharf_requests_in_progress", "Requests that wait for their answer's end.",
        static_cast<double>(m_forwarder.requestsInProgress()));
    m_metrics.set("briarwharf_buffered_answer_bytes", "Bytes of incomplete answers in memory.",
        static_cast<double>(m_forwarder.bufferedBytes()));
    setMemoryMetrics();
    m_metrics.set(
        "briarwharf_linked_peers", "Links to other instances.", static_cast<double>(m_mesh.linkCount()));
    return m_metrics.serialize();
}

void ForwardDaemon::setMemoryMetrics()
{
    const IngressCounters& callers = m_callers.counters();
    auto set = [this](const char* name, const char* help, auto value) {
        m_metrics.set(name, help, static_cast<double>(value));
    };
    set("briarwharf_memory_budget_bytes", "Limit of the memory held for callers, upstreams and peers.",
        m_memory->limit());
    set("briarwharf_memory_held_bytes", "Memory held for callers, upstreams and peers.", m_memory->total());
    set("briarwharf_memory_body_bytes", "Part of it that is held for bodies of requests.",
        m_memory->held(MemoryKind::Bodies));
    set("briarwharf_caller_connections", "Open connections of callers.", m_callers.connections());
    m_metrics.setTotal("briarwharf_memory_refusals_total",
        "Requests refused and connections closed because the memory budget was used up.",
        static_cast<double>(callers.overloaded));
    m_metrics.setTotal("briarwharf_slow_bodies_total", "Requests refused because their body came too slowly.",
        static_cast<double>(callers.tooSlow));
    m_metrics.setTotal("briarwharf_displaced_connections_total",
        "Callers' connections that were closed to make room for others.",
        static_cast<double>(callers.displaced));
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
