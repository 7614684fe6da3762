#pragma once

#include "base/error.h"
#include "base/time.h"
#include "coordination/log.h"
#include "coordination/peer_generated.h"
#include "coordination/store.h"
#include "coordination/stored_generated.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarwharf {

// Number of shards of the claims; each shard has its own log. It must be the same on every instance and must
// not change while claims are retained.
//
// The store sustains several hundred writes per second, of which claims may use 160. A commit costs two
// writes: the creation of the record and, after a snapshot, its removal. With at most one commit per shard
// and claimCommitInterval, that is 16 shards x 5 commits/s x 2 = 160 writes/s, and 80 of about 2000 reads/s
// (one read of the manifest per commit), independent of the number of calls. A shorter interval would need
// more writes. A longer one would delay each call: a claim and a settlement each wait for half an interval on
// average when the shard is busy, and not at all when it is idle.
constexpr std::uint32_t claimShards = 16;
constexpr Milliseconds claimCommitInterval { 200 };

// Claims are retained for this time after their last change, so that repeated calls get the stored outcome.
constexpr std::chrono::hours claimRetention { 24 };

// Maximum size of the body of a stored outcome, in bytes. A larger one is replaced by a JSON message that
// says so.
constexpr std::size_t maxOutcomeBodyBytes = 64 * 1024;

// Identifies a call while its claim is retained: SHA-256 over the three arguments, each preceded by its
// length, as 64 hexadecimal digits. The same idempotency key of another organisation gives another hash.
std::string claimKeyHash(
    std::string_view organisation, std::string_view service, std::string_view idempotencyKey);

std::uint32_t claimShard(std::string_view keyHash);

// The upstream's response, as stored for repeated calls.
struct ClaimOutcome {
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

// State of one shard: the result of the commands in its log.
class ClaimIndex : public LogStateMachine {
public:
    explicit ClaimIndex(std::chrono::milliseconds retention = claimRetention);

    // Errors: Conflict (the claimant gave up, another claimant has the key, or the call to be released has
    // completed), NotFound (the claimant has no claim to settle).
    Status apply(const LogPosition&, std::string_view command) override;
    void recordApplied(std::uint64_t number) override;
    std::vector<std::string> snapshot() const override;
    Status restore(std::uint64_t number, const std::vector<std::string>& pages) override;

    // Returns nullptr if no claim on the key is retained.
    const ClaimEntryT* find(const std::string& keyHash) const;

    std::size_t size() const { return m_entries.size(); }

    // Returns commands for the claims, releases and outcomes that were in the state before it was replaced by
    // the one before the first record, and that the present state lacks; forgets them. Without times.
    std::vector<ClaimCommandT> takeLost();

    // Latest era of the store in which a new claim was granted.
    StoreEra era() const { return m_era; }

private:
    Status applyClaim(const ClaimCommandT&);
    Status applyRestored(const ClaimCommandT&);
    void insertClaim(const ClaimCommandT&);
    Status applyRelease(const ClaimCommandT&);
    Status applyOutcome(const ClaimCommandT&);
    void insert(ClaimEntryT);
    void erase(std::uint64_t sequence);
    void touch(ClaimEntryT&, std::uint64_t atMs);

    std::uint64_t m_retentionMs;
    // Newest time in the log. Claims expire by this clock, so that all instances remove a claim at the same
    // record.
    std::uint64_t m_clockMs = 0;
    std::uint64_t m_nextSequence = 0;
    StoreEra m_era = 0;
    std::map<std::uint64_t, ClaimEntryT> m_entries; // by sequence
    std::unordered_map<std::string, std::uint64_t> m_sequences; // by key hash
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_byAge; // time of the last change, sequence
    std::unordered_map<std::string, std::uint64_t> m_released; // claimants that gave up, with the time
    std::set<std::pair<std::uint64_t, std::string>> m_releasedByAge;
    std::map<std::uint64_t, ClaimEntryT> m_entriesBefore; // see takeLost()
    std::unordered_map<std::string, std::uint64_t> m_releasedBefore;
};

struct ClaimCollectorOptions {
    std::string logPrefix; // prefix of the shards' log names; separates fleets that share a store
    std::string writer; // unique for each start of a process (randomToken())
    Milliseconds commitInterval = claimCommitInterval;

    // Timeout of an append: after it, a claim is answered with Unavailable and a settlement as not durable.
    Milliseconds appendTimeout { 2000 };

    // A snapshot hashes every page of the state. Because of the commit interval, 2048 records take at least
    // 400 s.
    std::uint64_t snapshotInterval = 2048;
    std::chrono::milliseconds retention = claimRetention;

