#pragma once

#include "base/error.h"
#include "coordination/member.h"
#include "coordination/store.h"
#include "coordination/watchelection.h"
#include <deque>

namespace briarwharf {

// Reports about the configuration, aggregated over a set of instances.
struct Coverage {
    std::size_t instances = 0; // size of the set, including this one
    std::uint64_t digest = 0; // sum of the hashes of their ids; distinguishes sets of equal size
    Milliseconds oldestAge { 0 }; // of the oldest report
    std::uint64_t revision = 0; // highest revision that is known to any of them
};

// Inputs of the decision whether an upstream may get new work. Ages are upper bounds.
struct NewWorkInputs {
    bool reportsState = false; // the upstream is an engine that reports its state
    // Since the log's head was confirmed to be no later than the revision in force; nullopt: never.
    std::optional<Milliseconds> headConfirmedAge;
    // Of the upstream's report to this instance's own poll; nullopt: none.
    std::optional<Milliseconds> ownReportAge;
    bool ownReportServing = false;
    std::uint64_t revision = 0; // in force here
    std::size_t expectedInstances = 0; // in the last known membership, including this one
    std::uint64_t expectedDigest = 0; // sum of the hashes of their ids
    Coverage peerCoverage; // instances that last reported that they are not current, and this one
};

enum class NewWorkDecision {
    Current, // allowed: the configuration is current
    OwnReport, // allowed: the engine itself reports that it serves
    NoChangePossible, // allowed: no instance can reach the store
    NoFreshReport, // refused: not current and no report of the engine within the limit
    NotServing, // refused: not current and the engine reports that it does not serve
    PeersMissing, // refused: not current and another instance may know a newer configuration
};

// Maximum age of a confirmation of the configuration, of an engine's report and of the peers' reports at
// which new work may rely on it.
constexpr Milliseconds freshnessLimit { 2000 };

// Decides whether an upstream that is serving according to the configuration in force may get new work
// (section 5 of the design).
NewWorkDecision decideNewWork(const NewWorkInputs&);
bool isAllowed(NewWorkDecision);

struct RelayOptions {
    std::string log = "configuration";
    std::size_t watchersPerDomain = 2;
    // Wait for a push that may be in transit before missing records are requested.
    Milliseconds fetchDelay { 300 };
    Milliseconds fetchRetryInterval { 1000 };
    // An instance that does not watch polls the store when its confirmation is older.
    Milliseconds pollConfirmationAge { 1500 };
    Milliseconds pollInterval { 2500 }; // between such polls, plus a random time of up to the same length
    Milliseconds staleConfirmationAge { 900 }; // a peer whose confirmation is older gets an early heartbeat
    std::size_t maxKeptRecords = 256; // to answer fetches; also bounded by maxKeptBytes
    std::size_t maxKeptBytes = 1024 * 1024;
    std::size_t maxPushBytes = 512 * 1024;
};

// A peer requested records that are no longer kept here; answer with a snapshot.
struct SnapshotRequest {
    std::string peer;
    std::uint64_t nonce = 0;
};

// What a linked instance last reported about its configuration.
struct PeerReport {
    std::uint64_t revision = 0; // in force there
    bool current = false; // its configuration was confirmed within freshnessLimit
    std::optional<Milliseconds> confirmedAge;
};

// Distributes configuration records from the few instances that watch the store to all others, and tracks how
// recently the configuration in force was confirmed to be the newest.
//
//   if (relay.watches()) ...                        // keep a watch on record revision() + 1 at the store
//   relay.confirm(head, requestedAt);               // after each response of the store
//   relay.setInForce(number, records, now, from);   // after records were applied, from any source
//   auto update = relay.receive(peer, push, now);   // apply update.snapshot, then update.records
class ConfigurationRelay : public HeartbeatSection {
public:
    struct Update {
        std::uint64_t snapshotNumber = 0; // 0: none
        std::vector<std::uint8_t> snapshot;
        std::vector<LogRecordT> records; // consecutive, starting after revision() or after the snapshot
    };

    ConfigurationRelay(const Membership&, RelayOptions, Outbox&, std::uint64_t seed);

    // Whether this instance is one of the `watchersPerDomain` in its failure domain that watch the store.
    bool watches() const { return m_election.isElected(); }

