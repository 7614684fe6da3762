#pragma once

#include "base/error.h"
#include "base/time.h"
#include "coordination/log.h"
#include "coordination/peer_generated.h"
#include "coordination/store.h"
#include "coordination/stored_generated.h"
#include <cstdint>
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

// Shards of the claims, each with a log of its own. Equal on every instance and never changed while claims
// are retained.
//
// The store sustains several hundred writes per second; claims get 160. A commit costs two: the record's
// creation and, after a snapshot, its removal. With at most one commit per shard and claimCommitInterval,
// 16 shards x 5 commits/s x 2 = 160 writes/s and 80 reads/s of about 2000 (one manifest per commit), whatever
// the number of calls. A shorter interval would cost writes, a longer one would add to each call: a claim and
// a settlement each wait for half an interval on average when the shard is busy, and not at all when idle.
constexpr std::uint32_t claimShards = 16;
constexpr Milliseconds claimCommitInterval { 200 };

// Claims are kept this long after their last change, so that a repeat gets the stored outcome.
constexpr std::chrono::hours claimRetention { 24 };

// Longest body of a stored outcome, in bytes. A longer one is replaced by a JSON note that says so.
constexpr std::size_t maxOutcomeBodyBytes = 64 * 1024;

// Identifies a call for as long as it is retained: SHA-256 over the three parts, each with its length, as 64
// hex digits. The same key of another organisation is another call.
std::string claimKeyHash(
    std::string_view organisation, std::string_view service, std::string_view idempotencyKey);

std::uint32_t claimShard(std::string_view keyHash);

// Response of the upstream as it is stored for repeats.
struct ClaimOutcome {
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

// State of one shard: what the commands of its log add up to.
class ClaimIndex : public LogStateMachine {
public:
    explicit ClaimIndex(std::chrono::milliseconds retention = claimRetention);

    // Errors: Conflict (the claimant gave up, or another one has the key), NotFound (nothing to settle).
    Status apply(const LogPosition&, std::string_view command) override;
    void recordApplied(std::uint64_t number) override;
    std::vector<std::string> snapshot() const override;
    Status restore(std::uint64_t number, const std::vector<std::string>& pages) override;

    // nullptr: no claim is retained.
    const ClaimEntryT* find(const std::string& keyHash) const;

    std::size_t size() const { return m_entries.size(); }

private:
    Status applyClaim(const ClaimCommandT&);
    Status applyRelease(const ClaimCommandT&);
    Status applyOutcome(const ClaimCommandT&);
    void insert(ClaimEntryT);
    void erase(std::uint64_t sequence);
    void touch(ClaimEntryT&, std::uint64_t atMs);

    std::uint64_t m_retentionMs;
    std::uint64_t m_clockMs = 0; // newest time in the log, so that all instances forget at the same record
    std::uint64_t m_nextSequence = 0;
    std::map<std::uint64_t, ClaimEntryT> m_entries; // by sequence
    std::unordered_map<std::string, std::uint64_t> m_sequences; // by key hash
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_byAge; // time of the last change, sequence
    std::unordered_map<std::string, std::uint64_t> m_released; // claimants that gave up, with the time
    std::set<std::pair<std::uint64_t, std::string>> m_releasedByAge;
};

struct ClaimCollectorOptions {
    std::string logPrefix; // of the shards' log names; separates fleets that share a store
    std::string writer; // unique for each start of a process (randomToken())
    Milliseconds commitInterval = claimCommitInterval;

    // A request that is not durable after this long is answered Unavailable.
    Milliseconds appendTimeout { 2000 };

