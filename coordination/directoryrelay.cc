#include "coordination/directoryrelay.h"

#include "base/compression.h"
#include "base/endpoint.h"
#include "base/hash.h"
#include <algorithm>
#include <utility>

namespace briarwharf {

namespace {

    // Bound for decompression; the limits on a configuration allow only far shorter documents.
    constexpr std::size_t maxDocumentBytes = 64 * 1024 * 1024;

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

    // Returns nullopt for an entry without an id or with an address that cannot be parsed.
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

void DirectoryRelay::confirm(MonotonicTime requestedAt)
{
    if (!m_confirmedAt || requestedAt > *m_confirmedAt)
        m_confirmedAt = requestedAt;
}

std::optional<Milliseconds> DirectoryRelay::confirmedAge(MonotonicTime now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return toMilliseconds(now - *m_confirmedAt);
}

void DirectoryRelay::setRouting(std::uint64_t version, std::string document)
{
    m_routingVersion = version;
    m_document = std::move(document);
    m_compressed.clear();
    if (m_receivedVersion == version)
        m_compressed = std::exchange(m_received, {});
    m_longPushes.clear();
}

bool DirectoryRelay::isAhead(const Versions& versions) const
{
    return versions.routing > m_routingVersion || versions.directory > m_directoryRevision;
}

void DirectoryRelay::tick(MonotonicTime now)
{
    updateDuty(now);
    fetchFromPeer(now);
}

void DirectoryRelay::updateDuty(MonotonicTime now)
{
    bool allWatch = m_membership.usable().size() <= m_options.allWatchLimit;
    bool peersFresh = m_peersConfirmedAt && now - *m_peersConfirmedAt <= m_options.freshConfirmationAge;
    bool stale = !m_confirmedAt || now - *m_confirmedAt > m_options.confirmationTimeout;
    if (stale || (now < m_selfWatchUntil && !peersFresh))
        m_selfWatchUntil = now + m_options.selfWatchDuration;
    bool watchesForOthers = m_election.isElected() || now < m_selfWatchUntil;
    m_duty = allWatch ? WatchDuty::OwnOnly : watchesForOthers ? WatchDuty::ForOthers : WatchDuty::None;
}

void DirectoryRelay::fetchFromPeer(MonotonicTime now)
{
    if (m_fetchSentAt && now - *m_fetchSentAt < m_options.answerTimeout)
        return;
    m_fetchSentAt.reset();
    bool loaded = m_routingVersion > 0 && m_directoryRevision > 0;
    Milliseconds fetchDelay = loaded && m_duty != WatchDuty::None ? m_options.fetchDelay : Milliseconds(0);
    // Chooses the peer that was queried longest ago, so that a peer that does not answer is skipped. Peers
    // that were never queried are ordered by a hash that differs between instances, so that not all instances
    // query the same peer.
    Peer* chosen = nullptr;
    const std::string* chosenId = nullptr;
    std::uint64_t self = hash64(m_membership.self().id);
    auto order = [self](const std::string& id, const Peer& peer) {
        return std::make_pair(peer.lastFetch, combineHashes(self, hash64(id)));
    };
    for (auto& [id, peer] : m_peers) {
        bool due = peer.aheadSince && now - *peer.aheadSince >= fetchDelay && isAhead(peer.reportedVersions);
        if (due && (!chosen || order(id, peer) < order(*chosenId, *chosen))) {
            chosen = &peer;
            chosenId = &id;
        }
    }
    if (!chosen)
        return;
    chosen->lastFetch = now;
    m_fetchSentAt = now;
    DirectoryFetchT fetch;
    fetch.routingVersion = m_routingVersion;
    fetch.directoryRevision = m_directoryRevision;
    fetch.acceptsCompressed = true;
    m_outbox.send(*chosenId, fetch);
}

void DirectoryRelay::receive(const std::string& peer, const DirectoryFetchT& fetch,
    const UpstreamDirectory& directory, MonotonicTime now)
{
    DirectoryPushT push;
    if (m_routingVersion > fetch.routingVersion)
        addDocument(peer, fetch.acceptsCompressed, push, now);
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

const std::string& DirectoryRelay::compressedDocument()
{
    if (m_compressed.empty())
        m_compressed = compress(m_document);
    return m_compressed;
}

void DirectoryRelay::addDocument(
    const std::string& peer, bool compressed, DirectoryPushT& push, MonotonicTime now)
{
    const std::string& document = compressed ? compressedDocument() : m_document;
    if (document.size() > m_options.longDocumentBytes && !acquirePushPermit(peer, now)) {
        push.busy = true;
        return;
    }
    push.routingVersion = m_routingVersion;
    auto& bytes = compressed ? push.compressedDocument : push.routingDocument;
    bytes.assign(document.begin(), document.end());
}

// Returns false while the maximum number of peers are being sent the document: those that have neither
// reported it in a heartbeat nor exceeded answerTimeout.
bool DirectoryRelay::acquirePushPermit(const std::string& peer, MonotonicTime now)
{
    for (auto push = m_longPushes.begin(); push != m_longPushes.end();) {
        bool isExpired = now - push->second >= m_options.answerTimeout;
        push = isExpired ? m_longPushes.erase(push) : std::next(push);
    }
    if (m_longPushes.count(peer) == 0 && m_longPushes.size() >= m_options.maxConcurrentLongPushes)
        return false;
    m_longPushes[peer] = now;
    return true;
}

// A busy peer answers without a document. The next tick then queries another peer, beginning with those that
// were not queried yet.
Result<DirectoryUpdate> DirectoryRelay::receive(const std::string&, const DirectoryPushT& push)
{
    m_fetchSentAt.reset();
    DirectoryUpdate update;
    update.routingVersion = push.routingVersion;
    update.routingDocument.assign(push.routingDocument.begin(), push.routingDocument.end());
    if (!push.compressedDocument.empty()) {
        std::string compressed(push.compressedDocument.begin(), push.compressedDocument.end());
        auto document = decompress(compressed, maxDocumentBytes);
        if (!document)
            return document.error();
        update.routingDocument = std::move(document.value());
        m_receivedVersion = push.routingVersion;
        m_received = std::move(compressed);
    }
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

void DirectoryRelay::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    heartbeat.routingVersion = m_routingVersion;
    heartbeat.directoryRevision = m_directoryRevision;
    if (m_confirmedAt) {
        constexpr std::int64_t bound = 0x7fffffff;
        heartbeat.headConfirmedMs
            = 1 + static_cast<std::uint32_t>(std::clamp<std::int64_t>(confirmedAge(now)->count(), 0, bound));
        peer.knownConfirmation = m_confirmedAt;
    }
    peer.sentVersions = ownVersions();
}

void DirectoryRelay::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    peer.reportedVersions = { heartbeat.routingVersion, heartbeat.directoryRevision };
    if (peer.reportedVersions.routing >= m_routingVersion)
        m_longPushes.erase(link.peer);
    if (!isAhead(peer.reportedVersions))
        peer.aheadSince.reset();
    else if (!peer.aheadSince)
        peer.aheadSince = now;
    // A confirmation of other versions, or one whose age cannot be bounded, does not confirm this instance's
    // state.
    if (heartbeat.headConfirmedMs == 0 || !link.maxTransit || isAhead(peer.reportedVersions)
        || peer.reportedVersions != ownVersions())
        return;
    MonotonicTime confirmed = now - *link.maxTransit - Milliseconds(heartbeat.headConfirmedMs - 1);
    if (!peer.knownConfirmation || confirmed > *peer.knownConfirmation)
        peer.knownConfirmation = confirmed;
    if (!m_peersConfirmedAt || confirmed > *m_peersConfirmedAt)
        m_peersConfirmedAt = confirmed;
    confirm(confirmed);
}

bool DirectoryRelay::urgent(const LinkView& link, MonotonicTime) const
{
    auto peer = m_peers.find(link.peer);
    if (peer == m_peers.end() || peer->second.sentVersions != ownVersions())
        return true;
    if (!m_confirmedAt || m_membership.usable().size() <= m_options.allWatchLimit)
        return false;
    const auto& known = peer->second.knownConfirmation;
    return !known || *m_confirmedAt - *known > m_options.minConfirmationGain;
}

void DirectoryRelay::linkUp(const std::string& peer, MonotonicTime) { m_peers[peer] = Peer {}; }

void DirectoryRelay::linkDown(const std::string& peer, MonotonicTime)
{
    m_peers.erase(peer);
    m_longPushes.erase(peer);
}

} // namespace briarwharf
