#pragma once

#include "base/error.h"
#include "coordination/member.h"
#include "coordination/watchelection.h"
#include <deque>

namespace briarwharf {

// What instances say about the configuration, folded over some of them.
struct Coverage {
    std::size_t instances = 0; // this one included
    std::uint64_t digest = 0; // sum of the hashes of their ids; tells sets of equal size apart
    Milliseconds oldestAge { 0 }; // age of the oldest statement
    std::uint64_t revision = 0; // highest revision in force among them
};

// Everything that the decision on new work depends on. Ages are upper bounds.
struct NewWorkInputs {
    bool reportsState = false; // the upstream is an engine that reports its state
    std::optional<Milliseconds> headConfirmedAge; // nullopt: never, or not up to the revision in force
    std::optional<Milliseconds> ownReportAge; // of this instance's own poll of the upstream; nullopt: none
    bool ownReportServing = false;
    std::uint64_t revision = 0; // in force here
    std::size_t expectedInstances = 0; // of the last known membership, this one included
    std::uint64_t expectedDigest = 0; // sum of the hashes of their ids
    Coverage peerCoverage; // instances whose latest statement says that they are not current, and this one
};

enum class NewWorkDecision {
    Current, // allowed: the configuration is current
    OwnReport, // allowed: the engine itself says that it serves
    NoChangePossible, // allowed: no instance can reach the store
    NoFreshReport, // refused: not current and no report of the engine within the limit
    NotServing, // refused: not current and the engine says that it does not serve
    PeersMissing, // refused: not current and an instance may know a newer configuration
};

constexpr Milliseconds currencyLimit { 2000 };

// The rule of section 5 of the design for giving new work to an upstream that the configuration in force
// shows as serving.
NewWorkDecision decideNewWork(const NewWorkInputs&);
bool isAllowed(NewWorkDecision);

struct RelayOptions {
    std::string log = "configuration";
    std::size_t watchersPerDomain = 2;
    Milliseconds fetchAfter { 300 }; // a push on its way gets this long before records are asked for
    Milliseconds fetchRetry { 1000 };
    Milliseconds pollAfter { 1500 }; // without confirmation, instances that do not watch poll
    Milliseconds pollInterval { 2500 }; // between such polls; jittered by up to as much again
    Milliseconds staleConfirmation { 900 }; // a peer whose confirmation is older gets a heartbeat early
    std::size_t keptRecords = 256; // for answering fetches
    std::size_t keptBytes = 1024 * 1024;
    std::size_t maxPushBytes = 512 * 1024;
};

// A peer asks for records that are no longer kept here: answer with a snapshot.
struct SnapshotRequest {
    std::string peer;
    std::uint64_t nonce = 0;
};

// What a linked instance last said about its configuration.
struct PeerStatement {
    std::uint64_t revision = 0; // in force there
    bool current = false;
    std::optional<Milliseconds> confirmedAge;
};

// Decides how configuration records travel from the few instances that watch the store to all others, and
// knows how fresh the configuration in force is.
//
//   if (relay.watches()) ...                        // keep a watch on record revision()+1 at the store
//   relay.confirm(head, askedAt);                   // after each answer of the store
//   relay.inForce(number, records, now, from);      // after records were applied, from whichever source
//   auto update = relay.receive(peer, push, now);   // apply update.snapshot, then update.records
class ConfigurationRelay : public HeartbeatSection {
public:
    struct Update {
        std::uint64_t snapshotNumber = 0; // 0: none
        std::vector<std::uint8_t> snapshot;
        std::vector<LogRecordT> records; // numbered on from revision(), or from the snapshot
    };

    ConfigurationRelay(const Membership&, RelayOptions, Outbox&, std::uint64_t seed);

    // Whether this instance watches the store: one of `watchersPerDomain` in its failure domain.
    bool watches() const { return m_election.isElected(); }

    // Whether an instance that does not watch should read the head from the store now. True at most once per
    // poll interval.
    bool takePoll(MonotonicTime now);

    // The store said that the log's last record is `head`. `asked` is when the question was sent, which is
    // the latest time for which the answer certainly holds.
    void confirm(std::uint64_t head, MonotonicTime asked);

    // Records up to `number` are in force here. Lower numbers than before are ignored. Pushes `records`
    // (those just applied, may be empty after a snapshot) to linked peers that lack them, except to `from`.
    void inForce(std::uint64_t number, const std::vector<LogRecordT>& records, MonotonicTime now,
        const std::string& from = {});

    // What of a peer's push is to be applied next; empty when nothing is new.
    Update receive(const std::string& peer, const LogPushT&, MonotonicTime now);
    void receive(const std::string& peer, const LogFetchT&, MonotonicTime now);

    std::vector<SnapshotRequest> takeSnapshotRequests() { return std::exchange(m_snapshotRequests, {}); }

    // Asks peers for missing records.
    void tick(MonotonicTime now);

    std::uint64_t revision() const { return m_revision; }

    // Upper bound of the time since the store's head was no later than revision(); nullopt: never confirmed.
    std::optional<Milliseconds> confirmedAge(MonotonicTime now) const;
    bool current(MonotonicTime now) const;

    // nullopt: no link, or nothing said yet.
    std::optional<PeerStatement> statement(const std::string& peer, MonotonicTime now) const;

    // Statements of other instances that are not current, with this one: from the direct links or from the
    // aggregation tree, whichever covers more.
    Coverage notCurrentCoverage(MonotonicTime now) const;

    void fill(const LinkView&, HeartbeatT&, MonotonicTime now) override;
    void accept(const LinkView&, const HeartbeatT&, MonotonicTime now) override;
    bool urgent(const LinkView&, MonotonicTime now) const override;
    void linkUp(const std::string& peer, MonotonicTime now) override;
    void linkDown(const std::string& peer, MonotonicTime now) override;

private:
    struct Peer {
        std::uint64_t revision = 0;
        std::optional<MonotonicTime> confirmed; // the head's confirmation that the peer knows
        std::optional<MonotonicTime> stated; // when the peer made its latest statement, at the earliest
        std::optional<MonotonicTime> told; // the confirmation that the latest heartbeat to the peer carried
        bool notCurrent = false; // by its latest statement
        std::size_t covered = 0;
        std::uint64_t coveredDigest = 0;
        MonotonicTime coveredOldest;
        std::uint64_t knownHead = 0; // on the peer's side of the link
        std::uint64_t pushed = 0; // highest record pushed to the peer
    };
    struct Confirmation {
        std::uint64_t head = 0;
        MonotonicTime at;
    };

    void applyConfirmation(Confirmation);
    Coverage treeCoverage(const std::string& except, MonotonicTime now) const;
    Coverage directCoverage(MonotonicTime now) const;
    void keep(const std::vector<LogRecordT>&);
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
    std::uint64_t m_revision = 0;
    std::optional<MonotonicTime> m_confirmed;
    std::optional<Confirmation> m_ahead; // a confirmation of a head that is not in force yet
    std::optional<MonotonicTime> m_behindSince;
    std::optional<MonotonicTime> m_lastFetch;
    std::optional<MonotonicTime> m_nextPoll;
    std::uint64_t m_nextNonce = 1;
    WatchElection m_election;
};

} // namespace briarwharf