    // Snapshots hash every page of the state; 2048 records are at least 400 s apart.
    std::uint64_t snapshotInterval = 2048;
    std::chrono::milliseconds retention = claimRetention;
};

using ClaimReply = std::function<void(ClaimResponseT)>;
using SettleReply = std::function<void(SettleResponseT)>;

// True only if membership has declared the instance (with its incarnation) dead.
using InstanceGone = std::function<bool(const std::string& instance)>;

// Collects the claims of one shard and commits them in groups.
//
// Any number of collectors of a shard are safe at the same time: a claim counts once its record is in the
// log, and each appends only after it has applied what came before. A repeated message is idempotent, also
// at another collector, because a claim is identified by its claimant's token.
//
// Replies, each called once, possibly from inside the call:
//   Granted           the claim is durable and this claimant's; the call may be sent
//   InProgress        another claimant has the key and may be calling
//   Completed         stored outcome; Unknown: the call may have run, its outcome is lost
//   DifferentRequest  the key was used with another body
//   Unavailable       the claim is not known to be durable (store down, slow, or answer lost): the claimant
//                     does not call, reports "not run" and releases the claim
// Store calls: see Log::append(). Granted to a repeated message and Completed come from the index without a
// call; InProgress and Unknown may have changed at another collector and cost Log::refresh().
class ClaimCollector {
public:
    ClaimCollector(ClaimCollectorOptions, std::uint32_t shard, Store&, MonotonicClock,
        std::function<WallTime()> wallClock, InstanceGone);

    void claim(const ClaimRequestT&, ClaimReply);

    // The reply's `settled` is false if the settlement is not known to be durable; the claimant repeats it.
    void settle(const SettleRequestT&, SettleReply);

    void tick() { m_log.tick(); }

    const Log& log() const { return m_log; }
    const ClaimIndex& index() const { return m_index; }

private:
    struct WaitingClaim {
        ClaimRequestT request;
        ClaimReply reply;
    };

    std::optional<ClaimResponseT> answer(const ClaimRequestT&);
    void claimFresh(const ClaimRequestT&, ClaimReply);
    static ClaimResponseT unavailable(const ClaimRequestT&);
    void appendClaim(const ClaimRequestT&);
    void claimAppended(const std::string& claimant, const Result<LogPosition>&);
    void markUnknown(const ClaimRequestT&, const ClaimEntryT&, ClaimReply);
    void append(ClaimCommandT, Log::AppendCallback);

    ClaimCollectorOptions m_options;
    MonotonicClock m_clock;
    std::function<WallTime()> m_wallClock;
    InstanceGone m_instanceGone;
    ClaimIndex m_index;
    std::unordered_map<std::string, std::vector<WaitingClaim>> m_waiting; // by claimant
    Log m_log; // last: its callbacks use the rest
};

// The collectors of the shards that this instance is in charge of. A collector is created at the first
// message for its shard and dropped some seconds after the instance stopped being in charge.
class ClaimService {
public:
    ClaimService(ClaimCollectorOptions, Store&, MonotonicClock, std::function<WallTime()> wallClock,
        std::function<bool(std::uint32_t shard)> inCharge, InstanceGone);

    // Replies NotCollector if this instance is not in charge of the shard.
    void claim(const ClaimRequestT&, const ClaimReply&);
    void settle(const SettleRequestT&, const SettleReply&);
    void tick();

    std::size_t collectors() const { return m_collectors.size(); }

private:
    struct Running {
        std::unique_ptr<ClaimCollector> collector;
        MonotonicTime lastInCharge;
    };

    ClaimCollector* collector(std::uint32_t shard);

    ClaimCollectorOptions m_options;
    Store& m_store;
    MonotonicClock m_clock;
    std::function<WallTime()> m_wallClock;
    std::function<bool(std::uint32_t)> m_inCharge;
    InstanceGone m_instanceGone;
    std::map<std::uint32_t, Running> m_collectors;
};

// What the claimant does with its caller's request.
enum class ClaimDecision {
    Run, // the claim is durable: tryStartCall() and send
    Completed, // answer with the stored outcome
    Unknown, // an earlier call may have run; its outcome is lost
    InProgress, // an earlier call with the key is under way; the caller may repeat later
    DifferentRequest, // the key was used with another body
    NotRun, // the claim is not durable in time; nothing was or will be sent
};

struct ClaimClientOptions {
    std::string instance; // with the incarnation, as membership names it

