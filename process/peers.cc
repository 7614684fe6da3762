#include "process/peers.h"

#include "base/base.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    constexpr Milliseconds firstDialDelay { 200 };
    constexpr Milliseconds longestDialDelay { 5000 };

    // Links beside the mesh, to collectors of claims, are opened again for this long after their last use.
    constexpr Milliseconds onDemandLinkLifetime { 60000 };

    // The list grows with the fleet, so it is read less often in a large one: each instance's part of the
    // store's reads then stays the same.
    constexpr Milliseconds listInterval { 10000 };
    constexpr Milliseconds listIntervalPerInstance { 100 };

    constexpr std::size_t maxOfferedBytes = 512 * 1024;

    MonotonicTime clockNow() { return std::chrono::steady_clock::now(); }

    InstanceIdentity identityOf(const Settings& settings)
    {
        InstanceIdentity identity;
        identity.id = settings.instance.id;
        identity.address = printEndpoint(settings.listen.peers);
        identity.failureDomain = settings.instance.failureDomain;
        identity.incarnation = static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
        return identity;
    }

    MemberT memberOf(const InstanceIdentity& identity)
    {
        MemberT member;
        member.id = identity.id;
        member.address = identity.address;
        member.failureDomain = identity.failureDomain;
        member.incarnation = identity.incarnation;
        member.state = MemberState::Alive;
        return member;
    }

} // namespace

PeerService::PeerService(event_base* base, const Settings& settings, HttpStore& store, ConfigService& config,
    FrameCallback onFrame)
    : m_settings(settings)
    , m_store(store)
    , m_config(config)
    , m_onFrame(std::move(onFrame))
    , m_membership(identityOf(settings), MembershipOptions {}, m_outbox, randomSeed())
    , m_relay(m_membership, RelayOptions {}, m_outbox, randomSeed())
    , m_loads(m_membership, LoadTableOptions {})
    , m_shares(m_membership, RateShareOptions {})
    , m_health(UpstreamHealthOptions {})
    , m_transport(base, PeerLinkOptions {},
          { [this](LinkId link, const HelloT& hello, bool outgoing) { linkUp(link, hello, outgoing); },
              [this](LinkId link, const Error&) { linkDown(link); },
              [this](LinkId link, PeerFrameT frame) { frameReceived(link, std::move(frame)); } })
{
    for (HeartbeatSection* section :
        std::initializer_list<HeartbeatSection*> { &m_relay, &m_loads, &m_shares, &m_health })
        m_membership.addSection(*section);
    m_transport.setSelf(memberOf(m_membership.self()));
}

Status PeerService::start()
{
    auto address = m_transport.listen(printEndpoint(m_settings.listen.peers));
    if (!address)
        return address.error();
    refreshList();
    return ok();
}

void PeerService::tick()
{
    MonotonicTime now = clockNow();
    m_shares.tick(now);
    m_relay.tick(now);
    m_membership.tick(now);
    for (const auto& peer : m_membership.takeSilentLinks()) {
        BW_LOG(WARNING, "peers") << "the link to " << peer << " is silent; it is closed and opened again";
        closePeer(peer);
    }
    bool watches = m_relay.watches();
    if (m_watches != watches)
        m_config.follow(watches ? LogFollow::Watch : LogFollow::None);
    m_watches = watches;
    if (m_relay.takePoll(now))
        m_config.log().poll();
    if (now >= m_nextList)
        refreshList();
    dialMissing();
    answerSnapshotRequests();
    configurationAdvanced();
    flush();
}

void PeerService::leave()
{
    m_membership.leave(clockNow());
    flush();
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
    std::vector<OrganisationLimit> limits;
    for (const auto& [name, organisation] : index.config().organisations) {
        if (organisation.tokensPerSecond > 0)
            limits.push_back({ nameHash(name), organisation.tokensPerSecond, organisation.weight });
    }
    m_shares.setLimits(limits, clockNow());
}

void PeerService::configurationAdvanced(const std::string& from)
{
    MonotonicTime now = clockNow();
    std::uint64_t head = m_config.revision();
    if (m_config.loaded() && head > m_relay.revision()) {
        LogPushT offered = m_config.log().offer(m_relay.revision(), maxOfferedBytes);
        std::vector<LogRecordT> records;
        for (const auto& record : offered.records)
            records.push_back(*record);
        m_relay.inForce(head, records, now, from);
    }
    if (auto confirmed = m_config.log().headConfirmedAt())
        m_relay.confirm(head, *confirmed);
}

bool PeerService::mayGiveNewWork(
    bool reportsState, std::optional<Milliseconds> ownReportAge, bool ownReportServing) const
{
    MonotonicTime now = clockNow();
    // The usual case; it needs no sum over the other instances.
    if (m_relay.current(now))
        return true;
    NewWorkQuestion question;
    question.reportsState = reportsState;
    question.headConfirmedAge = m_relay.confirmedAge(now);
    question.ownReportAge = ownReportAge;
    question.ownReportServing = ownReportServing;
    question.revision = m_relay.revision();
    question.expectedInstances = m_membership.expectedInstances();
    question.heard = m_relay.notCurrentPeers(now);
    return isAllowed(briarwharf::mayGiveNewWork(question));
}

