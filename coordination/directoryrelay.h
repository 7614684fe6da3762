#pragma once

#include "coordination/directory.h"
#include "coordination/evacuations.h"
#include "coordination/member.h"
#include "coordination/outbox.h"
#include "coordination/recordspread.h"
#include "coordination/watchelection.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace briarwharf {

struct DirectoryRelayOptions {
    // A peer that has had newer versions for this long is queried. Usually this instance's own watch of the
    // source is faster, so that no transfer is needed.
    Milliseconds fetchDelay { 250 };
    Milliseconds answerTimeout { 1000 }; // without an answer for this long, another peer is queried
    Milliseconds busyRetryDelay { 200 }; // after the answer that a peer is busy, another one is queried
    // In fleets of up to this many instances, each watches the source itself: this costs little, and no
    // instance depends on another. In larger fleets, watchersPerDomain instances of each failure domain watch
    // for all.
    std::size_t allWatchLimit = 12;
    std::size_t watchersPerDomain = 1;
    // An instance whose state has not been confirmed as the newest for `confirmationTimeout` watches the
    // source itself. It stops `selfWatchDuration` after the last moment at which the peers' confirmation was
    // older than `freshConfirmationAge`.
    Milliseconds confirmationTimeout { 2500 };
    Milliseconds freshConfirmationAge { 1500 };
    Milliseconds selfWatchDuration { 4000 };
    // A document or list of upstreams that is longer than this is sent to at most `maxConcurrentLongPushes`
    // peers at a time, so that it does not occupy the sender's network link for long; other peers get it from
    // those that have received it.
    std::size_t longDocumentBytes = 16 * 1024;
    std::size_t maxConcurrentLongPushes = 3;
    // A confirmation that is newer than the peer's by more than this is sent before the next regular
    // heartbeat.
    Milliseconds minConfirmationGain { 400 };
    std::size_t maxDeparturesPerHeartbeat = 64; // of 40 bytes; the others wait for the following heartbeats
    // Departures are sent to peers with a new link for this time. Later the upstreams have written their
    // entries again.
    Milliseconds departureRetention { 30000 };
};

// How this instance should watch the source.
enum class WatchDuty {
    None, // other instances watch for this one
    OwnOnly, // all instances watch, each for itself
    ForOthers, // other instances rely on this one, or it cannot rely on them
};

// The contents of a push.
struct DirectoryUpdate {
    std::uint64_t routingVersion = 0; // 0: no document
    std::string routingDocument;
    std::optional<DirectoryChanges> changes;
    EvacuationList evacuations; // revision 0: no list
};

// Transfers the configuration of forwarded routes, the list of upstreams and the list of evacuated failure
// domains between instances, for those that do not get them from the source. Heartbeats carry the versions;
// an instance that is behind queries one peer.
//
//   relay.setRouting(version, document);
//   relay.setDirectoryRevision(directory.revision());
//   relay.setEvacuations(evacuated.list());
//   relay.tick(now);                                      // queries a peer if that is due
//   relay.receive(peer, fetch, directory, now);           // answers a peer's query
//   auto update = relay.receive(peer, push);              // evaluates a peer's answer
class DirectoryRelay : public HeartbeatSection {
public:
    DirectoryRelay(DirectoryRelayOptions, const Membership&, Outbox&);

    // Set the versions in force here; the document and the list of evacuated domains are kept for peers.
    void setRouting(std::uint64_t version, std::string document);
    void setDirectoryRevision(std::uint64_t revision) { m_directoryRevision = revision; }
    void setEvacuations(const EvacuationList& list) { m_evacuations = list; }

    // The source reported that there is nothing newer. `requestedAt` is when the request was sent.
    void confirm(MonotonicTime requestedAt);

    void tick(MonotonicTime now);

    WatchDuty duty() const { return m_duty; }
    // Time since the state in force was last confirmed as the newest, by the source or by a peer's report;
    // nullopt: never.
    std::optional<Milliseconds> confirmedAge(MonotonicTime now) const;