    // First wait before a message without an answer is repeated; doubles up to the longest.
    Milliseconds resendDelay { 300 };
    Milliseconds longestResendDelay { 5000 };

    // A release or an outcome that is not durable is repeated this long, then left to InstanceGone.
    Milliseconds settleEffort { 600000 };
};

// The claimant's side, for all calls of one instance: claim, granted, call, outcome durable.
//
// A call is sent at most once: tryStartCall() says yes once, only after a Granted that arrived before the
// deadline, and a claimant that gave up never calls. It releases its claim instead, until the release is
// durable, even if it never learned whether the claim was. There is no second attempt after tryStartCall():
// whoever cannot say that no byte was written settles as Unknown.
//
//   ClaimId id = client.begin(keyHash, bodyHash, deadline, [](ClaimDecision, const ClaimOutcome&) { ... });
//   if (client.tryStartCall(id)) send(...);
//   client.finish(id, outcome, deadline, [](bool durable) { respond(); });   // or finishUnknown(id, ...), notSent(id)
class ClaimClient {
public:
    using ClaimId = std::uint64_t;
    using DecisionCallback = std::function<void(ClaimDecision, const ClaimOutcome&)>;
    // durable: repeats will get this outcome. Not durable by the deadline: repeats see InProgress or Unknown
    // until it is, never a second run.
    using SettledCallback = std::function<void(bool durable)>;
    // Sends to the shard's present collector, which may be this instance.
    using SendClaim = std::function<void(const ClaimRequestT&)>;
    using SendSettle = std::function<void(const SettleRequestT&)>;

    ClaimClient(ClaimClientOptions, MonotonicClock, SendClaim, SendSettle);

    // The decision is called exactly once, from inside response() or tick(), unless giveUp() comes first.
    ClaimId begin(
        const std::string& keyHash, const std::string& bodyHash, MonotonicTime deadline, DecisionCallback);

    // To be called before the first byte is written to the upstream. Returns true at most once, and only
    // while the claim is granted and its deadline has not passed; then the call counts as sent. After false
    // nothing may be sent, and the call's result is "not run".
    bool tryStartCall(ClaimId);

    // The call has an outcome.
    void finish(ClaimId, ClaimOutcome, MonotonicTime deadline, SettledCallback);

    // The call was sent, at least in part, and its outcome is lost.
    void finishUnknown(ClaimId, MonotonicTime deadline, SettledCallback);

    // After tryStartCall(): no byte was written to any upstream, so a repeat may run.
    void notSent(ClaimId);

    // Before tryStartCall(): the caller no longer waits.
    void giveUp(ClaimId);

    void response(const ClaimResponseT&);
    void response(const SettleResponseT&);

    // Repeats and deadlines; call it every 20 to 100 ms.
    void tick();

    // Calls whose claim, outcome or release is under way.
    std::size_t pending() const;

private:
    enum class State {
        Claiming,
        Granted,
        Called,
        Settling,
        Ended, // decided otherwise; a repeated claim message could still be granted, and is released then
    };
    struct Call {
        State state = State::Claiming;
        ClaimRequestT request;
        SettleRequestT settlement;
        MonotonicTime deadline; // of the present step, for the callback
        MonotonicTime resendAt;
        MonotonicTime effortEnds;
        Milliseconds resendDelay { 0 };
        DecisionCallback decided;
        SettledCallback settled;
    };
    using Calls = std::map<ClaimId, Call>;

    void settle(Call&, SettleKind, ClaimOutcome, MonotonicTime deadline, SettledCallback);
    void release(Call&);
    void tickCall(ClaimId);
    static void decide(Call&, ClaimDecision, const ClaimOutcome&);

    ClaimClientOptions m_options;
    MonotonicClock m_clock;
    SendClaim m_sendClaim;
    SendSettle m_sendSettle;
    ClaimId m_nextId = 0;
    Calls m_calls;
};

} // namespace briarwharf