    // Time from the first message in a new era of the store to the first new claim that is granted in it. All
    // live instances hear of the era in that time and write again what they know
    // (ClaimClient::storeRestored()).
    Milliseconds restoreDelay { 4000 };
};

using ClaimReply = std::function<void(ClaimResponseT)>;
using SettleReply = std::function<void(SettleResponseT)>;

// Returns true only if membership has declared the instance (named with its incarnation) dead.
using InstanceDeclaredDead = std::function<bool(const std::string& instance)>;

// Collects the claims of one shard and commits them in groups.
//
// It is safe for several collectors of a shard to run at the same time: a claim is valid only when its record
// is in the log, and each collector appends only after it has applied all earlier records. Repeated messages
// have no further effect, also at another collector, because a claim is identified by its claimant's token.
//
// Replies; each is called once, possibly from inside the call:
//   Granted           the claim is durable and belongs to this claimant, which may send the call
//   InProgress        another claimant has the key and may be sending the call
//   Completed         the call has completed; the reply contains the stored outcome
//   Unknown           the call may have run; its outcome is unknown
//   DifferentRequest  the key was used with another body
//   Unavailable       the claim is not known to be durable (store down or slow, or answer lost), so the
//                     claimant does not send the call, reports "not run" and releases the claim
// When the store has come back from an older copy, the log appends the lost records that this collector
// knows. A collector that did not know of the restore may have added a claim on the same key before them. It
// does not grant it, as it learns of the restore with the answer to its write, and the lost claim takes its
// place (ClaimCommandKind::Restored). Other new claims wait for restoreDelay, unless one was already granted
// in the store's era: claims that only other instances know are then in the log. Claims that no live instance
// knows cannot be told from new ones.
//
// Store calls: see Log::append(). Granted for a repeated message and Completed are answered from the index
// without a store call. InProgress, Unknown and DifferentRequest may have changed at another collector, so
// they need a Log::refresh().
class ClaimCollector {
public:
    ClaimCollector(ClaimCollectorOptions, std::uint32_t shard, Store&, MonotonicClock,
        std::function<WallTime()> wallClock, InstanceDeclaredDead);

    void claim(const ClaimRequestT&, ClaimReply);

    // `settled` in the reply is false if the settlement is not known to be durable; the claimant then repeats
    // it.
    void settle(const SettleRequestT&, SettleReply);

    void tick();

    const Log& log() const { return m_log; }
    const ClaimIndex& index() const { return m_index; }

private:
    struct WaitingClaim {
        ClaimRequestT request;
        ClaimReply reply;
    };

    std::optional<ClaimResponseT> answerFromIndex(const ClaimRequestT&);
    void answerOrAppend(const ClaimRequestT&, ClaimReply);
    static ClaimResponseT unavailable(const ClaimRequestT&);
    void appendLost();
    bool isHeld(const ClaimRequestT&);
    void appendClaim(const ClaimRequestT&);
    void claimAppended(const std::string& claimant, const Result<LogPosition>&);
    void markUnknown(const ClaimRequestT&, const ClaimEntryT&, ClaimReply);
    void append(ClaimCommandT, Log::AppendCallback);

    ClaimCollectorOptions m_options;
    MonotonicClock m_clock;
    std::function<WallTime()> m_wallClock;
    InstanceDeclaredDead m_instanceDeclaredDead;
    ClaimIndex m_index;
    std::unordered_map<std::string, std::vector<WaitingClaim>> m_waiting; // by claimant
    std::vector<ClaimRequestT> m_held; // new claims that wait for restoreDelay
    StoreEra m_heldEra = 0; // era to which m_heldUntil belongs
    MonotonicTime m_heldUntil;
    Log m_log; // last member, so destroyed first: its callbacks use the others
};

// Runs the collectors of the shards that are assigned to this instance. A collector is created on the first
// message for its shard and destroyed some seconds after the shard has been assigned to another instance.
class ClaimService {
public:
    ClaimService(ClaimCollectorOptions, Store&, MonotonicClock, std::function<WallTime()> wallClock,
        std::function<bool(std::uint32_t shard)> isAssigned, InstanceDeclaredDead);

    // Replies NotCollector if the shard is not assigned to this instance.
    void claim(const ClaimRequestT&, const ClaimReply&);
    void settle(const SettleRequestT&, const SettleReply&);
    void tick();

    std::size_t collectors() const { return m_collectors.size(); }

private:
    struct RunningCollector {
        std::unique_ptr<ClaimCollector> collector;
        MonotonicTime lastAssignedAt;
    };

    ClaimCollector* collector(std::uint32_t shard);

    ClaimCollectorOptions m_options;
    Store& m_store;
    MonotonicClock m_clock;
    std::function<WallTime()> m_wallClock;
    std::function<bool(std::uint32_t)> m_isAssigned;
    InstanceDeclaredDead m_instanceDeclaredDead;
    std::map<std::uint32_t, RunningCollector> m_collectors;
};

// What the claimant has to do with its caller's request.
enum class ClaimDecision {
    Run, // the claim is durable: send the call if tryStartCall() returns true
    Completed, // an earlier call has completed: answer with its stored outcome
    Unknown, // an earlier call may have run; its outcome is unknown
    InProgress, // an earlier call with the key is in progress; the caller may repeat the request later
    DifferentRequest, // the key was used with another body
    NotRun, // the claim was not durable in time; nothing was sent or will be sent
};

struct ClaimClientOptions {
    std::string instance; // name and incarnation, as in membership

