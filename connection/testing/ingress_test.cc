#include "connection/connection.h"
#include "connection/testing/loop.h"
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

// Collects what a caller receives that writes bytes of its own.
struct RawCaller : TcpStreamEvents {
    std::string received;
    std::unique_ptr<TcpStream> stream;

    void streamReceived(std::string_view bytes) override { received += bytes; }
    void streamEnded() override { }
    void streamFailed(std::string_view) override { }
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
    RawCaller caller;
    caller.stream = std::move(TcpStream::connect(base.get(), "127.0.0.1", port.value(), {}, caller).value());
    caller.stream->write("GET /1 HTTP/1.1\r\nHost: test\r\n\r\nGET /2 HTTP/1.1\r\nHo");
    runUntil(base.get(), [&] { return waiting != nullptr; });
    // The rest is in the socket when the answer ends, and is read before anything that the answer leaves for
    // later.
    caller.stream->write("st: test\r\n\r\nGET /3 HTTP/1.1\r\nHost: test\r\n\r\n");
    waiting->answer(200, "", "/1");
    runUntil(base.get(), [&] { return targets.size() == 3 || ingress.counters().malformed > 0; });
    CHECK(ingress.counters().malformed == 0);
    CHECK(targets == std::vector<std::string> { "/1", "/2", "/3" });
}
