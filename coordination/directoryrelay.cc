#include "coordination/directoryrelay.h"

#include "base/compression.h"
#include "base/hash.h"
#include "coordination/directorymessage.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace briarwharf {

namespace {

    // Bound for decompression; the limits on a configuration allow only far shorter documents.
    constexpr std::size_t maxDocumentBytes = 64 * 1024 * 1024;

    // Approximate size of an uncompressed entry of the list of upstreams.
    constexpr std::size_t entryBytes = 128;

    DirectoryChanges changesAt(const UpstreamDirectory& directory, std::uint64_t from, MonotonicTime now)
    {
        DirectoryChanges changes = directory.changesSince(from);
        updateColdRemaining(changes, now);
        return changes;
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
    return versions.routing > m_routingVersion || versions.directory > m_directoryRevision
        || versions.evacuations > m_evacuations.revision;
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
    Milliseconds wait = m_peerWasBusy ? m_options.busyRetryDelay : m_options.answerTimeout;
    if (m_fetchSentAt && now - *m_fetchSentAt < wait)
        return;
    m_fetchSentAt.reset();
    m_peerWasBusy = false;
    bool loaded = m_routingVersion > 0 && m_directoryRevision > 0;
    Milliseconds fetchDelay = loaded && m_duty != WatchDuty::None ? m_options.fetchDelay : Milliseconds(0);
    Peer* chosen = nullptr;
    const std::string* chosenId = nullptr;
    for (auto& [id, peer] : m_peers) {
        bool due = peer.aheadSince && now - *peer.aheadSince >= fetchDelay && isAhead(peer.reportedVersions);
        if (due && (!chosen || fetchOrder(id, peer) < fetchOrder(*chosenId, *chosen))) {
            chosen = &peer;
            chosenId = &id;
        }
    }
    if (!chosen)
        return;
    chosen->lastFetch = now;
    chosen->unanswered = true;
    m_fetchSentAt = now;
    DirectoryFetchT fetch;
    fetch.routingVersion = m_routingVersion;
    fetch.directoryRevision = m_directoryRevision;
    fetch.evacuationsRevision = m_evacuations.revision;
    fetch.acceptsCompressed = true;
    fetch.acceptsCompressedList = true;
    m_outbox.send(*chosenId, fetch);
}

// Peers that answered come first, those of the own failure domain before others; then peers that did not
// answer, beginning with the one that was queried longest ago. Equal ones are ordered by a hash that differs
// between instances, so that not all instances query the same peer.
DirectoryRelay::FetchOrder DirectoryRelay::fetchOrder(const std::string& id, const Peer& peer) const
{
    const auto& members = m_membership.members();
    auto member = members.find(id);
    bool sameDomain
        = member != members.end() && member->second.failureDomain == m_membership.self().failureDomain;
    std::uint64_t tieBreaker = combineHashes(m_membership.selfHash(), hash64(id));
    return { peer.unanswered, !peer.unanswered && !sameDomain, peer.lastFetch, tieBreaker };
}

void DirectoryRelay::receive(const std::string& peer, const DirectoryFetchT& fetch,
    const UpstreamDirectory& directory, MonotonicTime now)
{
    DirectoryPushT push;
    if (m_routingVersion > fetch.routingVersion)
        addDocument(peer, fetch.acceptsCompressed, push, now);
    if (directory.revision() > fetch.directoryRevision)
        addList(peer, fetch, directory, push, now);
    // A few names, which a peer gets also while it waits for a long document.
    if (m_evacuations.revision > fetch.evacuationsRevision) {
        push.evacuationsRevision = m_evacuations.revision;
        push.evacuations.assign(m_evacuations.domains.begin(), m_evacuations.domains.end());
    }
    m_outbox.send(peer, std::move(push));
}

bool DirectoryRelay::isLong(std::size_t entries) const
{
    return entries * entryBytes > m_options.longDocumentBytes;
}

void DirectoryRelay::addList(const std::string& peer, const DirectoryFetchT& fetch,
    const UpstreamDirectory& directory, DirectoryPushT& push, MonotonicTime now)
{
    // Many instances that start at the same time request the whole list. It is neither copied nor compressed
    // for each of them, nor for those that have to wait.
    bool needsAll = fetch.directoryRevision == 0 && isLong(directory.upstreams().size());
    DirectoryChanges changes;
    if (!needsAll)
        changes = changesAt(directory, fetch.directoryRevision, now);
    if (!needsAll && !isLong(changes.entries.size() + changes.removed.size()))
        return addChanges(changes, push);
    LongPush* permit = acquirePushPermit(peer, now);
    if (!permit) {
        push.busy = true;
        return;
    }
    permit->versions.directory = directory.revision();
    if (!fetch.acceptsCompressedList)
        return addChanges(needsAll ? changesAt(directory, 0, now) : changes, push);
    std::string list = needsAll ? compressedList(directory, now) : compressChanges(changes);
    push.compressedList.assign(list.begin(), list.end());
}

// Remaining cold times in a list that is kept may be too long, never too short.
const std::string& DirectoryRelay::compressedList(const UpstreamDirectory& directory, MonotonicTime now)
{
    if (m_compressedListRevision != directory.revision())
        m_compressedList = compressChanges(changesAt(directory, 0, now));
    m_compressedListRevision = directory.revision();
    return m_compressedList;
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
    if (document.size() > m_options.longDocumentBytes) {
        LongPush* permit = acquirePushPermit(peer, now);
        if (!permit) {
            push.busy = true;
            return;
        }
        permit->versions.routing = m_routingVersion;
    }
    push.routingVersion = m_routingVersion;
    auto& bytes = compressed ? push.compressedDocument : push.routingDocument;
    bytes.assign(document.begin(), document.end());
}

// Returns nullptr while the maximum number of peers are being sent a document or list: those that have
// neither reported it in a heartbeat nor exceeded answerTimeout.
DirectoryRelay::LongPush* DirectoryRelay::acquirePushPermit(const std::string& peer, MonotonicTime now)
{
    for (auto push = m_longPushes.begin(); push != m_longPushes.end();) {
        bool isExpired = now - push->second.started >= m_options.answerTimeout;
        push = isExpired ? m_longPushes.erase(push) : std::next(push);
    }
    if (m_longPushes.count(peer) == 0 && m_longPushes.size() >= m_options.maxConcurrentLongPushes)
        return nullptr;
    LongPush& push = m_longPushes[peer];
    push.started = now;
    return &push;
}

// A busy peer answers without a document or list. Another peer is queried after busyRetryDelay.
Result<DirectoryUpdate> DirectoryRelay::receive(const std::string& peer, const DirectoryPushT& push)
{
    m_peerWasBusy = push.busy;
    if (!push.busy)
        m_fetchSentAt.reset();
    auto sender = m_peers.find(peer);
    if (sender != m_peers.end() && !push.busy)
        sender->second.unanswered = false;
    DirectoryUpdate update;
    update.routingVersion = push.routingVersion;
    update.evacuations.revision = push.evacuationsRevision;
    update.evacuations.domains.insert(push.evacuations.begin(), push.evacuations.end());
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
    if (!push.compressedList.empty()) {
        auto changes = decompressChanges(
            { reinterpret_cast<const char*>(push.compressedList.data()), push.compressedList.size() });
        if (!changes)
            return changes.error();
        update.changes = std::move(changes.value());
    } else if (push.revision > 0) {
        update.changes = changesOf(push);
    }
    return update;
}

void DirectoryRelay::fill(const LinkView& link, HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    heartbeat.routingVersion = m_routingVersion;
    heartbeat.directoryRevision = m_directoryRevision;
    heartbeat.evacuationsRevision = m_evacuations.revision;
    if (m_confirmedAt) {
        constexpr std::int64_t bound = 0x7fffffff;
        heartbeat.headConfirmedMs
            = 1 + static_cast<std::uint32_t>(std::clamp<std::int64_t>(confirmedAge(now)->count(), 0, bound));
        peer.knownConfirmation = m_confirmedAt;
    }
    peer.sentVersions = ownVersions();
    m_departures.send(
        link.peer, m_options.maxDeparturesPerHeartbeat, [&heartbeat](const SpreadDeparture& record) {
            const UpstreamDeparture& departure = record.departure;
            heartbeat.departures.emplace_back(
                departure.upstream, departure.started, departure.revision, departure.draining);
            heartbeat.departureSequences.push_back(sequenceField(departure.sequence));
        });
}

void DirectoryRelay::spread(const std::vector<UpstreamDeparture>& departures, MonotonicTime now)
{
    m_departures.removeIf(
        [&](const SpreadDeparture& record) { return now - record.addedAt >= m_options.departureRetention; });
    for (const UpstreamDeparture& departure : departures)
        m_departures.add({ departure, now });
}

// An instance of an older version does not send the sequences.
void DirectoryRelay::receiveDepartures(const HeartbeatT& heartbeat)
{
    const auto& sequences = heartbeat.departureSequences;
    for (std::size_t index = 0; index < heartbeat.departures.size(); ++index) {
        const PeerDeparture& departure = heartbeat.departures[index];
        auto sequence = index < sequences.size() ? sequenceOf(sequences[index]) : std::nullopt;
        m_receivedDepartures.push_back({ departure.upstream(), departure.started(), departure.revision(),
            departure.draining(), sequence });
    }
}

void DirectoryRelay::accept(const LinkView& link, const HeartbeatT& heartbeat, MonotonicTime now)
{
    Peer& peer = m_peers[link.peer];
    peer.reportedVersions
        = { heartbeat.routingVersion, heartbeat.directoryRevision, heartbeat.evacuationsRevision };
    receiveDepartures(heartbeat);
    auto push = m_longPushes.find(link.peer);
    if (push != m_longPushes.end() && peer.reportedVersions.includes(push->second.versions))
        m_longPushes.erase(push);
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
    if (peer == m_peers.end() || peer->second.sentVersions != ownVersions()
        || m_departures.hasNewsFor(link.peer))
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
    m_departures.linkDown(peer);
}

} // namespace briarwharf
