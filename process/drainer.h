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

// The drainer's view of the drain lease: the instance that holds it carries out the drains.
class DrainLease {
public:
    virtual ~DrainLease() = default;

    // False already from a safety margin before the lease expires, by the monotonic clock of this instance.
    virtual bool holdsLease() const = 0;

    // Fencing number: increases by one whenever any instance acquires the lease.
    virtual std::uint64_t fence() const = 0;
};

// Implements DrainLease with a lease in the store. The lease must outlive this object.
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
    Milliseconds idle {}; // since its last request; the least idle chats are expected to return soonest
};

// One report of the engine, read from its load interface.
struct DrainReport {
    MonotonicTime polledAt; // when this instance sent the poll
    bool draining = false;
    std::uint64_t requestsInProgress = 0;
};

// The observed state of one upstream, in addition to its configuration.
struct DrainFacts {
    std::optional<DrainReport> report;
    // Sum of the requests in progress, queued ones included, that the instances count; nullopt unless every
    // instance has reported its count recently.
    std::optional<std::uint64_t> routedRequests;
    std::optional<std::vector<DrainChat>> residents; // nullopt: not known, as for routedRequests
};

struct DrainInput {
    MonotonicTime now;
    WallTime wallNow;
    const Config* config = nullptr; // in force at this instance
    bool current = false; // the log's head was confirmed recently enough
    std::map<std::string, DrainFacts> facts; // by the upstream's name
};

// Appends the command to the configuration log.
struct AppendCommand {
    Command command;
};

// Sends the order to the upstream.
struct SendOrder {
    Order order;
};

// Exports the chat's KV cache, imports it at the destination and records the destination in the residence
// directory. Repeating it is safe.
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
    Refused, // known to have had no effect: submit errors other than Unknown, OrderAnswer::Stale and Failed
    Unknown, // the answer was lost: it may take effect now or later
};

// The phases of a drain, in the order of a planned one. An immediate drain (DRAIN UPSTREAM) starts at
// Ordering.
enum class DrainPhase {
    None,
    Handover, // moves resident chats; the upstream still takes new work
    EndingNewWork, // appends the command that ends new work to the configuration log
    Ordering, // sends the drain order to the engine
    Waiting, // until requests in progress have ended and the remaining chats have been moved
    Empty, // no request is in progress: the upstream may be stopped
    Returning, // the window has ended: appends the command that ends the drain
};

std::string_view drainPhaseName(DrainPhase);

struct DrainerOptions {
    // Wait from when this instance has the drain in force until every instance is assumed to have it in
    // force. Longer than the 3 s within which guarantee G5 requires all instances to stop giving new work.
    Milliseconds settleTime { 4000 };
    // The state in an engine's report may be this old when the report is read.
    Milliseconds reportLag { 2000 };
    // Reports that were polled longer ago than this are ignored.
    Milliseconds maxReportAge { 5000 };
    // Maximum time from the check of the lease to the effect of an order at the engine. A new holder waits
    // this long before its first order to an engine that does not check fencing numbers, so that an order of
    // the last holder cannot take effect after it.
    Milliseconds maxOrderDuration { 5000 };
    // An action that has not been answered for this long gets the result Unknown.
    Milliseconds actionTimeout { 5000 };
    // Wait between attempts; doubled after each failure, up to maxRetryDelay.
    Milliseconds retryDelay { 500 };
    Milliseconds maxRetryDelay { 30000 };
    // Handover ends after this share of the window, so that requests in progress can finish in the rest.
    double handoverShare = 0.25;
    // Handover of an immediate drain ends this long after this holder first saw the drain.
    Milliseconds maxImmediateHandover { 120000 };
    // A planned drain is not started if less than this is left of its window.
    Milliseconds minWindowTimeLeft { 60000 };
    // Limits on the rate of handovers and on concurrent ones, over all upstreams that this holder drains.
    double maxMovesPerSecond = 20;
    std::size_t maxMovesInProgress = 4;
    // Attempts per chat. A chat that cannot be moved loses its KV cache at the engine, but never its context.
    int maxMovesPerChat = 2;
};

// Carries out planned and immediate drains on the instance that holds the drain lease.
//
// Each step is derived from the configuration, the engine's report and the clock; the object keeps only
// timers and counts of attempts. A new holder therefore continues where the last one stopped, and a lost
// answer does no harm because the next step reads the resulting state. A command carries its window or drain
// revision and an order its fencing number, so that late repetitions are rejected. For engines that ignore
// the fencing number, the order is repeated whenever a report differs from the configuration, until both
// agree.
//
//   for (const DrainAction& action : drainer.step(input))
//       perform(action, [&](ActionResult result) { drainer.finished(action.id, result, now()); });
//
// The caller checks holdsLease() once more immediately before it sends an order.
class Drainer {
public:
    // The lease must outlive the drainer.
    Drainer(DrainerOptions, const DrainLease&);

    // Returns the actions to perform now; call it every few hundred milliseconds. Empty without the lease.
    std::vector<DrainAction> step(const DrainInput&);

    // Reports the result of an action. Unknown and repeated ids are ignored.
    void finished(std::uint64_t id, ActionResult, MonotonicTime now);

    // The phase of each upstream's drain as of the last step. Upstreams without a drain are absent.
    const std::map<std::string, DrainPhase>& phases() const { return m_phases; }

private:
    using Task = std::variant<AppendCommand, SendOrder, MoveChat>;

    struct Pending {
        std::string upstream;
        Task task;
        MonotonicTime sentAt;
    };

    // Timers and counts of attempts of one drain. Losing them with the holder does no harm.
    struct Progress {
        UpstreamState state = UpstreamState::Serving; // in the configuration at the last step
        bool empty = false;
        std::uint64_t drainRevision = 0;
        WallTime window {};
        std::optional<MonotonicTime> drainSeenAt; // when the configuration first showed the drain
        std::optional<MonotonicTime> engineDrainSeenAt; // poll time of the first report with the drain
        std::optional<MonotonicTime> lastActionEnd; // reports polled before it are stale
        std::optional<MonotonicTime> retryAt;
        int failures = 0;
        bool fenceAccepted = false; // the engine accepted an order with m_fence, so it refuses lower numbers
        std::map<std::string, int> moveAttempts; // by organisation and chat
        std::set<std::string> moved; // by organisation and chat
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
    std::optional<std::uint64_t> m_fence; // fencing number of the current lease term
    MonotonicTime m_leaseTermStart;
    std::map<std::string, Progress> m_progress;
    std::map<std::string, DrainPhase> m_phases;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextId = 1;
    double m_moveTokens = 0; // token bucket that limits the rate of moves
    MonotonicTime m_moveTokensRefilledAt;
};

// The upstream to which a chat moves when `source` is drained: the first in rendezvous order of the pool's
// serving upstreams that are not in a drain window of their own now. Placement without a hint chooses the
// same upstream. Empty if there is none.
std::string handoverDestination(const Config&, const Upstream& source, const DrainChat&, WallTime now);

} // namespace briarwharf
