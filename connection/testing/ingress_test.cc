#include "connection/connection.h"
#include "connection/testing/loop.h"
#include "connection/testing/rawcaller.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

struct ReceivedAnswer : OutgoingEvents {
    std::size_t bodyBytes = 0;
    bool complete = false;
    bool failed = false;

    void answerHead(const HttpHead&) override { }
    void answerBody(std::string_view bytes) override { bodyBytes += bytes.size(); }
    void answerEnd() override { complete = true; }
    void exchangeFailed(const ExchangeFailure&) override { failed = true; }
};

} // namespace

// Guards against truncating the answer to a caller that reads slowly when idle connections are closed.
TEST_CASE("a connection is not idle while a part of its answer waits to be sent")
{
    constexpr std::size_t bodyBytes = std::size_t { 32 } * 1024 * 1024; // more than the sockets buffer
    Base base = makeBase();
    Ingress ingress(base.get(), {}, [](const IngressRequest&, CallerExchange& caller) {
        caller.answer(200, "", std::string(bodyBytes, 'x'));
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    HttpPool pool(base.get(), {});
    ReceivedAnswer answer;
    OutgoingRequest request;
    request.head = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    auto exchange = pool.start({ "127.0.0.1", port.value() }, request, answer);
    REQUIRE(exchange);
    runUntil(base.get(), [&] { return ingress.counters().requests == 1; });
    REQUIRE(ingress.requestsInProgress() == 0);
    ingress.closeIdle(Milliseconds(0));
    runUntil(base.get(), [&] { return answer.complete || answer.failed; });
    CHECK(answer.complete);
    CHECK(answer.bodyBytes == bodyBytes);
}

// Guards against cutting the answer to a caller that reads slowly before the connection is closed: 5 s after
// the whole answer was there the connection was closed, with most of it unsent.
TEST_CASE("LOST: the last answer on a connection is sent whole to a caller that pauses")
{
    constexpr std::size_t bodyBytes = std::size_t { 32 } * 1024 * 1024; // more than the sockets buffer
    constexpr Milliseconds pause { 6500 };
    IngressLimits limits;
    limits.maxBufferedBytes = 4 * bodyBytes;
    Base base = makeBase();
    Ingress ingress(base.get(), limits, [](const IngressRequest&, CallerExchange& caller) {
        caller.answer(200, "", std::string(bodyBytes, 'x'));
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    RawCaller asksForClose(
        base.get(), port.value(), "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
    RawCaller meetsShutdown(base.get(), port.value(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    RawCaller leaves(base.get(), port.value(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    asksForClose.stopReading = meetsShutdown.stopReading = leaves.stopReading = true;
    ingress.startClosing();
    runUntil(base.get(), [&] { return ingress.counters().requests == 3; });
    leaves.close();
    runUntil(base.get(), [&] { return ingress.connections() == 2; });
    Timer pauseTimer(base.get(), [] {});
    pauseTimer.start(pause);
    runUntil(base.get(), [&] { return !pauseTimer.isPending(); });
    CHECK(ingress.connections() == 2);
    asksForClose.resumeReading();
    meetsShutdown.resumeReading();
    runUntil(base.get(), [&] { return asksForClose.ended && meetsShutdown.ended; });
    CHECK(asksForClose.received.size() > bodyBytes);
    CHECK(meetsShutdown.received.size() > bodyBytes);
}

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

} // namespace

// Guards against an instance that runs out of memory because many callers send large bodies at once.
TEST_CASE("bodies of all requests together stay within a bound; a request over it is refused at once")
{
    constexpr int callers = 12;
    IngressLimits limits;
    limits.maxBufferedBytes = 8 * mebibyte;
    Base base = makeBase();
    Ingress ingress(base.get(), limits,
        [](const IngressRequest&, CallerExchange& caller) { caller.answer(200, "", "ok"); });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    std::string unfinished = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: "
        + std::to_string(2 * mebibyte) + "\r\n\r\n" + std::string(mebibyte, 'x');
    std::vector<std::unique_ptr<RawCaller>> sending;
    while (sending.size() < callers)
        sending.push_back(std::make_unique<RawCaller>(base.get(), port.value(), unfinished));
    auto refused = [&] {
        return std::count_if(sending.begin(), sending.end(),
            [](const auto& caller) { return caller->received.rfind("HTTP/1.1 503 ", 0) == 0; });
    };
    std::size_t most = 0;
    runUntil(base.get(), [&] {
        most = std::max(most, ingress.bufferedBytes());
        return refused() >= callers - 8;
    });
    CHECK(most <= limits.maxBufferedBytes);
    CHECK(ingress.counters().overloaded >= callers - 8);
    RawCaller sound(base.get(), port.value(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    runUntil(base.get(), [&] { return !sound.received.empty(); });
    CHECK(sound.received.rfind("HTTP/1.1 200 ", 0) == 0);
    sending.clear();
    runUntil(base.get(), [&] { return ingress.connections() == 1; });
    CHECK(ingress.bufferedBytes() == 0);
}

// Guards against an instance that runs out of memory because many callers do not read their answers.
TEST_CASE("unsent answers of all connections together fall to the bound within a second")
{
    constexpr std::size_t callers = 4;
    IngressLimits limits;
    limits.maxBufferedBytes = 8 * mebibyte;
    Base base = makeBase();
    Ingress ingress(base.get(), limits, [](const IngressRequest&, CallerExchange& caller) {
        caller.answer(200, "", std::string(16 * mebibyte, 'x'));
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    std::vector<std::unique_ptr<RawCaller>> silent;
    while (silent.size() < callers) {
        silent.push_back(
            std::make_unique<RawCaller>(base.get(), port.value(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n"));
        silent.back()->stopReading = true;
    }
    runUntil(base.get(), [&] { return ingress.counters().requests == callers; });
    CHECK(ingress.bufferedBytes() > limits.maxBufferedBytes);
    runUntil(base.get(), [&] { return ingress.bufferedBytes() <= limits.maxBufferedBytes; });
    CHECK(ingress.counters().overloaded > 0);
}

// Guards against the loss of sound callers' answers when a few callers that do not read fill the buffers: the
// bytes of a closed connection still counted, and further connections were closed for them.
TEST_CASE("only the connections with the most unsent bytes are closed for the bound")
{
    constexpr std::size_t soundCallers = 3;
    IngressLimits limits;
    limits.maxBufferedBytes = 24 * mebibyte;
    Base base = makeBase();
    Ingress ingress(base.get(), limits, [](const IngressRequest& request, CallerExchange& caller) {
        bool isLarge = request.head.target == "/large";
        caller.answer(200, "", std::string((isLarge ? 32 : 6) * mebibyte, 'x'));
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    std::vector<std::unique_ptr<RawCaller>> callers;
    auto call = [&](std::string_view target) {
        std::string request = "GET " + std::string(target) + " HTTP/1.1\r\nHost: test\r\n\r\n";
        callers.push_back(std::make_unique<RawCaller>(base.get(), port.value(), request));
        callers.back()->stopReading = true;
    };
    call("/large");
    while (callers.size() <= soundCallers)
        call("/small");
    runUntil(base.get(), [&] { return ingress.counters().overloaded > 0; });
    CHECK(ingress.counters().requests == soundCallers + 1);
    CHECK(ingress.counters().overloaded == 1);
    CHECK(ingress.connections() == soundCallers);
    CHECK(ingress.bufferedBytes() <= limits.maxBufferedBytes);
}

namespace {

struct IgnoredEvents : TcpStreamEvents {
    void streamConnected() override { }
    void streamReceived(std::string_view) override { }
    void streamEnded() override { }
    void streamFailed(std::string_view) override { }
};

} // namespace

// Guards against an instance that runs out of memory because of readers that are a little slower than their
// upstreams: output that was sent stayed in memory until all was sent.
TEST_CASE("output that was sent is freed although more is always waiting")
{
    constexpr std::size_t pieceBytes = mebibyte;
    constexpr std::size_t maxPending = 8 * mebibyte;
    constexpr std::size_t totalBytes = 128 * mebibyte;
    Base base = makeBase();
    IgnoredEvents events;
    std::unique_ptr<TcpStream> writer;
    auto listener = TcpListener::listen(base.get(), "127.0.0.1", 0,
        [&](int socket) { writer = TcpStream::adopt(base.get(), socket, {}, events); });
    REQUIRE(listener);
    RawCaller reader(base.get(), listener.value()->port(), "x");
    runUntil(base.get(), [&] { return writer != nullptr; });
    std::string piece(pieceBytes, 'x');
    std::size_t written = 0;
    std::size_t mostHeld = 0;
    runUntil(base.get(), [&] {
        while (written < totalBytes && writer->pendingBytes() < maxPending) {
            writer->write(piece);
            written += pieceBytes;
        }
        mostHeld = std::max(mostHeld, writer->heldOutputBytes());
        reader.received.clear();
        return written == totalBytes;
    });
    CHECK(mostHeld <= 2 * (maxPending + pieceBytes));
}

// Guards against parsing bytes before those that arrived earlier and wait: a caller got 400 for a valid
// request, or the answers in another order than its requests.
TEST_CASE("a pipelined request that arrives in two parts around the end of an answer is read in order")
{
    Base base = makeBase();
    std::vector<std::string> targets;
    CallerExchange* waiting = nullptr;
    Ingress ingress(base.get(), {}, [&](const IngressRequest& request, CallerExchange& caller) {
        targets.push_back(request.head.target);
        if (targets.size() == 1)
            waiting = &caller;
        else
            caller.answer(200, "", request.head.target);
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    RawCaller caller(base.get(), port.value(), "GET /1 HTTP/1.1\r\nHost: test\r\n\r\nGET /2 HTTP/1.1\r\nHo");
    runUntil(base.get(), [&] { return waiting != nullptr; });
    // The rest is in the socket when the answer ends, and is read before anything that the answer leaves for
    // later.
    caller.write("st: test\r\n\r\nGET /3 HTTP/1.1\r\nHost: test\r\n\r\n");
    waiting->answer(200, "", "/1");
    runUntil(base.get(), [&] { return targets.size() == 3 || ingress.counters().malformed > 0; });
    CHECK(ingress.counters().malformed == 0);
    CHECK(targets == std::vector<std::string> { "/1", "/2", "/3" });
}

namespace {

struct Limits {
    std::size_t head;
    std::size_t body;
};

std::string requestOf(std::size_t fieldBytes, std::size_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nHost: test\r\nX-Context: " + std::string(fieldBytes, 'c')
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

// A connection that has carried a request, and a listener whose limits change.
struct LimitChange {
    explicit LimitChange(Limits limits)
        : ingress(base.get(), ingressLimits(limits), &answerOk)
    {
        auto port = ingress.listen({ "127.0.0.1", 0 });
        REQUIRE(port);
        caller = std::make_unique<RawCaller>(base.get(), port.value(), requestOf(10, 10));
        CHECK(nextStatus() == "200");
    }

    static void answerOk(const IngressRequest&, CallerExchange& exchange) { exchange.answer(200, "", "ok"); }

    static IngressLimits ingressLimits(Limits limits)
    {
        return { .maxHeadBytes = limits.head, .maxBodyBytes = limits.body };
    }

    void change(Limits limits) { ingress.setLimits(ingressLimits(limits)); }

    // Sends a part of a request and waits until it has been read.
    void sendPart(std::string_view part)
    {
        caller->write(part);
        bool isOver = false;
        Timer timer(base.get(), [&isOver] { isOver = true; });
        timer.start(Milliseconds(50));
        runUntil(base.get(), [&isOver] { return isOver; });
    }

    std::string nextStatus()
    {
        runUntil(base.get(), [this] { return !caller->received.empty(); });
        return std::exchange(caller->received, {}).substr(9, 3);
    }

    Base base = makeBase();
    Ingress ingress;
    std::unique_ptr<RawCaller> caller;
};

} // namespace

// Guards against refusals, which callers do not repeat, by limits that were in force when the connection was
// opened.
TEST_CASE("DENIED: changed limits hold for the next request on an open connection")
{
    struct Change {
        Limits before, after;
        std::size_t fieldBytes, bodyBytes;
        const char* status;
    };
    for (const Change& change : {
             Change { { 8192, 4096 }, { 16384, 4096 }, 10000, 10, "200" },
             Change { { 8192, 4096 }, { 262144, 4096 }, 200000, 10, "200" },
             Change { { 16384, 4096 }, { 8192, 4096 }, 10000, 10, "431" },
             Change { { 8192, 4096 }, { 8192, 65536 }, 10, 50000, "200" },
             Change { { 8192, 65536 }, { 8192, 4096 }, 10, 50000, "413" },
         }) {
        CAPTURE(change.after.head);
        CAPTURE(change.after.body);
        LimitChange connection(change.before);
        connection.change(change.after);
        connection.sendPart(requestOf(change.fieldBytes, change.bodyBytes));
        CHECK(connection.nextStatus() == change.status);
    }
}

// Guards against the refusal of a request that was proper when its caller began to send it.
TEST_CASE("DENIED: a request that has begun gets the larger of the limits before and after a change")
{
    std::string large = requestOf(10000, 50000);
    Limits low { 8192, 4096 }, high { 16384, 65536 };
    for (std::size_t sentBefore : { std::size_t { 100 }, std::size_t { 7000 }, std::size_t { 20000 } }) {
        CAPTURE(sentBefore);
        LimitChange lowered(high);
        lowered.sendPart(large.substr(0, sentBefore));
        lowered.change(low);
        lowered.sendPart(large.substr(sentBefore));
        CHECK(lowered.nextStatus() == "200");
    }
    LimitChange raised(low);
    raised.sendPart(large.substr(0, 7000));
    raised.change(high);
    raised.sendPart(large.substr(7000));
    CHECK(raised.nextStatus() == "200");
}

// Guards against bytes where the caller expects the next answer.
TEST_CASE("MIXED: an answer to a HEAD request is sent without its body")
{
    Base base = makeBase();
    Ingress ingress(base.get(), {}, [](const IngressRequest& request, CallerExchange& caller) {
        if (request.head.target == "/whole")
            return caller.answer(404, "", "not found");
        std::optional<std::uint64_t> length;
        if (request.head.target == "/length")
            length = 4;
        caller.startAnswer(200, "", length, "by");
        caller.write("te");
        caller.end();
    });
    auto port = ingress.listen({ "127.0.0.1", 0 });
    REQUIRE(port);
    for (const char* target : { "/whole", "/length", "/chunks" }) {
        CAPTURE(target);
        std::string request = "HEAD " + std::string(target) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        RawCaller caller(base.get(), port.value(), request + request);
        auto heads = [&caller] {
            std::size_t count = 0;
            for (std::size_t at = caller.received.find("\r\n\r\n"); at != std::string::npos;
                 at = caller.received.find("\r\n\r\n", at + 1))
                ++count;
            return count;
        };
        runUntil(base.get(), [&] { return heads() == 2; });
        std::size_t half = caller.received.size() / 2;
        CHECK(caller.received.substr(0, half) == caller.received.substr(half));
        CHECK(caller.received.substr(half - 4, 4) == "\r\n\r\n");
        CHECK(caller.received.rfind("HTTP/1.1 ", 0) == 0);
    }
}

TEST_CASE("an ingress listens on an IPv6 address, too")
{
    Base base = makeBase();
    Ingress ingress(
        base.get(), {}, [](const IngressRequest&, CallerExchange& caller) { caller.answer(200, "", "six"); });
    auto port = ingress.listen({ "::1", 0 });
    if (!port) {
        MESSAGE("not checked: this machine has no IPv6 loopback address");
        return;
    }
    HttpPool pool(base.get(), {});
    ReceivedAnswer answer;
    OutgoingRequest request;
    request.head = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    auto exchange = pool.start({ "::1", port.value() }, request, answer);
    REQUIRE(exchange);
    runUntil(base.get(), [&] { return answer.complete || answer.failed; });
    CHECK(answer.bodyBytes == 3);
}
