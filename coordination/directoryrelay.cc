#include "coordination/directoryrelay.h"

#include "base/endpoint.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    std::unique_ptr<DirectoryUpstreamT> toMessage(const UpstreamEntry& entry)
    {
        auto message = std::make_unique<DirectoryUpstreamT>();
        message->id = entry.id;
        message->pool = entry.pool;
        message->address = printEndpoint(entry.endpoint);
        message->failureDomain = entry.failureDomain;
        message->slots = static_cast<std::uint32_t>(entry.slots);
        message->draining = entry.draining;
        message->started = entry.started;
        message->revision = entry.revision;
        return message;
    }

    // Nothing for an entry whose address cannot be read.
    std::optional<UpstreamEntry> fromMessage(const DirectoryUpstreamT& message)
    {
        auto endpoint = parseEndpoint(message.address);
        if (!endpoint || message.id.empty())
            return std::nullopt;
        UpstreamEntry entry;
        entry.id = message.id;
        entry.pool = message.pool;
        entry.endpoint = endpoint.value();
        entry.failureDomain = message.failureDomain;
        entry.slots = static_cast<int>(message.slots);
        entry.draining = message.draining;
        entry.started = message.started;
        entry.revision = message.revision;
        return entry;
    }

} // namespace

DirectoryRelay::DirectoryRelay(DirectoryRelayOptions options, const Membership& membership, Outbox& outbox)
    : m_options(options)
    , m_membership(membership)
    , m_outbox(outbox)
    , m_election(membership, options.watchersPerDomain)
{
}

void DirectoryRelay::confirm(MonotonicTime asked)
{
    if (!m_confirmed || asked > *m_confirmed)
        m_confirmed = asked;
}

std::optional<Milliseconds> DirectoryRelay::confirmedAge(MonotonicTime now) const
{
    if (!m_confirmed)
        return std::nullopt;
    return toMilliseconds(now - *m_confirmed);
}

void DirectoryRelay::setRouting(std::uint64_t version, std::string document)
{
    m_routingVersion = version;
    m_document = std::move(document);
}

bool DirectoryRelay::isAhead(const Versions& versions) const
{
    return versions.routing > m_routingVersion || versions.directory > m_directoryRevision;
}

void DirectoryRelay::tick(MonotonicTime now)
{
    decideWatch(now);
    askPeer(now);
}

void DirectoryRelay::decideWatch(MonotonicTime now)
{
    bool small = m_membership.usable().size() <= m_options.allWatchUpTo;
    bool peersFresh = m_peersConfirmed && now - *m_peersConfirmed <= m_options.freshAgain;
    bool stale = !m_confirmed || now - *m_confirmed > m_options.selfWatchAfter;
    if (stale || (now < m_selfWatchUntil && !peersFresh))
        m_selfWatchUntil = now + m_options.selfWatchFor;
    bool needed = m_election.isElected() || now < m_selfWatchUntil;
    m_duty = small ? WatchDuty::OwnOnly : needed ? WatchDuty::ForOthers : WatchDuty::None;
}

void DirectoryRelay::askPeer(MonotonicTime now)
{
    if (m_askedAt && now - *m_askedAt < m_options.answerTimeout)
        return;
    m_askedAt.reset();
    bool loaded = m_routingVersion > 0 && m_directoryRevision > 0;
    Milliseconds patience = loaded && m_duty != WatchDuty::None ? m_options.patience : Milliseconds(0);
    // The peer that was asked longest ago, so that one that does not answer is passed over.
    Peer* chosen = nullptr;
    const std::string* name = nullptr;
    for (auto& [id, peer] : m_peers) {
        bool due = peer.aheadSince && now - *peer.aheadSince >= patience && isAhead(peer.told);
        if (due && (!chosen || peer.lastAsked < chosen->lastAsked)) {
            chosen = &peer;
            name = &id;
        }
    }
    if (!chosen)
        return;
    chosen->lastAsked = now;
    m_askedAt = now;
    DirectoryFetchT fetch;
    fetch.routingVersion = m_routingVersion;
    fetch.directoryRevision = m_directoryRevision;
    m_outbox.send(*name, fetch);
}

