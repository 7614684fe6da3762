#include "coordination/coordination.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr MonotonicTime start {};

MonotonicTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against an order that is different after encoding and decoding, and against a malformed order that
// is accepted.
TEST_CASE("every kind of order is the same after encoding to JSON and parsing")
{
    for (auto kind : { OrderKind::Load, OrderKind::Role, OrderKind::Drain, OrderKind::Undrain,
             OrderKind::KvExport, OrderKind::KvImport }) {
        auto order = parseOrder(orderJson({ kind, "chat \"7\"", 12 }));
        REQUIRE(order.has_value());
        CHECK(order.value().kind == kind);
        CHECK(order.value().argument == "chat \"7\"");
        CHECK(order.value().fence == 12);
    }
    for (const char* text : { "", "[]", "{}", R"({"order":"stop","fence":1})",
             R"({"order":"load","fence":-1})", R"({"order":7,"fence":1})" })
        CHECK(parseOrder(text).error().kind == ErrorKind::InvalidArgument);
}

// Guards against a first order that is sent while an order of the previous holder may still take effect, in
// an upstream that ignores fencing numbers.
TEST_CASE(
    "an upstream that ignores fencing numbers gets no order until the previous holder's orders have ended")
{
    for (bool checksFence : { true, false }) {
        OrderSequencer orders({ .checksFence = checksFence, .maxOrderDuration = Milliseconds(5000) });
        orders.setDesiredDraining(true);
        orders.reported({}, at(0));
        CHECK_FALSE(orders.next(at(0)).has_value());
        orders.leaseAcquired(3, at(100));
        orders.reported({}, at(100));
        CHECK(orders.next(at(5099)).has_value() == checksFence);
        if (checksFence)
            continue;
        // A report from before the end of the wait may lack the effect of the previous holder's last order.
        CHECK_FALSE(orders.next(at(5100)).has_value());
        orders.reported({}, at(5100));
        auto order = orders.next(at(5110));
        REQUIRE(order.has_value());
        CHECK(order->kind == OrderKind::Drain);
        CHECK(order->fence == 3);
    }
}

// Guards against a second order that is based on a report from before the first order.
TEST_CASE("each order is based on a new report, and late orders of previous holders are corrected")
{
    OrderSequencer orders({ .checksFence = false, .maxOrderDuration = Milliseconds(1000) });
    orders.leaseAcquired(1, at(0));
    orders.setDesiredDraining(true);
    orders.setDesiredVersion("m2");
    orders.reported({ "m1", "", false }, at(1000));
    CHECK(orders.next(at(1000))->kind == OrderKind::Drain);
    CHECK_FALSE(orders.next(at(1010)).has_value());
    orders.reported({ "m1", "", false }, at(1010));
    orders.answered(OrderAnswer::Done, at(1020));
    orders.reported({ "m1", "", false }, at(1015));
    CHECK_FALSE(orders.next(at(1030)).has_value());
    orders.reported({ "m1", "", true }, at(1040));
    CHECK(orders.next(at(1050))->kind == OrderKind::Load);
    orders.answered(OrderAnswer::Unknown, at(1100));
    orders.reported({ "m1", "", true }, at(1500));
    CHECK_FALSE(orders.next(at(2099)).has_value());
    orders.reported({ "m2", "", true }, at(2200));
    CHECK_FALSE(orders.next(at(2200)).has_value());
    CHECK(orders.converged());
    // A late order of a paused previous holder has taken effect.
    orders.reported({ "m2", "", false }, at(3000));
    CHECK(orders.next(at(3000))->kind == OrderKind::Drain);
}

// Guards against a previous holder that continues to send orders, and a transfer that is dropped although its
// order was not executed.
TEST_CASE("a refused fencing number ends the term, and transfers are repeated until they are done")
{
    OrderSequencer orders({});
    orders.leaseAcquired(4, at(0));
    orders.addTransfer(OrderKind::KvExport, "chat-1");
    orders.reported({}, at(0));
    CHECK(orders.next(at(0))->argument == "chat-1");
    orders.answered(OrderAnswer::Failed, at(10));
    orders.reported({}, at(20));
    CHECK_FALSE(orders.next(at(20)).has_value());
    CHECK(orders.next(at(510))->argument == "chat-1");
    orders.answered(OrderAnswer::Stale, at(520));
    CHECK(orders.stale());
    orders.reported({}, at(600));
    CHECK_FALSE(orders.next(at(600)).has_value());
    orders.leaseAcquired(6, at(700));
    orders.reported({}, at(700));
    CHECK(orders.next(at(700))->fence == 6);
    orders.answered(OrderAnswer::Done, at(710));
    orders.reported({}, at(720));
    CHECK(orders.converged());
}
