#include "coordination/order.h"

#include "base/json.h"
#include <array>

namespace briarwharf {

namespace {

    struct KindName {
        OrderKind kind;
        std::string_view name;
    };

    constexpr std::array<KindName, 6> kindNames { {
        { OrderKind::Load, "load" },
        { OrderKind::Role, "role" },
        { OrderKind::Drain, "drain" },
        { OrderKind::Undrain, "undrain" },
        { OrderKind::KvExport, "kv_export" },
        { OrderKind::KvImport, "kv_import" },
    } };

} // namespace

std::string_view orderKindName(OrderKind kind)
{
    for (const auto& entry : kindNames)
        if (entry.kind == kind)
            return entry.name;
    return {};
}

Result<OrderKind> parseOrderKind(std::string_view name)
{
    for (const auto& entry : kindNames)
        if (entry.name == name)
            return entry.kind;
    return Error { ErrorKind::InvalidArgument,
        "order \"" + std::string(name)
            + "\" is not known: give load, role, drain, undrain, kv_export or kv_import" };
}

std::string orderJson(const Order& order)
{
    Json json;
    json["order"] = orderKindName(order.kind);
    json["fence"] = order.fence;
    json["argument"] = order.argument;
    return dumpJson(json);
}

Result<Order> parseOrder(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text, "order"));
    auto name = stringField(json, "order");
    auto fence = integerField(json, "fence");
    if (!name || !fence || *fence < 0)
        return Error { ErrorKind::InvalidArgument,
            "an order needs \"order\" (text) and \"fence\" (a number from 0)" };
    BOOST_OUTCOME_TRY(kind, parseOrderKind(*name));
    return Order { kind, stringField(json, "argument").value_or(""), static_cast<std::uint64_t>(*fence) };
}

OrderSequencer::OrderSequencer(OrderOptions options)
    : m_options(options)
{
}

void OrderSequencer::leaseAcquired(std::uint64_t fence, MonotonicTime acquiredAt)
{
    m_fence = fence;
    m_nextOrderAt = m_options.checksFence ? acquiredAt : acquiredAt + m_options.maxOrderDuration;
    m_acceptReportsFrom = *m_nextOrderAt;
    m_report.reset();
    m_pendingOrder.reset();
    m_stale = false;
}

void OrderSequencer::addTransfer(OrderKind kind, std::string chat)
{
    m_transfers.push_back({ kind, std::move(chat), 0 });
}

void OrderSequencer::reported(const UpstreamReport& report, MonotonicTime requestedAt)
{
    if (!m_pendingOrder && requestedAt >= m_acceptReportsFrom)
        m_report = report;
}

std::optional<Order> OrderSequencer::correctiveOrder() const
{
    if (m_desiredDraining && *m_desiredDraining != m_report->draining)
        return Order { *m_desiredDraining ? OrderKind::Drain : OrderKind::Undrain, {}, m_fence };
    if (m_desiredRole && *m_desiredRole != m_report->role)
        return Order { OrderKind::Role, *m_desiredRole, m_fence };
    if (m_desiredVersion && *m_desiredVersion != m_report->version)
        return Order { OrderKind::Load, *m_desiredVersion, m_fence };
    return std::nullopt;
}

std::optional<Order> OrderSequencer::next(MonotonicTime now)
{
    if (!m_nextOrderAt || now < *m_nextOrderAt || m_pendingOrder || m_stale || !m_report)
        return std::nullopt;
    auto order = correctiveOrder();
    if (!order && !m_transfers.empty()) {
        order = m_transfers.front();
        order->fence = m_fence;
    }
    m_pendingOrder = order;
    return order;
}

void OrderSequencer::answered(OrderAnswer answer, MonotonicTime now)
{
    if (!m_pendingOrder)
        return;
    Order order = *m_pendingOrder;
    m_pendingOrder.reset();
    // After any answer, the next order requires a report that was requested after that answer.
    m_report.reset();
    m_acceptReportsFrom = now;
    m_nextOrderAt = now;
    bool transfer = order.kind == OrderKind::KvExport || order.kind == OrderKind::KvImport;
    switch (answer) {
    case OrderAnswer::Done:
        if (transfer)
            m_transfers.pop_front();
        return;
    case OrderAnswer::Stale:
        m_stale = true;
        return;
    case OrderAnswer::Failed:
        m_nextOrderAt = now + m_options.retryDelay;
        return;
    case OrderAnswer::Unknown:
        // The order may still be executed by an upstream that ignores fencing numbers. A report from before
        // the end of maxOrderDuration does not show whether it was.
        m_nextOrderAt = now + (m_options.checksFence ? m_options.retryDelay : m_options.maxOrderDuration);
        m_acceptReportsFrom = *m_nextOrderAt;
        return;
    }
}

bool OrderSequencer::converged() const
{
    return m_report && !m_pendingOrder && !correctiveOrder() && m_transfers.empty();
}

} // namespace briarwharf
