#include "process/daemon.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds slowTickInterval { 200 };
    constexpr Milliseconds pollInterval { 1000 };
    constexpr Milliseconds metricsInterval { 5000 };

    // Time that the balancer needs to react to a failing /readyz. New connections are accepted until then.
    constexpr Milliseconds balancerReactionTime { 1000 };

    HttpStoreOptions storeOptions(const Settings& settings)
    {
        HttpStoreOptions options;
        options.address = settings.store.endpoint.address;
        options.port = settings.store.endpoint.port;
        options.callDeadline = settings.store.timeout;
        return options;
    }

    HttpServerOptions callerServerOptions(const Settings& settings)
    {
        HttpServerOptions options;
        options.maxBodyBytes = static_cast<std::size_t>(settings.limits.maxBodyBytes);
        options.maxHeaderBytes = static_cast<std::size_t>(settings.limits.maxHeaderBytes);
        options.maxConnections = static_cast<std::size_t>(settings.limits.maxConnections);
        // No byte arrives from a caller that waits for its answer, possibly until its deadline, so the
        // timeout is longer than any deadline.
        options.idleTimeout = settings.limits.maxRequestDeadline + Milliseconds(10000);
        return options;
    }

    HttpServerOptions adminServerOptions()
    {
        HttpServerOptions options;
        options.maxBodyBytes = maxCommandTextBytes;
        options.maxConnections = 256;
        return options;
    }

} // namespace

bool SharedRates::isLimited(std::string_view organisation) const
{
    if (!m_index)
        return false;
    auto found = m_index->config().organisations.find(std::string(organisation));
    return found != m_index->config().organisations.end() && found->second.tokensPerSecond > 0;
}

bool SharedRates::tryTake(std::string_view organisation, std::int64_t tokens, MonotonicTime now)
{
    return !isLimited(organisation)
        || m_shares.admit(nameHash(organisation), static_cast<double>(tokens), now);
}

Milliseconds SharedRates::retryAfter(std::string_view organisation, std::int64_t, MonotonicTime now) const
{
    return isLimited(organisation) ? m_shares.retryAfter(nameHash(organisation), now) : Milliseconds(0);
}

Daemon::Daemon(event_base* base, Settings settings, HintSigner hints)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_tracer(base, m_settings)
    , m_store(base, storeOptions(m_settings))
    , m_config(m_store, m_settings.store.prefix, &clockNow,
          [this](std::shared_ptr<const ConfigIndex> index) { configurationChanged(std::move(index)); })
    , m_peers(base, m_settings, m_store, m_config,
          [this](const std::string& peer, const PeerFrameT& frame) { frameReceived(peer, frame); })
    , m_claims(m_store, m_peers, m_settings.store.prefix, &clockNow)
    , m_upstreams(base,
          [this](const UpstreamRuntime& upstream, bool reached, std::uint32_t tokens) {
              upstreamPolled(upstream, reached, tokens);
          })
    , m_rates(m_peers.shares())
    , m_residence(m_peers)
    , m_router(routerDependencies(), std::move(hints))
    , m_notices(m_peers, m_router)
    , m_drains(m_store, m_settings.store.prefix, &clockNow, m_config, m_peers, m_router)
    , m_callerApi(m_router, m_claims.client())
    , m_adminApi(m_router, m_config, m_peers, [this] { return facts(); })
    , m_callerServer(base, callerServerOptions(m_settings),
          [this](const std::shared_ptr<HttpExchange>& exchange) { m_callerApi.handle(exchange); })
    , m_adminServer(base, adminServerOptions(),
          [this](const std::shared_ptr<HttpExchange>& exchange) { m_adminApi.handle(exchange); })
    , m_ticker(base, tickInterval, [this] { tick(); })
    , m_slowTicker(base, slowTickInterval, [this] { slowTick(); })
    , m_pollTicker(base, pollInterval, [this] { pollUpstreams(); })
    , m_metricsTicker(base, metricsInterval, [this] { updateMetrics(); })
{
}

Router::Dependencies Daemon::routerDependencies()
{
    Router::Dependencies dependencies;
    dependencies.base = m_base;
    dependencies.settings = &m_settings;
    dependencies.metrics = &m_metrics;
    dependencies.tracer = &m_tracer;
    dependencies.upstreams = &m_upstreams;
    dependencies.health = &m_peers.health();
    dependencies.allowance = &m_rates;
    dependencies.mayGetNewWork = [this](const UpstreamRuntime& upstream) { return mayGetNewWork(upstream); };
    dependencies.findResidence = [this](ChatKey chat, ResidenceService::FindCallback callback) {
        m_residence.find(chat, std::move(callback));
    };
    dependencies.updateResidence
        = [this](ChatKey chat, const std::string& upstream) { m_residence.update(chat, upstream); };
    dependencies.loadChanged = [this](const UpstreamRuntime& upstream, std::int64_t tokens) {
        m_notices.loadChanged(upstream, tokens);
    };
    return dependencies;
}