    // Delay before a message without an answer is sent again the first time. It doubles up to the maximum.
    Milliseconds resendDelay { 300 };
    Milliseconds maxResendDelay { 5000 };

    // A release or an outcome that is not durable is sent again for this time. After that the claim stays in
    // progress until the instance is declared dead (InstanceDeclaredDead).
    Milliseconds settleTimeout { 600000 };

    // A call whose outcome is durable is remembered for this time, because the store may come back from a
    // copy without it. Copies are some seconds old.
    Milliseconds settledRetention { 60000 };
    std::size_t maxSettledCalls = 256; // the oldest are forgotten first
};

// The claimant's side, for all calls of one instance. Steps of a call: claim it, wait until the claim is
// granted, send the call, wait until the outcome is durable.
//
// A call is sent at most once: tryStartCall() returns true once, only after a Granted that arrived before the
// deadline, and never after the claimant gave up. A claimant that gives up repeats the release of its claim
// until the release is durable, even if it does not know whether the claim was. After tryStartCall() there is
// no second attempt: unless it is certain that no byte was written, the call is settled as Unknown.
//
//   ClaimId id = client.begin(keyHash, bodyHash, deadline, [](ClaimDecision, const ClaimOutcome&) { ... });
//   if (client.tryStartCall(id)) send(...);
//   client.finish(id, outcome, deadline, [](bool durable) { respond(); });
//   // or finishUnknown(id, ...) or notSent(id)
class ClaimClient {
public:
    using ClaimId = std::uint64_t;
    using DecisionCallback = std::function<void(ClaimDecision, const ClaimOutcome&)>;
    // durable: repeated calls will get this outcome. If it is not durable by the deadline, repeated calls get
    // InProgress or Unknown until it is; they are never run again.
    using SettledCallback = std::function<void(bool durable)>;
    // Sends the message to the instance that collects for the shard at this time; it may be this instance.
    using SendClaim = std::function<void(const ClaimRequestT&)>;
    using SendSettle = std::function<void(const SettleRequestT&)>;

    ClaimClient(ClaimClientOptions, MonotonicClock, SendClaim, SendSettle);

    // The callback is called exactly once, from inside response() or tick(), unless giveUp() is called first.
    ClaimId begin(
        const std::string& keyHash, const std::string& bodyHash, MonotonicTime deadline, DecisionCallback);

    // To be called before the first byte is written to the upstream. Returns true at most once, and only
    // while the claim is granted and its deadline has not passed; then the call counts as sent. After false
    // nothing may be sent, and the call's result is "not run".
    bool tryStartCall(ClaimId);

    // Call this when the upstream has answered: settles the call as Completed.
    void finish(ClaimId, ClaimOutcome, MonotonicTime deadline, SettledCallback);

    // Call this when the call was sent, at least in part, and no outcome is known: settles it as Unknown.
    void finishUnknown(ClaimId, MonotonicTime deadline, SettledCallback);

    // Call this after tryStartCall() if no byte was written to any upstream: releases the claim, so that a
    // repeated call may run.
    void notSent(ClaimId);

    // Call this before tryStartCall() if the caller no longer waits: releases the claim.
    void giveUp(ClaimId);

    void response(const ClaimResponseT&);
    void response(const SettleResponseT&);

    // The store has come back from an older copy: claims the calls again that were sent, and settles those
    // again that had been settled.
    void storeRestored();

    // Sends messages again and ends calls at their deadlines; call it every 20 to 100 ms.
    void tick();

    // Number of calls whose claim, outcome or release is in progress.
    std::size_t pending() const;

private:
    enum class State {
        Claiming,
        Granted,
        Called,
        Settling,
        Settled,
        Ended, // decided without a grant; if a repeated claim message is granted later, the claim is released
    };
    struct Call {
        State state = State::Claiming;
        ClaimRequestT request;
        SettleRequestT settlement;
        MonotonicTime deadline; // by which the callback of the current step is called
        MonotonicTime resendAt;
        MonotonicTime removeAt; // of a call that is Settling, Settled or Ended
        bool claimsAgain = false; // after the store lost the claim, until it is durable again
        Milliseconds resendDelay { 0 };
        DecisionCallback decided;
        SettledCallback settled;
    };
    using Calls = std::map<ClaimId, Call>;

    void settle(Call&, SettleKind, ClaimOutcome, MonotonicTime deadline, SettledCallback);
    void release(Call&);
    void tickCall(ClaimId);
    static void decide(Call&, ClaimDecision, const ClaimOutcome&);
    void claimAgain(Call&);
    void claimedAgain(Call&, const ClaimResponseT&);
    void forgetOldestSettled();

    ClaimClientOptions m_options;
    MonotonicClock m_clock;
    SendClaim m_sendClaim;
    SendSettle m_sendSettle;
    ClaimId m_nextId = 0;
    Calls m_calls;
    std::optional<MonotonicTime> m_restoredAt; // of the last storeRestored()
    std::deque<ClaimId> m_settled; // calls in the state Settled, and some that were removed; oldest first
};

} // namespace briarwharf
