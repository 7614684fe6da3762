#pragma once

#include "base/error.h"
#include "base/time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwharf {

enum class OrderKind {
    Load, // argument: model, adapter or version to serve
    Role, // argument: role to take
    Drain, // take no new work
    Undrain,
    KvExport, // argument: chat
    KvImport, // argument: chat
};

// Name on the wire: "load", "role", "drain", "undrain", "kv_export", "kv_import".
std::string_view orderKindName(OrderKind);

// Errors: InvalidArgument.
Result<OrderKind> parseOrderKind(std::string_view name);

// An order to an upstream with the fencing number of the lease under which it is given. An upstream that
// checks the number refuses one that is below the highest it has seen.
struct Order {
    OrderKind kind = OrderKind::Load;
    std::string argument;
    std::uint64_t fence = 0;
};

// {"order": ..., "fence": ..., "argument": ...}
std::string orderJson(const Order&);

// Errors: InvalidArgument (the message names the field).
Result<Order> parseOrder(std::string_view json);

enum class OrderAnswer {
    Done,
    Stale, // the upstream knows a higher fencing number: this instance no longer holds the lease
    Failed, // refused for another reason, or not sent
    Unknown, // sent, but not answered in time: it may be carried out, now or later
};

// What an upstream reports of itself, as far as orders change it.
struct UpstreamReport {
    std::string version; // model, adapter or version served
    std::string role;
    bool draining = false;
};

struct OrderOptions {
    bool checksFence = true; // the upstream refuses stale fencing numbers

    // Longest time that an order may be under way, from its issue to its effect, in an upstream that ignores
    // the number. The holder of a lapsed lease may have issued one just before its lease ran out.
    Milliseconds longestOrder { 5000 };

    Milliseconds retryDelay { 500 };
};

// Brings one upstream to a desired state by one order at a time.
//
// Orders name the desired state, so repeating one is harmless, and the sequencer compares the upstream's
// report with the desired state before each order; an order of a former holder that arrives late is seen in
// the next report and corrected. For an upstream that ignores the fencing number the first order waits until
// every order of the former holder has ended: the lease is acquired only after the former one has expired,
// and then the longest order time passes.
//
//   OrderSequencer orders({ .checksFence = upstream.checksFence });
//   orders.leaseAcquired(lease.fence(), *lease.acquiredAt());
//   orders.desireDraining(true);
//   orders.reported(report, askedAt);                    // after each poll
//   if (lease.held())
//       if (auto order = orders.next(now))
//           send(*order, [&](OrderAnswer answer) { orders.answered(answer, clock()); });
class OrderSequencer {
public:
    explicit OrderSequencer(OrderOptions);

    // Starts a new term: forgets answers and reports of the former one.
    void leaseAcquired(std::uint64_t fence, MonotonicTime acquiredAt);

    void desireVersion(std::string version) { m_version = std::move(version); }
    void desireRole(std::string role) { m_role = std::move(role); }
    void desireDraining(bool draining) { m_draining = draining; }

    // Adds a KV order (KvExport, KvImport), which is given once the rest of the state is as desired.
    void addTransfer(OrderKind, std::string chat);

    // A report of the upstream that was asked for at `askedAt`. Reports that were asked for before the last
    // order was answered are ignored.
    void reported(const UpstreamReport&, MonotonicTime askedAt);

    // The order to send now, under way until answered() is called; nullopt: nothing to do, or wait.
    std::optional<Order> next(MonotonicTime now);

    void answered(OrderAnswer, MonotonicTime now);

    // A fresh report shows the desired state and no transfer is left.
    bool converged() const;

    // The upstream refused this term's fencing number; next() gives nothing until leaseAcquired().
    bool stale() const { return m_stale; }

private:
    std::optional<Order> difference() const;

    OrderOptions m_options;
    std::uint64_t m_fence = 0;
    std::optional<MonotonicTime> m_notBefore; // no order before; nullopt: no lease yet
    std::optional<std::string> m_version;
    std::optional<std::string> m_role;
    std::optional<bool> m_draining;
    std::deque<Order> m_transfers;
    std::optional<UpstreamReport> m_report; // newer than the last order's answer
    MonotonicTime m_reportsFrom; // older reports are ignored
    std::optional<Order> m_underWay;
    bool m_stale = false;
};

} // namespace briarwharf