void PeerService::linkUp(LinkId link, const HelloT& hello, bool outgoing)
{
    const std::string& peer = hello.member->id;
    if (peer == m_membership.self().id)
        return m_transport.close(link);
    auto existing = m_links.find(peer);
    if (existing != m_links.end()) {
        // Both sides dialled: each keeps the link that the lower id dialled.
        bool keepOutgoing = m_membership.self().id < peer;
        if (outgoing != keepOutgoing && m_outgoing[existing->second] == keepOutgoing)
            return m_transport.close(link);
        closePeer(peer);
    }
    m_links[peer] = link;
    m_peers[link] = peer;
    m_outgoing[link] = outgoing;
    m_dials[peer].delay = Milliseconds(0);
    m_membership.linkUp(peer, clockNow());
    PeerFrameT frame;
    frame.sender = peer;
    frame.incarnation = hello.member->incarnation;
    frame.body.Set(HelloT(hello));
    m_membership.receive(frame, clockNow());
    BW_LOG(INFO, "peers") << "the link to " << peer << " is up";
    flush();
}

void PeerService::linkDown(LinkId link)
{
    for (auto& [peer, dial] : m_dials) {
        if (dial.link == link)
            dial.link.reset();
    }
    auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    std::string peer = found->second;
    BW_LOG(INFO, "peers") << "the link to " << peer << " is down";
    closePeer(peer);
}

void PeerService::closePeer(const std::string& peer)
{
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    LinkId link = found->second;
    m_links.erase(found);
    m_peers.erase(link);
    m_outgoing.erase(link);
    m_dials[peer].link.reset();
    m_transport.close(link);
    m_membership.linkDown(peer, clockNow());
}

void PeerService::frameReceived(LinkId link, PeerFrameT frame)
{
    auto found = m_peers.find(link);
    if (found == m_peers.end())
        return;
    std::string peer = found->second;
    MonotonicTime now = clockNow();
    if (!m_membership.receive(frame, now))
        return closePeer(peer);
    if (const auto* push = frame.body.AsLogPush()) {
        auto update = m_relay.receive(peer, *push, now);
        LogPushT accepted;
        accepted.log = push->log;
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
    flush();
}

void PeerService::answerSnapshotRequests()
{
    for (const auto& request : m_relay.takeSnapshotRequests()) {
        LogPushT push = m_config.log().offer(0, maxPeerFrameBytes / 2);
        push.log = RelayOptions {}.log;
        push.nonce = request.nonce;
        m_outbox.send(request.peer, std::move(push));
    }
}

void PeerService::dialMissing()
{
    MonotonicTime now = clockNow();
    for (const auto& peer : m_membership.peersToHold())
        dial(peer, now);
    for (auto used = m_lastUsed.begin(); used != m_lastUsed.end();) {
        if (now - used->second > onDemandLinkLifetime) {
            used = m_lastUsed.erase(used);
            continue;
        }
        dial(used->first, now);
        ++used;
    }
}

void PeerService::dial(const std::string& peer, MonotonicTime now)
{
    auto member = m_membership.members().find(peer);
    if (m_links.count(peer) || member == m_membership.members().end())
        return;
    Dial& dial = m_dials[peer];
    if (dial.link || now < dial.nextAttempt)
        return;
    dial.delay = std::clamp(dial.delay * 2, firstDialDelay, longestDialDelay);
    dial.nextAttempt = now + dial.delay;
    auto link = m_transport.connect(member->second.address);
    if (link)
        dial.link = link.value();
}

void PeerService::flush()
{
    for (auto& message : m_outbox.drain()) {
        auto link = m_links.find(message.peer);
        if (link == m_links.end())
            continue;
        PeerBody kind = message.body.type;
        std::string bytes = encodePeerFrame(m_membership.frame(std::move(message)));
        m_sentByKind[kind] += bytes.size();
        m_transport.sendEncoded(link->second, bytes);
    }
}

void PeerService::refreshList()
{
    if (m_listing)
        return;
    m_listing = true;
    m_nextList = clockNow() + listInterval + listIntervalPerInstance * m_membership.expectedInstances();
    m_store.listInstances([this](Result<std::vector<PlatformInstance>> list) {
        m_listing = false;
        if (!list)
            return;
        std::vector<ListedInstance> listed;
        for (const auto& instance : list.value()) {
            if (!instance.leaving)
                listed.push_back({ instance.id, instance.address, instance.failureDomain });
        }
        m_membership.seed(listed, clockNow());
        dialMissing();
    });
}

} // namespace briarwharf