    // Whether this instance, which does not watch, should read the head from the store now. True at most once
    // per poll interval.
    bool takeDuePoll(MonotonicTime now);

    // Latest era of the store that a peer has stated.
    StoreEra heardEra() const { return m_heardEra; }

    // To be called with the store's era before anything of that era is passed on. In a later era, numbers and
    // confirmations of an earlier one are void, and peers that state an earlier one are not heard.
    void setEra(StoreEra);

    // The store reported `head` as the log's last record. `requestedAt` is when the request was sent: the
    // latest time for which the response is certain to hold.
    void confirm(std::uint64_t head, MonotonicTime requestedAt);

    // Records up to `number` are in force here. A number that is not higher than before is ignored. Pushes
    // `records` (those just applied; may be empty after a snapshot) to linked peers that lack them, except to
    // `from`, the peer that sent them.
    void setInForce(std::uint64_t number, const std::vector<LogRecordT>& records, MonotonicTime now,
        const std::string& from = {});

    // Returns the snapshot and records of a peer's push that are to be applied next; empty if nothing is new.
    Update receive(const std::string& peer, const LogPushT&, MonotonicTime now);
    void receive(const std::string& peer, const LogFetchT&, MonotonicTime now);

    std::vector<SnapshotRequest> takeSnapshotRequests() { return std::exchange(m_snapshotRequests, {}); }

    // Requests missing records from peers.
    void tick(MonotonicTime now);

    std::uint64_t revision() const { return m_revision; }

    // Upper bound of the time since the store's head was known to be no later than revision(); nullopt: never
    // confirmed.
    std::optional<Milliseconds> confirmedAge(MonotonicTime now) const;
    bool current(MonotonicTime now) const;

    // nullopt: no link, or no report yet.
    std::optional<PeerReport> peerReport(const std::string& peer, MonotonicTime now) const;

    // Coverage of the instances that are not current, including this one: from the reports on direct links or
    // from the aggregation tree, whichever covers more instances or, if equal, has the more recent reports.
    Coverage notCurrentCoverage(MonotonicTime now) const;

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Peer {
        std::uint64_t revision = 0;
        // When the head was last confirmed, as the peer reported.
        std::optional<MonotonicTime> headConfirmedAt;
        std::optional<MonotonicTime> reportedAt; // earliest possible time of the peer's latest report
        // Confirmation time sent with the latest heartbeat to the peer.
        std::optional<MonotonicTime> confirmationSent;
        bool notCurrent = false; // by its latest report
        // From the peer's latest heartbeat on a tree link: instances on its side that are not current.
        std::size_t coveredInstances = 0;
        std::uint64_t coveredDigest = 0;
        MonotonicTime coveredOldestAt;
        std::uint64_t knownHead = 0; // highest revision known on the peer's side of the link
        std::uint64_t pushedRevision = 0; // number of the highest record pushed to the peer
    };
    struct Confirmation {
        std::uint64_t head = 0;
        MonotonicTime at;
    };

    void applyConfirmation(Confirmation);
    Coverage treeCoverage(const std::string& except, MonotonicTime now) const;
    Coverage directCoverage(MonotonicTime now) const;
    void keepRecords(const std::vector<LogRecordT>&);
    void push(const std::string& peer, std::uint64_t from, std::uint64_t nonce);
    std::uint64_t knownHead() const;
    std::vector<std::string> peersAhead() const;

    const Membership& m_membership;
    RelayOptions m_options;
    Outbox& m_outbox;
    Random m_random;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::deque<LogRecordT> m_kept;
    std::size_t m_keptBytes = 0;
    std::vector<SnapshotRequest> m_snapshotRequests;
    StoreEra m_era = 0;
    StoreEra m_heardEra = 0;
    std::uint64_t m_revision = 0;
    std::optional<MonotonicTime> m_headConfirmedAt;
    std::optional<Confirmation> m_pendingConfirmation; // of a head that is not in force here yet
    std::optional<MonotonicTime> m_behindSince;
    std::optional<MonotonicTime> m_lastFetch;
    std::optional<MonotonicTime> m_nextPoll;
    std::uint64_t m_nextNonce = 1;
    WatchElection m_election;
};

} // namespace briarwharf
