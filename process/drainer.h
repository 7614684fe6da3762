#pragma once

#include "base/time.h"
#include "coordination/coordination.h"
#include "version/version.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace briarwharf {

// What the drainer needs of the lease that names its holder.
class DrainLease {
public:
    virtual ~DrainLease() = default;

    // False from a safety margin before expiry on, by the monotonic clock of this instance.
    virtual bool holdsLease() const = 0;

    // Rises by one with each acquisition, by any instance.
    virtual std::uint64_t fence() const = 0;
};

// The store's lease in that role; it must outlive this object.
class StoreDrainLease : public DrainLease {
public:
    explicit StoreDrainLease(const Lease& lease)
        : m_lease(lease)
    {
    }

    bool holdsLease() const override { return m_lease.held(); }
    std::uint64_t fence() const override { return m_lease.fence(); }

private:
    const Lease& m_lease;
};

// A chat whose KV cache is at an upstream and has not been handed over yet.
struct DrainChat {
    std::string organisation;
    std::string chat;
    Milliseconds idle {}; // since its last request; chats that were active last return soonest
};

// One answer of the engine's load interface.
struct DrainReport {
    MonotonicTime polledAt; // when this instance sent the poll
    bool draining = false;
    std::uint64_t requestsInProgress = 0;
};

// What is known of one upstream besides the configuration.
struct DrainFacts {
    std::optional<DrainReport> report;
    // Requests in progress, queued ones included, as counted by all instances; nullopt while any instance
    // has not been heard within the last seconds.
    std::optional<std::uint64_t> routedRequests;
    std::optional<std::vector<DrainChat>> residents; // nullopt: not known yet
};

struct DrainInput {
    MonotonicTime now;
    WallTime wallNow;
    const Config* config = nullptr; // in force at this instance
    bool current = false; // the log's head was confirmed within the limit
    std::map<std::string, DrainFacts> facts; // by upstream
};

// Append the command to the configuration log.
struct AppendCommand {
    Command command;
};

// Send the order to the upstream.
struct SendOrder {
    Order order;
};

// Export the chat's KV cache, import it at the destination and tell the directory. Repeating it is safe.
struct MoveChat {
    DrainChat chat;
    std::string destination; // an upstream of the same pool
    std::uint64_t fence = 0;
};

struct DrainAction {
    std::uint64_t id = 0;
    std::string upstream;
    std::variant<AppendCommand, SendOrder, MoveChat> task;
};

enum class ActionResult {
    Done,
    Refused, // known to have had no effect: each error of a submit but Unknown, OrderAnswer::Stale and Failed
    Unknown, // the answer was lost: it may take effect now or later
};

// In the order of a planned drain. An immediate drain (DRAIN UPSTREAM) starts at Ordering.
enum class DrainPhase {
    None,
    Handover, // moves resident chats; the upstream still takes new work
    EndingNewWork, // appends the configuration command
    Ordering, // tells the engine
    Waiting, // for requests in progress, and for chats still to be moved
    Empty, // holds no request: may be stopped
    Returning, // the window is over: appends the command that undrains
};

std::string_view drainPhaseName(DrainPhase);

struct DrainerOptions {
    // After the drain is seen in force here, until every instance has it; above the 3 s of G5.
    Milliseconds settleTime { 4000 };
    // An engine's report may be this old when it is read.
    Milliseconds reportLag { 2000 };
    // Reports polled longer ago than this are not acted on.
    Milliseconds maxReportAge { 5000 };
    // Longest time from the check of the lease to the effect of an order at the engine. A new holder waits
    // this long before its first order to an engine that does not check fencing numbers.
    Milliseconds longestOrder { 5000 };
    // An action without an answer for this long counts as Unknown.
    Milliseconds actionTimeout { 5000 };
    // Between attempts, doubled up to the second figure while they fail.
    Milliseconds retryDelay { 500 };
    Milliseconds maxRetryDelay { 30000 };
    // Handover ends after this part of the window, so that requests in progress have the rest to finish.
    double handoverShare = 0.25;
    // The same for an immediate drain, from when this holder first saw it.
    Milliseconds immediateHandover { 120000 };
    // A window with less time left than this is not started any more.
    Milliseconds minWindowTimeLeft { 60000 };
    // Rate limit for handovers, over all upstreams of this holder, and how many run at once.
    double maxMovesPerSecond = 20;
    std::size_t maxMovesInProgress = 4;
    // Attempts per chat; a chat that cannot be moved loses its cache, never its context.
    int maxMovesPerChat = 2;
};

