#include "process/peers.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // The list of instances grows with the fleet, so a larger fleet reads it less often: the load on the
    // store that each instance causes then stays the same.
    constexpr Milliseconds listInterval { 10000 };
    constexpr Milliseconds listIntervalPerInstance { 100 };

    constexpr std::size_t maxOfferedBytes = 512 * 1024;

    InstanceIdentity identityOf(const Settings& settings)
    {
        InstanceIdentity identity;
        identity.id = settings.instance.id;
        identity.address = printEndpoint(settings.listen.peers);
        identity.failureDomain = settings.instance.failureDomain;
        identity.incarnation = static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
        return identity;
    }

} // namespace

PeerService::PeerService(event_base* base, const Settings& settings, HttpStore& store, ConfigService& config,
    FrameCallback onFrame)
    : m_store(store)
    , m_config(config)
    , m_onFrame(std::move(onFrame))
    , m_mesh(base, identityOf(settings),
          [this](const std::string& peer, const PeerFrameT& frame) { frameReceived(peer, frame); })
    , m_relay(m_mesh.membership(), RelayOptions {}, m_mesh.outbox(), randomSeed())
    , m_loads(m_mesh.membership(), LoadTableOptions {})
    , m_shares(m_mesh.membership(), RateShareOptions {})
    , m_health(UpstreamHealthOptions {})
{
    for (HeartbeatSection* section :
        std::initializer_list<HeartbeatSection*> { &m_relay, &m_loads, &m_shares, &m_health })
        m_mesh.membership().addSection(*section);
}

Status PeerService::start()
{
    Status listening = m_mesh.listen();
    if (!listening)
        return listening;
    refreshInstanceList();
    return ok();
}

void PeerService::tick()
{
    MonotonicTime now = clockNow();
    m_shares.tick(now);
    m_relay.tick(now);
    m_mesh.tick();
    bool watches = m_relay.watches();
    if (m_watches != watches)
        m_config.follow(watches ? LogFollow::Watch : LogFollow::None);
    m_watches = watches;
    if (m_relay.takeDuePoll(now))
        m_config.log().poll();
    if (now >= m_nextListAt)
        refreshInstanceList();
    answerSnapshotRequests();
    configurationAdvanced();
    m_mesh.flush();
}

void PeerService::apply(const ConfigIndex& index)
{
    std::vector<std::uint32_t> all;
    std::vector<std::uint32_t> reporting;
    for (const auto& [name, upstream] : index.config().upstreams) {
        if (upstream.state == UpstreamState::Removed)
            continue;
        all.push_back(nameHash(name));
        if (upstream.reportsState)
            reporting.push_back(nameHash(name));
    }
    m_loads.setUpstreams(reporting);
    m_health.setUpstreams(all);
    std::vector<RateLimit> limits;
    for (const auto& [name, organisation] : index.config().organisations) {
        if (organisation.tokensPerSecond > 0)
            limits.push_back({ nameHash(name), organisation.tokensPerSecond, organisation.weight });
    }
    m_shares.setLimits(limits, clockNow());
}

void PeerService::configurationAdvanced(const std::string& from)
{
    MonotonicTime now = clockNow();
    m_store.noteEra(m_relay.heardEra());
    m_relay.setEra(m_store.era());
    if (!m_config.loaded())
        return;
    std::uint64_t head = m_config.revision();
    if (head > m_relay.revision()) {
        LogPushT offered = m_config.log().makePush(m_relay.revision(), maxOfferedBytes);
        std::vector<LogRecordT> records;
        for (const auto& record : offered.records)
            records.push_back(*record);
        m_relay.setInForce(head, records, now, from);
    }
    if (auto confirmed = m_config.log().headConfirmedAt())
        m_relay.confirm(head, *confirmed);
}

bool PeerService::mayGiveNewWork(
    bool reportsState, std::optional<Milliseconds> ownReportAge, bool ownReportServing) const
{
    MonotonicTime now = clockNow();
    // The usual case; returns before the costly sum over the other instances.
    if (m_relay.current(now))
        return true;
    NewWorkInputs question;
    question.reportsState = reportsState;
    question.headConfirmedAge = m_relay.confirmedAge(now);
    question.ownReportAge = ownReportAge;
    question.ownReportServing = ownReportServing;
    question.revision = m_relay.revision();
    question.expectedInstances = membership().expectedInstances();
    question.peerCoverage = m_relay.notCurrentCoverage(now);
    return isAllowed(briarwharf::decideNewWork(question));
}

void PeerService::frameReceived(const std::string& peer, const PeerFrameT& frame)
{
    MonotonicTime now = clockNow();
    if (const auto* push = frame.body.AsLogPush()) {
        m_store.noteEra(push->era);
        m_relay.setEra(m_store.era());
        auto update = m_relay.receive(peer, *push, now);
        LogPushT accepted;
        accepted.log = push->log;
        accepted.era = push->era;
        accepted.snapshotNumber = update.snapshotNumber;
        accepted.snapshot = std::move(update.snapshot);
        for (const auto& record : update.records)
            accepted.records.push_back(std::make_unique<LogRecordT>(record));
        Status status = m_config.log().accept(accepted);
        if (!status)
            BW_LOG(WARNING, "peers") << "records from " << peer
                                     << " were not accepted: " << status.error().message;
        m_config.publish();
        configurationAdvanced(peer);
    } else if (const auto* fetch = frame.body.AsLogFetch()) {
        m_relay.receive(peer, *fetch, now);
        answerSnapshotRequests();
    } else {
        m_onFrame(peer, frame);
    }
}

void PeerService::answerSnapshotRequests()
{
    for (const auto& request : m_relay.takeSnapshotRequests()) {
        LogPushT push = m_config.log().makePush(0, maxPeerFrameBytes / 2);
        push.log = RelayOptions {}.log;
        push.nonce = request.nonce;
        m_mesh.outbox().send(request.peer, std::move(push));
    }
}

void PeerService::refreshInstanceList()
{
    if (m_listing)
        return;
    m_listing = true;
    m_nextListAt = clockNow() + listInterval + listIntervalPerInstance * membership().expectedInstances();
    m_store.listInstances([this](Result<std::vector<PlatformInstance>> list) {
        m_listing = false;
        if (!list)
            return;
        std::vector<ListedInstance> listed;
        for (const auto& instance : list.value()) {
            if (!instance.leaving)
                listed.push_back({ instance.id, instance.address, instance.failureDomain });
        }
        m_mesh.seed(listed);
    });
}

} // namespace briarwharf