    void receive(
        const std::string& peer, const DirectoryFetchT&, const UpstreamDirectory&, MonotonicTime now);
    // Errors: Corrupt, TooLarge (of a compressed document; the next tick queries a peer again).
    Result<DirectoryUpdate> receive(const std::string& peer, const DirectoryPushT&);

    // Passes departures on to all instances, and returns those that peers reported since the last call.
    void spread(const std::vector<UpstreamDeparture>&, MonotonicTime now);
    std::vector<UpstreamDeparture> takeDepartures() { return std::exchange(m_receivedDepartures, {}); }

    std::uint64_t routingVersion() const { return m_routingVersion; }

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Versions {
        std::uint64_t routing = 0;
        std::uint64_t directory = 0;
        std::uint64_t evacuations = 0;
        bool operator==(const Versions&) const = default;
        bool includes(const Versions& other) const
        {
            return routing >= other.routing && directory >= other.directory
                && evacuations >= other.evacuations;
        }
    };
    struct Peer {
        Versions reportedVersions; // by the peer's latest heartbeat
        std::optional<Versions> sentVersions; // with the latest heartbeat to the peer
        std::optional<MonotonicTime> aheadSince;
        MonotonicTime lastFetch;
        bool unanswered = false; // the latest query, or the peer was busy
        // Newest confirmation time that was sent to the peer or reported by it.
        std::optional<MonotonicTime> knownConfirmation;
    };

    // A document or list that is being sent to a peer.
    struct LongPush {
        MonotonicTime started;
        Versions versions; // that the peer has after it
    };
    struct SpreadDeparture {
        UpstreamDeparture departure;
        MonotonicTime addedAt;
    };
    using FetchOrder = std::tuple<bool, bool, MonotonicTime, std::uint64_t>;

    Versions ownVersions() const { return { m_routingVersion, m_directoryRevision, m_evacuations.revision }; }
    bool isAhead(const Versions&) const;
    void receiveDepartures(const HeartbeatT&);
    void fetchFromPeer(MonotonicTime now);
    void updateDuty(MonotonicTime now);
    void addDocument(const std::string& peer, bool compressed, DirectoryPushT&, MonotonicTime now);
    void addList(const std::string& peer, const DirectoryFetchT&, const UpstreamDirectory&, DirectoryPushT&,
        MonotonicTime now);
    FetchOrder fetchOrder(const std::string& id, const Peer&) const;
    LongPush* acquirePushPermit(const std::string& peer, MonotonicTime now);
    const std::string& compressedDocument();
    bool isLong(std::size_t entries) const;
    const std::string& compressedList(const UpstreamDirectory&, MonotonicTime now);

    DirectoryRelayOptions m_options;
    const Membership& m_membership;
    Outbox& m_outbox;
    WatchElection m_election;
    WatchDuty m_duty = WatchDuty::OwnOnly;
    MonotonicTime m_selfWatchUntil;
    std::optional<MonotonicTime> m_confirmedAt; // by the source or by any instance
    std::optional<MonotonicTime> m_peersConfirmedAt; // newest confirmation that a peer reported
    std::map<std::string, Peer, std::less<>> m_peers;
    std::uint64_t m_routingVersion = 0;
    std::uint64_t m_directoryRevision = 0;
    EvacuationList m_evacuations;
    std::string m_document;
    std::string m_compressed; // m_document in compressed form; empty until it is needed
    // The last compressed document that a peer sent, kept until it is in force here or another one arrives.
    std::uint64_t m_receivedVersion = 0;
    std::string m_received;
    std::string m_compressedList;
    std::uint64_t m_compressedListRevision = 0; // of the complete list in m_compressedList; 0: none
    std::map<std::string, LongPush, std::less<>> m_longPushes; // by peer
    std::optional<MonotonicTime> m_fetchSentAt; // set until the next query is due
    bool m_peerWasBusy = false; // the peer that was queried last
    RecordSpread<SpreadDeparture> m_departures;
    std::vector<UpstreamDeparture> m_receivedDepartures;
};

} // namespace briarwharf
