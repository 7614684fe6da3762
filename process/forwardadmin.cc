// The admin interface of ForwardDaemon: health, readiness, metrics and tables for operators.

#include "process/forwarddaemon.h"

#include "base/base.h"
#include "base/hash.h"
#include <algorithm>

namespace briarwharf {

namespace {

    void answerText(CallerExchange& caller, int status, std::string_view text)
    {
        caller.answer(status, "Content-Type: text/plain\r\n", text);
    }

} // namespace

void ForwardDaemon::handleAdmin(const IngressRequest& request, CallerExchange& caller)
{
    std::string_view target = request.head.target;
    std::string_view path = target.substr(0, target.find('?'));
    constexpr std::string_view showPrefix = "/show/";
    if (path == "/healthz")
        return answerText(caller, 200, "live\n");
    bool isReadinessQuery = path == "/readyz" || (!path.empty() && path == m_source->readinessPath());
    if (isReadinessQuery)
        return answerText(caller, isReady() ? 200 : 503, readinessText(readiness()));
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
    reportReadiness(readiness(), m_metrics);
    m_metrics.set("briarwharf_unrendered_settings",
        "Values and sections of the settings template that were left unrendered.",
        static_cast<double>(m_settings.unrendered.size()));
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

} // namespace briarwharf