// Carries out planned and immediate drains on the instance that holds the drain lease.
//
// Each step follows from the configuration, the engine's report and the clock; the object remembers only
// timers and attempts. A new holder therefore goes on where the last one stopped, and an answer that was lost
// is replaced by the state that is read next. Commands are guarded by their window or drain revision, orders
// by the fencing number; engines that ignore the number get convergent orders: whenever a report differs from
// the configuration, the order is repeated.
//
//   for (const DrainAction& action : drainer.step(input))
//       perform(action, [&](ActionResult result) { drainer.finished(action.id, result, now()); });
//
// The caller checks holdsLease() once more immediately before it sends an order.
class Drainer {
public:
    // The lease must outlive the drainer.
    Drainer(DrainerOptions, const DrainLease&);

    // What to do now; call it every few hundred milliseconds. Empty without the lease.
    std::vector<DrainAction> step(const DrainInput&);

    // The answer to an action; unknown and repeated ids are ignored.
    void finished(std::uint64_t id, ActionResult, MonotonicTime now);

    // Where the drain of each upstream is, as of the last step. Upstreams without a drain are absent.
    const std::map<std::string, DrainPhase>& phases() const { return m_phases; }

private:
    using Task = std::variant<AppendCommand, SendOrder, MoveChat>;

    struct Pending {
        std::string upstream;
        Task task;
        MonotonicTime sentAt;
    };

    // Timers and attempts of one drain; lost with the holder at no harm.
    struct Progress {
        UpstreamState state = UpstreamState::Serving; // in the configuration at the last step
        bool empty = false;
        std::uint64_t drainRevision = 0;
        WallTime window {};
        std::optional<MonotonicTime> drainSeenAt; // the configuration says draining
        std::optional<MonotonicTime> engineDrainSeenAt; // the engine says draining
        std::optional<MonotonicTime> lastActionEnd; // reports polled before it are stale
        std::optional<MonotonicTime> retryAt;
        int failures = 0;
        bool fenceAccepted = false; // the engine accepted an order of this tenure: it refuses older ones
        std::map<std::string, int> moveAttempts; // by organisation and chat
        std::set<std::string> moved;
    };

    struct Context;

    void beginLeaseTerm(MonotonicTime now);
    void expireActions(MonotonicTime now);
    void stepUpstream(Context&);
    void handleStateChange(Context&);
    void startWindow(Context&, const DrainWindow&);
    void carryOutDrain(Context&);
    void observeDrain(Context&);
    void reconcileEngine(Context&, OrderKind desired);
    bool handoverIsOver(Context&, const DrainWindow*);
    bool isConfirmedEmpty(const Context&) const;
    bool moveResidents(Context&);
    std::vector<DrainChat> nextChats(const Context&, std::size_t limit) const;
    std::size_t countMoves(const std::string* upstream) const;
    bool hasPending(const std::string& upstream) const;
    bool mayAct(const Context&) const;
    void emit(Context&, Task);
    void refillMoveTokens(MonotonicTime now);

    DrainerOptions m_options;
    const DrainLease& m_lease;
    std::optional<std::uint64_t> m_fence; // of this tenure
    MonotonicTime m_leaseTermStart;
    std::map<std::string, Progress> m_progress;
    std::map<std::string, DrainPhase> m_phases;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
    double m_moveTokens = 0;
    MonotonicTime m_moveTokensRefilledAt;
};

// Where a chat goes when `source` is drained: the first of the pool's serving upstreams by rendezvous order
// that has no drain window itself now, so that placement without a hint finds it there. Empty if there is
// none.
std::string handoverDestination(const Config&, const Upstream& source, const DrainChat&, WallTime now);

} // namespace briarwharf
