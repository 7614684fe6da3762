#include "connection/connection.h"
#include "connection/testing/loop.h"
#include "connection/testing/rawcaller.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

} // namespace

// Guards against a budget that runs full over time because what was freed stays counted.
TEST_CASE("a budget counts what its holds hold, by kind, and nothing after their end")
{
    auto budget = std::make_shared<MemoryBudget>(1000);
    {
        MemoryHold bodies(budget, MemoryKind::Bodies);
        MemoryHold peers(budget, MemoryKind::Peers);
        bodies.set(700);
        peers.set(400);
        CHECK(budget->isExceeded());
        CHECK(!budget->hasRoom(0));
        bodies.set(100);
        CHECK(budget->total() == 500);
        CHECK(budget->held(MemoryKind::Peers) == 400);
        CHECK(budget->hasRoom(500));
        CHECK(!budget->hasRoom(501));
    }
    CHECK(budget->total() == 0);
    CHECK(budget->takePeak() == 1100);
    CHECK(budget->takePeak() == 0);
}

// Guards against bodies that are not counted while an attempt at an upstream still needs them, and against
// capacities of twice the size.
TEST_CASE("a body counts what it allocates until its last user is gone")
{
    auto budget = std::make_shared<MemoryBudget>(64 * mebibyte);
    GrowingBody body(budget);
    const std::string piece(5000, 'x');
    constexpr std::size_t longest = 4 * mebibyte;
    while (body.size() + piece.size() <= longest) {
        body.append(piece, longest);
        CHECK(body.capacity() <= std::max<std::size_t>(2 * piece.size(), body.size() * 3 / 2 + 1));
        CHECK(body.capacity() <= longest);
    }
    std::size_t size = body.size();
    auto taken = body.take();
    CHECK(body.size() == 0);
    CHECK(taken->size() == size);
    CHECK(budget->held(MemoryKind::Bodies) == taken->capacity());
    auto copy = std::exchange(taken, nullptr);
    CHECK(budget->total() >= size);
    copy.reset();
    CHECK(budget->total() == 0);
}

// Guards against senders of one byte now and then that hold their place for ever, and against a limit that
// ends a steady sender after a short pause.
TEST_CASE("the lag of a transfer rises while less than the rate moves")
{
    constexpr std::size_t rate = 8 * 1024;
    using std::chrono::seconds;
    MonotonicTime now {};
    ProgressMeter trickle(rate);
    trickle.start(now);
    for (int second = 9; second <= 27; second += 9)
        trickle.advance(1, now + seconds(second));
    CHECK(trickle.lag(now + seconds(27)) > seconds(26));

    ProgressMeter steady(rate);
    steady.start(now);
    for (int second = 1; second <= 100; ++second)
        steady.advance(rate, now + seconds(second));
    CHECK(steady.lag(now + seconds(109)) <= seconds(9));
    steady.advance(100 * rate, now + seconds(109));
    CHECK(steady.lag(now + seconds(119)) == seconds(10)); // bytes sent early earn no longer pause
}

// Guards against budgets above the machine's memory, and against the largest body finding no room on the
// smallest machine.
TEST_CASE("the budget follows the machine's memory")
{
    for (std::int64_t machineMb : { 64, 112, 256, 512, 65536 })
        CHECK(memoryBudgetBytes(machineMb) < static_cast<std::size_t>(machineMb) * mebibyte * 2 / 3);
    MemoryBudget smallest(memoryBudgetBytes(112));
    CHECK(smallest.hasRoomForBody(8 * 4 * mebibyte, 4 * mebibyte));
    CHECK(!smallest.hasRoomForBody(smallest.limit(), 4 * mebibyte));
    CHECK(smallest.hasRoomForBody(smallest.limit(), 1000)); // a small request may use all
}

// Guards against pressure that ends requests in progress or callers that move: only the silent body goes.
TEST_CASE("under pressure the body that stands still is refused, and the others are served")
{
    IngressLimits limits;
    limits.maxBufferedBytes = 9 * mebibyte; // without the silent body, the sound one fits also while it grows
    Base base = makeBase();
    std::vector<CallerExchange*> waiting;
    std::vector<IngressRequest> requests; // their bodies stay in memory
    Ingress ingress(base.get(), limits, [&](IngressRequest request, CallerExchange& caller) {
        requests.push_back(std::move(request));
        waiting.push_back(&caller);
    });
    std::uint16_t port = ingress.listen({ "127.0.0.1", 0 }).value();
    auto head = [](std::size_t length) {
        return "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    RawCaller inProgress(base.get(), port, head(mebibyte) + std::string(mebibyte, 'x'));
    runUntil(base.get(), [&] { return waiting.size() == 1; });
    RawCaller silent(base.get(), port, head(2 * mebibyte) + std::string(3 * mebibyte / 2, 'x'));
    runUntil(base.get(), [&] { return ingress.bufferedBytes() > 2 * mebibyte; });
    bool isBehind = false; // by more than a second
    Timer timer(base.get(), [&] { isBehind = true; });
    timer.start(Milliseconds(1200));
    runUntil(base.get(), [&] { return isBehind; });
    RawCaller sound(base.get(), port, head(3 * mebibyte) + std::string(3 * mebibyte, 'x'));
    runUntil(base.get(), [&] { return waiting.size() == 2; });
    CHECK(silent.received.starts_with("HTTP/1.1 503 "));
    CHECK(silent.received.find("Retry-After: ") != std::string::npos);
    for (CallerExchange* caller : waiting)
        caller->answer(200, "", "ok");
    runUntil(base.get(), [&] { return !inProgress.received.empty() && !sound.received.empty(); });
    CHECK(inProgress.received.starts_with("HTTP/1.1 200 "));
    CHECK(sound.received.starts_with("HTTP/1.1 200 "));
}

// Guards against silent connections that take all places: a caller that comes later displaces the oldest one,
// but no connection with a request.
TEST_CASE("a new connection displaces the oldest one without a request")
{
    IngressLimits limits;
    limits.maxConnections = 3;
    Base base = makeBase();
    std::vector<CallerExchange*> waiting;
    Ingress ingress(base.get(), limits,
        [&](const IngressRequest&, CallerExchange& caller) { waiting.push_back(&caller); });
    std::uint16_t port = ingress.listen({ "127.0.0.1", 0 }).value();
    const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    RawCaller first(base.get(), port, request);
    runUntil(base.get(), [&] { return waiting.size() == 1; });
    RawCaller silent(base.get(), port, "");
    runUntil(base.get(), [&] { return ingress.connections() == 2; });
    RawCaller second(base.get(), port, request);
    RawCaller third(base.get(), port, request);
    runUntil(base.get(), [&] { return waiting.size() == 3 && silent.ended; });
    CHECK(ingress.counters().displaced == 1);
    RawCaller fourth(base.get(), port, request);
    runUntil(base.get(), [&] { return fourth.ended; });
    CHECK(ingress.counters().refused == 1);
    CHECK(!first.ended);
}
