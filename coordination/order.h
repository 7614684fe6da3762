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

// An order to an upstream, with the fencing number of the lease under which it is sent. An upstream that
// checks fencing numbers refuses an order whose number is below the highest that it has received.
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
    Stale, // the upstream has received a higher fencing number: this instance no longer holds the lease
    Failed, // the upstream refused it for another reason, or it was not sent
    Unknown, // sent, but not answered in time: it may have been executed, or may be executed later
};

// The state that an upstream reports and that orders change.
struct UpstreamReport {
    std::string version; // model, adapter or version served
    std::string role;
    bool draining = false;
};

struct OrderOptions {
    bool checksFence = true; // whether the upstream refuses stale fencing numbers

    // Maximum time between the issue of an order and its effect, for an upstream that ignores fencing
    // numbers. The previous holder may have issued an order just before its lease expired.
    Milliseconds maxOrderDuration { 5000 };

    Milliseconds retryDelay { 500 }; // after Failed, and after Unknown if the upstream checks fencing numbers
};

// Brings one upstream to a desired state, with one order at a time.
//
// An order states the desired state, so repeating it is harmless. Before each order the sequencer compares
// the upstream's report with the desired state. So if an order of the previous holder takes effect late, the
// next report shows it and the sequencer corrects it. For an upstream that ignores fencing numbers, the first
// order waits until all orders of the previous holder have taken effect: the lease is acquired only after the
// previous one has expired, and the first order is sent maxOrderDuration after that.
//
//   OrderSequencer orders({ .checksFence = upstream.checksFence });
//   orders.leaseAcquired(lease.fence(), *lease.acquiredAt());
//   orders.setDesiredDraining(true);
//   orders.reported(report, requestedAt);                // after each poll
//   if (lease.held())
//       if (auto order = orders.next(now))
//           send(*order, [&](OrderAnswer answer) { orders.answered(answer, clock()); });
class OrderSequencer {
public:
    explicit OrderSequencer(OrderOptions);

    // Starts a new term with this fencing number, and discards the report and the pending order of the
    // previous term.
    void leaseAcquired(std::uint64_t fence, MonotonicTime acquiredAt);

    void setDesiredVersion(std::string version) { m_desiredVersion = std::move(version); }
    void setDesiredRole(std::string role) { m_desiredRole = std::move(role); }
    void setDesiredDraining(bool draining) { m_desiredDraining = draining; }

    // Adds an order KvExport or KvImport, which is sent when the rest of the state is as desired.
    void addTransfer(OrderKind, std::string chat);

    // Passes a report of the upstream that was requested at `requestedAt`. A report that was requested before
    // the last order was answered, or that arrives while an order is pending, is ignored.
    void reported(const UpstreamReport&, MonotonicTime requestedAt);

    // Returns the order to send now, which is pending until answered() is called. nullopt: there is nothing
    // to do, or not yet.
    std::optional<Order> next(MonotonicTime now);

    void answered(OrderAnswer, MonotonicTime now);

    // Whether a report from after the last order shows the desired state and no transfer remains.
    bool converged() const;

    // Whether the upstream refused this term's fencing number. next() then returns nullopt until
    // leaseAcquired().
    bool stale() const { return m_stale; }

private:
    std::optional<Order> correctiveOrder() const; // nullopt if the reported state is as desired

    OrderOptions m_options;
    std::uint64_t m_fence = 0;
    std::optional<MonotonicTime> m_nextOrderAt; // earliest time of the next order; nullopt: no lease yet
    std::optional<std::string> m_desiredVersion;
    std::optional<std::string> m_desiredRole;
    std::optional<bool> m_desiredDraining;
    std::deque<Order> m_transfers;
    std::optional<UpstreamReport> m_report; // requested after the last order was answered
    MonotonicTime m_acceptReportsFrom; // reports requested earlier are ignored
    std::optional<Order> m_pendingOrder;
    bool m_stale = false;
};

} // namespace briarwharf