// Each service handles the messages that are meant for it and ignores all others.
void Daemon::frameReceived(const std::string& peer, const PeerFrameT& frame)
{
    m_claims.receive(peer, frame);
    m_residence.receive(peer, frame);
    m_notices.receive(frame);
    m_drains.receive(peer, frame);
}

Status Daemon::start()
{
    BOOST_OUTCOME_TRYV(m_peers.start());
    BOOST_OUTCOME_TRY(
        adminPort, m_adminServer.listen(m_settings.listen.admin.address, m_settings.listen.admin.port));
    BOOST_OUTCOME_TRY(
        callerPort, m_callerServer.listen(m_settings.listen.callers.address, m_settings.listen.callers.port));
    m_adminPort = adminPort;
    m_callerPort = callerPort;
    m_config.start();
    BW_LOG(INFO, "daemon") << "instance " << m_settings.instance.id << " listens for callers on "
                           << printEndpoint(m_settings.listen.callers);
    return ok();
}

void Daemon::shutDown()
{
    if (m_shutdownDeadline)
        return;
    BW_LOG(INFO, "daemon") << "shutting down; " << m_router.openRequests() << " requests are in progress";
    m_shutdownDeadline = clockNow() + m_settings.limits.shutdownGrace;
    m_listenUntil = clockNow() + balancerReactionTime;
    m_router.stopAcceptingRequests();
    m_peers.leave();
}

void Daemon::checkShutdown()
{
    MonotonicTime now = clockNow();
    if (!m_shutdownDeadline || now < *m_listenUntil)
        return;
    m_callerServer.stopListening();
    bool done = m_router.openRequests() == 0 && m_claims.client().pending() == 0;
    if (!done && now < *m_shutdownDeadline)
        return;
    BW_LOG(INFO, "daemon") << "stopped; " << m_router.openRequests() << " requests were cut";
    event_base_loopbreak(m_base);
}

void Daemon::configurationChanged(std::shared_ptr<const ConfigIndex> index)
{
    m_rates.apply(*index);
    m_peers.apply(*index);
    m_router.apply(std::move(index), m_peers.membership().usable().size());
    m_metrics.revision().Set(static_cast<double>(m_config.revision()));
    m_router.tick();
}

void Daemon::upstreamPolled(const UpstreamRuntime& upstream, bool reached, std::uint32_t tokens)
{
    m_peers.loads().report(upstream.shortId, tokens, upstream.reportedServing, reached, clockNow());
}

// An engine that recently reported that it is leaving gets no new work, even if the configuration shows it as
// serving.
bool Daemon::mayGetNewWork(const UpstreamRuntime& upstream) const
{
    std::optional<Milliseconds> age;
    if (upstream.polledAt)
        age = toMilliseconds(clockNow() - *upstream.polledAt);
    bool reportsLeaving = age && *age <= freshnessLimit && !upstream.reportedServing;
    return !reportsLeaving
        && m_peers.mayGiveNewWork(upstream.settings.reportsState, age, upstream.reportedServing);
}

void Daemon::tick()
{
    m_config.tick();
    m_config.publish();
    m_peers.tick();
    m_claims.tick();
    m_residence.tick();
    m_drains.tick();
    updateLedgers();
    m_router.setInstanceCount(m_peers.membership().usable().size());
    m_router.tick();
    checkShutdown();
}

void Daemon::slowTick()
{
    m_notices.flush();
    m_drains.step();
}

// Polls the upstreams that this instance owns in the load table. While the configuration is not current,
// polls every upstream that reports its state, because then only the upstream itself can report that it is
// leaving.
void Daemon::pollUpstreams()
{
    bool current = m_peers.relay().current(clockNow());
    const auto& owned = m_peers.loads().owned();
    for (const auto& [name, upstream] : m_upstreams.all()) {
        if (!upstream->settings.reportsState)
            continue;
        bool isOwner = std::find(owned.begin(), owned.end(), upstream->shortId) != owned.end();
        if (isOwner || !current)
            m_upstreams.poll(*upstream);
    }
}

void Daemon::updateLedgers()
{
    MonotonicTime now = clockNow();
    for (const auto& [name, pool] : m_router.pools()) {
        for (const auto& upstream : pool->upstreams()) {
            auto load = m_peers.loads().load(upstream->shortId, now);
            if (load)
                pool->ledger().report(upstream->id, load->tokens, now - load->age);
        }
    }
}

