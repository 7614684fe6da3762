#include "process/evacuationservice.h"

#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // Without a list for this long after everything else is known, an instance takes requests. A source that
    // lists upstreams lists evacuations, too; if it fails only for these, the instance would serve no one.
    constexpr Milliseconds maxListWait { 5000 };

} // namespace

EvacuationService::EvacuationService(bool followed, EvacuationContext context)
    : m_context(context)
    , m_waiting(followed)
{
    if (followed)
        m_context.forwarder.awaitEvacuatedDomains();
}

void EvacuationService::apply(const EvacuationChanges& changes)
{
    bool isFirst = std::exchange(m_waiting, false);
    bool changed = m_evacuated.apply(changes, clockNow());
    m_context.relay.setEvacuations(m_evacuated.list());
    if (isFirst || changed)
        publish("source");
    logKept(m_inForce);
}

void EvacuationService::learn(const EvacuationList& list, std::string_view peer)
{
    if (list.revision == 0)
        return;
    bool isFirst = std::exchange(m_waiting, false);
    bool changed = m_evacuated.learn(list, clockNow());
    m_context.relay.setEvacuations(m_evacuated.list());
    if (isFirst || changed)
        publish(peer);
    logKept(m_inForce);
}

void EvacuationService::tick(MonotonicTime now)
{
    if (m_evacuated.expire(now))
        publish("hold");
    if (!m_waiting || !m_context.forwarder.hasRoutingAndUpstreams())
        return;
    if (!m_waitingSince)
        m_waitingSince = now;
    if (now - *m_waitingSince < maxListWait)
        return;
    LogLine(LogLevel::Warning, "directory", "evacuations-unknown")
        .field("after_ms", toMilliseconds(now - *m_waitingSince).count());
    m_waiting = false;
    publish("none");
}

void EvacuationService::publish(std::string_view from)
{
    std::set<std::string> domains = m_evacuated.inForce();
    logChanges(domains, from);
    m_inForce = domains;
    m_context.forwarder.setEvacuatedDomains(std::move(domains));
}

void EvacuationService::logChanges(const std::set<std::string>& domains, std::string_view from)
{
    auto log = [&](LogLevel level, std::string_view event, const std::string& domain) {
        LogLine(level, "directory", event)
            .field("domain", domain)
            .field("generation", generationOf(m_evacuated.list().revision))
            .field("revision", revisionInGeneration(m_evacuated.list().revision))
            .field("upstreams", upstreamsIn(domain)) // 0: no upstream states this domain
            .field("requests", requestsIn(domain))
            .field("from", from);
    };
    for (const std::string& domain : domains) {
        if (!m_inForce.count(domain))
            log(LogLevel::Warning, "evacuation-started", domain);
    }
    for (const std::string& domain : m_inForce) {
        if (!domains.count(domain))
            log(LogLevel::Info, "evacuation-ended", domain);
    }
}

void EvacuationService::logKept(const std::set<std::string>& domains)
{
    std::set<std::string> kept;
    for (const std::string& domain : domains) {
        if (!m_evacuated.isKept(domain))
            continue;
        kept.insert(domain);
        if (!m_kept.count(domain))
            LogLine(LogLevel::Warning, "directory", "evacuation-kept").field("domain", domain);
    }
    m_kept = std::move(kept);
}

std::size_t EvacuationService::upstreamsIn(const std::string& domain) const
{
    const auto& upstreams = m_context.directory.upstreams();
    return static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(),
        [&](const auto& upstream) { return upstream.second.failureDomain == domain; }));
}

std::size_t EvacuationService::requestsIn(const std::string& domain) const
{
    std::size_t requests = 0;
    for (const auto& [id, entry] : m_context.directory.upstreams()) {
        auto hash = static_cast<std::uint32_t>(hash64(id));
        if (entry.failureDomain == domain)
            requests += static_cast<std::size_t>(m_context.inProgress.own(hash).requests);
    }
    return requests;
}

Json EvacuationService::rows() const
{
    Json rows = Json::array();
    for (const std::string& domain : m_inForce)
        rows.push_back({ { "domain", domain }, { "upstreams", upstreamsIn(domain) },
            { "requests", requestsIn(domain) }, { "kept", m_evacuated.isKept(domain) },
            { "generation", generationOf(m_evacuated.list().revision) },
            { "revision", revisionInGeneration(m_evacuated.list().revision) } });
    return rows;
}

void EvacuationService::report(ForwardMetrics& metrics) const
{
    std::size_t upstreams = 0;
    for (const std::string& domain : m_inForce)
        upstreams += upstreamsIn(domain);
    metrics.set("briarwharf_evacuated_domains", "Failure domains whose upstreams get no new requests.",
        static_cast<double>(m_inForce.size()));
    metrics.set("briarwharf_evacuated_upstreams", "Listed upstreams in these domains.",
        static_cast<double>(upstreams));
}

} // namespace briarwharf