void DirectoryRelay::receive(
    const std::string& peer, const DirectoryFetchT& fetch, const UpstreamDirectory& directory)
{
    DirectoryPushT push;
    if (m_routingVersion > fetch.routingVersion) {
        push.routingVersion = m_routingVersion;
        push.routingDocument.assign(m_document.begin(), m_document.end());
    }
    if (directory.revision() > fetch.directoryRevision) {
        DirectoryChanges changes = directory.changesSince(fetch.directoryRevision);
        push.from = changes.from;
        push.revision = changes.revision;
        for (const auto& entry : changes.entries)
            push.upstreams.push_back(toMessage(entry));
        for (const auto& removed : changes.removed) {
            auto message = std::make_unique<DirectoryRemovalT>();
            message->id = removed.id;
            message->revision = removed.revision;
            push.removed.push_back(std::move(message));
        }
    }
    m_outbox.send(peer, std::move(push));
}

DirectoryUpdate DirectoryRelay::receive(const std::string&, const DirectoryPushT& push)
{
    m_askedAt.reset();
    DirectoryUpdate update;
    update.routingVersion = push.routingVersion;
    update.routingDocument.assign(push.routingDocument.begin(), push.routingDocument.end());
    if (push.revision == 0)
        return update;
    DirectoryChanges changes;
    changes.from = push.from;
    changes.revision = push.revision;
    for (const auto& message : push.upstreams) {
        if (auto entry = fromMessage(*message))
            changes.entries.push_back(std::move(*entry));
    }
    for (const auto& message : push.removed)
        changes.removed.push_back({ message->id, message->revision });
    update.changes = std::move(changes);
    return update;
}

std::uint64_t DirectoryRelay::newestRoutingVersion() const
{
    std::uint64_t newest = m_routingVersion;
    for (const auto& [id, peer] : m_peers)
        newest = std::max(newest, peer.told.routing);
    return newest;
}

void DirectoryRelay::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    heartbeat.routingVersion = m_routingVersion;
    heartbeat.directoryRevision = m_directoryRevision;
    if (m_confirmed) {
        constexpr std::int64_t bound = 0x7fffffff;
        heartbeat.headConfirmedMs
            = 1 + static_cast<std::uint32_t>(std::clamp<std::int64_t>(confirmedAge(now)->count(), 0, bound));
        peer.toldConfirmed = m_confirmed;
    }
    peer.sent = own();
}

void DirectoryRelay::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    peer.told = { heartbeat.routingVersion, heartbeat.directoryRevision };
    if (!isAhead(peer.told))
        peer.aheadSince.reset();
    else if (!peer.aheadSince)
        peer.aheadSince = now;
    // A statement about newer versions, or one whose age cannot be bounded, says nothing about the own state.
    if (heartbeat.headConfirmedMs == 0 || !link.transit || isAhead(peer.told) || peer.told != own())
        return;
    MonotonicTime confirmed = now - *link.transit - Milliseconds(heartbeat.headConfirmedMs - 1);
    if (!peer.toldConfirmed || confirmed > *peer.toldConfirmed)
        peer.toldConfirmed = confirmed;
    if (!m_peersConfirmed || confirmed > *m_peersConfirmed)
        m_peersConfirmed = confirmed;
    confirm(confirmed);
}

bool DirectoryRelay::urgent(const LinkView& link, MonotonicTime) const
{
    auto peer = m_peers.find(link.peer);
    if (peer == m_peers.end() || peer->second.sent != own())
        return true;
    if (!m_confirmed || m_membership.usable().size() <= m_options.allWatchUpTo)
        return false;
    const auto& told = peer->second.toldConfirmed;
    return !told || *m_confirmed - *told > m_options.worthwhileConfirmation;
}

void DirectoryRelay::linkUp(const std::string& peer, MonotonicTime) { m_peers[peer] = Peer {}; }

void DirectoryRelay::linkDown(const std::string& peer, MonotonicTime) { m_peers.erase(peer); }

} // namespace briarwharf