// Updates the metrics of control traffic and returns the totals since the start.
Daemon::ControlBytes Daemon::updateControlBytes()
{
    const PeerLinkCounters& peers = m_peers.counters();
    const HttpStoreCounters& store = m_store.counters();
    m_metrics.setControlBytes("peers_sent", static_cast<double>(peers.bytesSent));
    m_metrics.setControlBytes("peers_received", static_cast<double>(peers.bytesReceived));
    m_metrics.setControlBytes("store_sent", static_cast<double>(store.bytesSent));
    m_metrics.setControlBytes("store_received", static_cast<double>(store.bytesReceived));
    m_metrics.setControlBytes("polls_sent", static_cast<double>(m_upstreams.pollBytesSent()));
    m_metrics.setControlBytes("polls_received", static_cast<double>(m_upstreams.pollBytesReceived()));
    for (const auto& [kind, bytes] : m_peers.sentByKind())
        m_metrics.setFrameBytes(EnumNamePeerBody(kind), static_cast<double>(bytes));
    ControlBytes total;
    total.sent = peers.bytesSent + store.bytesSent + m_upstreams.pollBytesSent();
    total.received = peers.bytesReceived + store.bytesReceived + m_upstreams.pollBytesReceived();
    return total;
}

void Daemon::updateMetrics()
{
    ControlBytes total = updateControlBytes();
    constexpr double intervalSeconds = std::chrono::duration<double>(metricsInterval).count();
    auto sent = static_cast<double>(total.sent - m_lastControlBytes.sent);
    auto received = static_cast<double>(total.received - m_lastControlBytes.received);
    m_metrics.controlSentBytesPerSecond().Set(sent / intervalSeconds);
    m_metrics.controlBytesPerSecond().Set((sent + received) / intervalSeconds);
    m_lastControlBytes = total;
    const HttpStoreCounters& store = m_store.counters();
    m_metrics.setStoreCalls("read", static_cast<double>(store.reads));
    m_metrics.setStoreCalls("write", static_cast<double>(store.creates + store.updates + store.removes));
    m_metrics.setStoreCalls("watch", static_cast<double>(store.watches));
    m_metrics.setStoreCalls("list", static_cast<double>(store.lists + store.instanceLists));
    m_metrics.setStoreCalls("failed", static_cast<double>(store.failures));
    m_metrics.lostRecords().Set(static_cast<double>(m_config.log().statistics().lostRecords));
    m_metrics.storeEra().Set(static_cast<double>(m_store.era()));
    m_metrics.configurationCurrent().Set(m_peers.relay().current(clockNow()) ? 1 : 0);
    m_metrics.linkedPeers().Set(static_cast<double>(m_peers.linkCount()));
    m_metrics.usableMembers().Set(static_cast<double>(m_peers.membership().usable().size()));
    m_metrics.droppedSpans().Set(static_cast<double>(m_tracer.droppedSpans()));
}

RuntimeFacts Daemon::facts() const
{
    MonotonicTime now = clockNow();
    RuntimeFacts facts;
    facts.now = std::chrono::system_clock::now();
    const Membership& membership = m_peers.membership();
    InstanceFacts self;
    self.name = membership.self().id;
    self.address = membership.self().address;
    self.failureDomain = membership.self().failureDomain;
    self.state = membership.leaving() ? "leaving" : "alive";
    self.revision = m_config.revision();
    self.current = m_peers.relay().current(now);
    self.confirmedAgo = m_peers.relay().confirmedAge(now);
    facts.instances.push_back(self);
    constexpr const char* stateNames[] { "alive", "suspect", "dead", "leaving" };
    for (const auto& [id, member] : membership.members()) {
        InstanceFacts other;
        other.name = id;
        other.address = member.address;
        other.failureDomain = member.failureDomain;
        other.state = stateNames[static_cast<std::size_t>(member.state)];
        if (auto statement = m_peers.relay().peerReport(id, now)) {
            other.revision = statement->revision;
            other.current = statement->current;
            other.confirmedAgo = statement->confirmedAge;
        }
        facts.instances.push_back(other);
    }
    for (const auto& [name, upstream] : m_upstreams.all())
        facts.upstreams[name] = upstreamFacts(*upstream, now);
    return facts;
}

UpstreamFacts Daemon::upstreamFacts(const UpstreamRuntime& upstream, MonotonicTime now) const
{
    UpstreamFacts facts;
    facts.requestsInProgress = upstream.requestsInProgress;
    auto phase = m_drains.phases().find(upstream.settings.name);
    if (phase != m_drains.phases().end())
        facts.drainPhase = drainPhaseName(phase->second);
    auto load = m_peers.loads().load(upstream.shortId, now);
    if (auto pool = m_router.pools().find(upstream.settings.pool); pool != m_router.pools().end())
        facts.residentChats = pool->second->residents().count(upstream.id);
    if (load) {
        facts.tokensInProgress = load->tokens;
        facts.reportAge = load->age;
        facts.reachable = load->reachable;
    }
    return facts;
}

} // namespace briarwharf
