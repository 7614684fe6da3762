#include "process/testing/forwardfixture.h"

#include "base/base.h"
#include "base/testing/capturedoutput.h"
#include <doctest/doctest.h>
#include <sstream>

using namespace briarwharf;

namespace {

ScriptedServer::Handler answering(const std::string& body)
{
    return [body](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 200, body)) };
    };
}

std::string plainEvents(int first, int last)
{
    std::string out;
    for (int number = first; number <= last; ++number)
        out += "id: " + std::to_string(number) + "\ndata: part " + std::to_string(number) + "\n\n";
    return out;
}

std::string_view field(const ScriptedRequest& request, std::string_view name)
{
    return request.head.fields.find(name);
}

// Requests that two upstreams have read, wherever placement sent them.
std::size_t totalRequests(const ScriptedServer& first, const ScriptedServer& second)
{
    return first.requests().size() + second.requests().size();
}

} // namespace

TEST_CASE("a request reaches its upstream unchanged, with what this system sets and without the key")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("desk-1", answering("booked"));
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/book/job?x=1%20y", "the body",
        "X-Own: 1\r\nX-Briarwharf-Organisation: forged\r\nX-Briarwharf-Expect-Upstream: forged\r\n"
        "Connection: X-Hop\r\nX-Hop: 1\r\nX-Briarwharf-Deadline-Ms: 3000\r\n");
    CHECK(answer->head.status == 200);
    CHECK(answer->body == "booked");
    CHECK(answer->head.fields.find("X-Briarwharf-Signature") == "signed");
    REQUIRE(upstream.requests().size() == 1);
    const ScriptedRequest& seen = upstream.requests()[0];
    CHECK(seen.head.method == "POST");
    CHECK(seen.head.target == "/book/job?x=1%20y");
    CHECK(seen.body == "the body");
    CHECK(field(seen, "X-Own") == "1");
    CHECK(field(seen, "X-Briarwharf-Organisation") == "saqib");
    CHECK(field(seen, "X-Briarwharf-Expect-Upstream") == "desk-1");
    CHECK_FALSE(seen.head.fields.has("X-Briarwharf-Key"));
    CHECK_FALSE(seen.head.fields.has("X-Hop"));
    CHECK(std::stoi(std::string(field(seen, "X-Briarwharf-Deadline-Ms"))) <= 3000);
}

// Guards against callers that are told that their route or key is wrong by an instance that knows neither
// yet.
TEST_CASE("without a configuration every request is refused as not run, and the instance is not ready")
{
    ForwardFixture fixture;
    fixture.directory.unreachable = true;
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/read/x");
    CHECK(answer->head.status == 503);
    CHECK(answer->head.fields.has("Retry-After"));
    CHECK(fixture.admin(daemon, "/readyz")->head.status == 503);
    CHECK(fixture.admin(daemon, "/healthz")->head.status == 200);
}

TEST_CASE("unknown routes and keys are told so; the other interfaces answer")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", answering("ok"));
    ForwardDaemon& daemon = fixture.startDaemon();
    CHECK(fixture.call(daemon, "/nothing/x")->head.status == 404);
    CHECK(fixture.call(daemon, "/read/x", "", "X-Briarwharf-Key: wrong\r\n")->head.status == 401);
    CHECK(fixture.admin(daemon, "/readyz")->head.status == 200);
    CHECK(fixture.admin(daemon, "/metrics")->body.find("briarwharf_forwarded_requests_total")
        != std::string::npos);
    auto shown = parseJson(fixture.admin(daemon, "/show/upstreams")->body, "answer");
    REQUIRE(shown);
    CHECK(shown.value()["rows"][0]["id"] == "desk-1");
    CHECK(fixture.admin(daemon, "/show/routes")->body.find("at-most-once") != std::string::npos);
    CHECK(fixture.admin(daemon, "/show/instances")->head.status == 200);
    CHECK(fixture.admin(daemon, "/other")->head.status == 404);
}

// Guards against money moved twice.
TEST_CASE("a request that may run once is not sent again after its connection broke")
{
    ForwardFixture fixture;
    auto reset = [](const ScriptedRequest&) { return Script { ScriptStep::reset() }; };
    ScriptedServer& first = fixture.addUpstream("desk-1", reset);
    ScriptedServer& second = fixture.addUpstream("desk-2", reset);
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/book/x", "deposit");
    CHECK(answer->head.status == 502);
    CHECK(totalRequests(first, second) == 1);
}

// Guards against bookings that go on to an upstream that resets its connections (inc-424c: 27 in five
// seconds).
TEST_CASE("an upstream that resets calls is avoided after the second time")
{
    ForwardFixture fixture;
    ScriptedServer& resets = fixture.addUpstream(
        "desk-1", [](const ScriptedRequest&) { return Script { ScriptStep::reset() }; });
    fixture.addUpstream("desk-2", answering("booked"));
    ForwardDaemon& daemon = fixture.startDaemon();
    int failed = 0;
    for (int request = 0; request < 20; ++request)
        failed += fixture.call(daemon, "/book/" + std::to_string(request), "deposit")->head.status == 502 ? 1
                                                                                                          : 0;
    CHECK(failed <= 3);
    CHECK(resets.requests().size() <= 3);
}

TEST_CASE("a request that may run once goes on after a refusal, while attempts are left")
{
    ForwardFixture fixture;
    auto refuse = [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 503, "", "X-Briarwharf-Not-Run: 1\r\n")) };
    };
    ScriptedServer& first = fixture.addUpstream("desk-1", refuse);
    ScriptedServer& second = fixture.addUpstream("desk-2", refuse);
    ForwardDaemon& daemon = fixture.startDaemon();
    auto twice = fixture.call(daemon, "/book/x", "deposit");
    CHECK(twice->head.status == 503);
    CHECK(twice->head.fields.has("Retry-After"));
    CHECK(totalRequests(first, second) == 2);
    CHECK(fixture.call(daemon, "/once/x", "deposit")->head.status == 503);
    CHECK(totalRequests(first, second) == 3);
}

// Guards against a 503 of an upstream that did run the request being passed on as a promise that it did not.
TEST_CASE("a 503 that does not say that the request did not run is no refusal")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 503, "busy")) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/book/x", "deposit");
    CHECK(answer->head.status == 502);
    CHECK_FALSE(answer->head.fields.has("X-Briarwharf-Signature"));
}

TEST_CASE("a failure of an upstream is passed on with its signature, or asked again where that is allowed")
{
    ForwardFixture fixture;
    auto fail = [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 500, "failed")) };
    };
    ScriptedServer& first = fixture.addUpstream("desk-1", fail);
    ScriptedServer& second = fixture.addUpstream("desk-2", fail);
    ForwardDaemon& daemon = fixture.startDaemon();
    auto booked = fixture.call(daemon, "/book/x", "deposit");
    CHECK(booked->head.status == 500);
    CHECK(booked->head.fields.has("X-Briarwharf-Signature"));
    CHECK(totalRequests(first, second) == 1);
    fixture.call(daemon, "/read/x");
    CHECK(totalRequests(first, second) == 3);
}

TEST_CASE("an address that refuses connections, or is another upstream's now, costs nothing but a detour")
{
    ForwardFixture fixture;
    ScriptedServer& reused = fixture.addUpstream("gone", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 421, "")) };
    });
    Endpoint closed;
    {
        ScriptedServer server(fixture.base(), [](const ScriptedRequest&) { return Script {}; });
        closed = server.endpoint();
    }
    fixture.addEntry("closed", closed);
    ScriptedServer& sound = fixture.addUpstream("desk-1", answering("booked"));
    ForwardDaemon& daemon = fixture.startDaemon();
    for (int request = 0; request < 6; ++request) {
        auto answer = fixture.call(daemon, "/once/" + std::to_string(request), "deposit");
        CHECK(answer->head.status == 200);
    }
    CHECK(sound.requests().size() == 6);
    CHECK(reused.requests().size() <= 6);
}

// Guards against success without the upstream's signature, and answers to other requests.
TEST_CASE("what is not the upstream's whole answer to this request is not passed on")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        if (request.head.target == "/book/unsigned")
            return Script { ScriptStep::send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") };
        if (request.head.target == "/book/short")
            return Script { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Briarwharf-Signature: s\r\n"
                                             "Content-Length: 10\r\n\r\npart"),
                ScriptStep::close() };
        return Script { ScriptStep::send("HTTP/1.1 200 OK\r\nX-Briarwharf-Request-Id: other\r\n"
                                         "X-Briarwharf-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
            + upstreamAnswer(request, 200, "right")) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    CHECK(fixture.call(daemon, "/book/unsigned", "x")->head.status == 502);
    CHECK(fixture.call(daemon, "/book/short", "x")->head.status == 502);
    CHECK(fixture.call(daemon, "/book/crossed", "x")->body == "right");
}

TEST_CASE("a broken stream is continued after its last whole event, under the first upstream's head")
{
    ForwardFixture fixture;
    auto handler = [](const ScriptedRequest& request) {
        if (field(request, "Last-Event-Id").empty())
            return Script { ScriptStep::send(
                                streamHead(request) + streamEvents(1, 3) + "b\r\nid: 4\ndata:\r\n"),
                ScriptStep::wait(Milliseconds(20)), ScriptStep::reset() };
        int next = std::stoi(std::string(field(request, "Last-Event-Id"))) + 1;
        return Script { ScriptStep::send(streamHead(request) + streamEvents(next, 6) + streamEnd()) };
    };
    ScriptedServer& first = fixture.addUpstream("engine-1", handler);
    ScriptedServer& second = fixture.addUpstream("engine-2", handler);
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/chat/x", "prompt");
    CHECK(answer->complete);
    CHECK(answer->body == plainEvents(1, 6));
    CHECK(first.requests().size() == 1);
    CHECK(second.requests().size() == 1);
}

// Guards against a cut stream that looks whole.
TEST_CASE("a stream that cannot be continued ends without its end")
{
    ForwardFixture fixture;
    fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 3)),
            ScriptStep::wait(Milliseconds(20)), ScriptStep::reset() };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/ask/x", "prompt");
    CHECK(answer->failed);
    CHECK(answer->body == plainEvents(1, 3));
}

// Guards against work for callers that are gone, and against bookings that are broken off half-way.
TEST_CASE("a caller that leaves ends its stream at the upstream, but not a call that may run once")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        if (request.head.target == "/chat/x")
            return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 1)),
                ScriptStep::silence() };
        return Script { ScriptStep::wait(Milliseconds(100)),
            ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto stream = fixture.send(daemon, "/chat/x", "prompt");
    fixture.runUntil([&] { return !stream->body.empty(); });
    stream->exchange.reset();
    fixture.runUntil([&] { return upstream.openConnections() == 0; });

    auto booking = fixture.send(daemon, "/book/x", "deposit");
    fixture.runUntil([&] { return upstream.requests().size() == 2; });
    booking->exchange.reset();
    fixture.runUntil([&] { return daemon.forwarder().counters().answered == 1; });
    CHECK(daemon.forwarder().counters().callersLeft == 2);
}

TEST_CASE("a request that is not answered in its time is told so: not run only if nothing was sent")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", [](const ScriptedRequest&) { return Script { ScriptStep::silence() }; });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/book/x", "deposit", "X-Briarwharf-Deadline-Ms: 150\r\n");
    CHECK(answer->head.status == 504);
}

// Guards against a caller that waits for its whole time in an engine's queue that cannot reach it.
TEST_CASE("a prompt that cannot be read in its time is refused at once and told when to come back")
{
    ForwardFixture fixture;
    fixture.directory.routing.pools[0].engine.emplace();
    ScriptedServer& engine = fixture.addUpstream("engine-1", answering("read"));
    ForwardDaemon& daemon = fixture.startDaemon();
    // About a second to read; known from answers to be shorter, but not half of that.
    const std::string prompt = "X-Briarwharf-Tokens: 60000,100\r\n";
    std::shared_ptr<CallerAnswer> hurried;
    std::size_t answered = 0;
    do {
        // The forecast holds for a second after an answer, which a busy machine may take for two calls.
        CHECK(fixture.call(daemon, "/read/x", "prompt", prompt)->body == "read");
        answered = engine.requests().size();
        hurried = fixture.call(daemon, "/read/x", "prompt", prompt + "X-Briarwharf-Deadline-Ms: 400\r\n");
    } while (hurried->head.status == 200 && answered < 50);
    CHECK(hurried->head.status == 503);
    CHECK(hurried->head.fields.find("Retry-After").substr(0, 2) == "0.");
    CHECK(hurried->body.find("overloaded") != std::string::npos);
    CHECK(engine.requests().size() == answered);
}

TEST_CASE("draining upstreams get nothing new; lapsed ones only when there is no other")
{
    ForwardFixture fixture;
    ScriptedServer& first = fixture.addUpstream("desk-1", answering("1"));
    ScriptedServer& second = fixture.addUpstream("desk-2", answering("2"));
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.directory.upstreams[0].draining = true;
    fixture.directory.upstreams[0].revision = fixture.directory.revision + 1;
    fixture.directory.publishUpstreams();
    for (int request = 0; request < 4; ++request)
        CHECK(fixture.call(daemon, "/read/x")->body == "2");
    CHECK(first.requests().empty());
    fixture.directory.upstreams.clear(); // all entries lapse at once
    fixture.directory.publishUpstreams();
    CHECK(fixture.call(daemon, "/read/x")->body == "2");
    CHECK(second.requests().size() == 5);
}

// Guards against an instance that restarts while the source is away and serves nothing until it is back.
TEST_CASE("an instance without a source starts from its peers and follows them")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", answering("ok"));
    ForwardDaemon& withSource = fixture.startDaemon();
    FakeDirectory silent;
    silent.unreachable = true;
    silent.routing = fixture.directory.routing;
    ForwardDaemon& withoutSource = fixture.startDaemon(true, &silent);
    fixture.waitReady(withoutSource);
    CHECK(fixture.call(withoutSource, "/read/x")->body == "ok");

    fixture.directory.routing.version = 2;
    fixture.directory.publishRouting();
    fixture.runUntil([&] { return withoutSource.forwarder().routing()->version() == 2; });
    fixture.directory.routing.version = 1;
    fixture.directory.publishRouting();
    CHECK(withSource.forwarder().routing()->version() == 2);
}

// Guards against a crash of a process that ends with requests in progress (found by soak seed 107).
TEST_CASE("a daemon ends in order while a stream and a call are in progress")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        if (request.head.target == "/book/x")
            return Script { ScriptStep::silence() };
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 1)), ScriptStep::silence() };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto stream = fixture.send(daemon, "/chat/x", "prompt");
    auto booking = fixture.send(daemon, "/book/x", "deposit");
    fixture.runUntil([&] { return !stream->body.empty() && upstream.requests().size() == 2; });
    fixture.stopDaemons();
    fixture.runUntil([&] { return stream->done() && booking->done(); });
    CHECK(stream->failed);
    CHECK(booking->failed);
}

// Guards against streams that are cut by the end of the grace time (LOST on trouble-2 of both sites).
TEST_CASE("shutdown: not ready at once, still serving, and nothing taken that would have to be cut")
{
    ForwardFixture fixture;
    fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        if (request.head.target == "/chat/long")
            return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 1)),
                ScriptStep::wait(Milliseconds(300)), ScriptStep::send(streamEvents(2, 2) + streamEnd()) };
        return Script { ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto running = fixture.send(daemon, "/chat/long", "prompt");
    fixture.runUntil([&] { return !running->body.empty(); });
    daemon.shutDown();
    CHECK(fixture.admin(daemon, "/readyz")->head.status == 503);
    auto read = fixture.call(daemon, "/read/x", "", "X-Briarwharf-Deadline-Ms: 1000\r\n");
    CHECK(read->head.status == 200);
    CHECK(read->head.fields.find("Connection") == "close");
    // A stream of this length at a busy engine might not end within the grace time.
    auto late = fixture.call(daemon, "/chat/short", "prompt", "X-Briarwharf-Tokens: 1000,4000\r\n");
    CHECK(late->head.status == 503);
    CHECK(late->head.fields.has("Retry-After"));
    fixture.runUntil([&] { return running->done(); });
    CHECK(running->complete);
    CHECK(running->body == plainEvents(1, 2));
}

namespace {

// The lines about a request, as an operator gets them from the log with `briarwharfctl trace`.
std::vector<Json> traced(const std::string& log, const std::string& id)
{
    std::istringstream stream(log);
    LogTrace trace(id);
    trace.read(stream, "entry-1");
    std::vector<Json> lines;
    for (const auto& line : trace.lines())
        lines.push_back(parseJson(line.text, "line").value());
    return lines;
}

// Runs the scenario and returns what it logged.
template <typename Scenario> std::string logged(Scenario scenario)
{
    CapturedOutput output;
    configureLogging("info");
    scenario();
    configureLogging("warning");
    return output.take();
}

} // namespace

// Guards against failures that cannot be explained afterwards; docs/OPERATIONS.md leads through the same
// lines.
TEST_CASE("the cause of a refused request is found from its id")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 503, "", "X-Briarwharf-Not-Run: 1\r\n")) };
    });
    std::string log = logged([&] {
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.call(daemon, "/once/x", "deposit");
        std::string metrics = fixture.admin(daemon, "/metrics")->body;
        CHECK(
            metrics.find("briarwharf_forwarded_requests_total{outcome=\"refused\"} 1") != std::string::npos);
    });
    auto lines = traced(log, "request-1");
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["end"] == "refused");
    CHECK(lines[0]["upstream"] == "desk-1");
    CHECK(lines[0]["verdict"] == "refuse-not-run");
    CHECK(lines[1]["status"] == 503);
    CHECK(lines[1]["routing_version"] == 1);
}

TEST_CASE("the cause of a broken stream is found from its id")
{
    ForwardFixture fixture;
    fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 3)),
            ScriptStep::wait(Milliseconds(20)), ScriptStep::reset() };
    });
    std::string log = logged([&] {
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.call(daemon, "/ask/x", "prompt");
    });
    auto lines = traced(log, "request-1");
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["end"] == "broken");
    CHECK(lines[0]["reason"] == "Connection reset by peer");
    CHECK(lines[0]["verdict"] == "cut");
    CHECK(lines[1]["outcome"] == "cut");
    CHECK(lines[1]["events"] == 3);
}

TEST_CASE("the cause of an unknown outcome is found from its id")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", [](const ScriptedRequest&) { return Script { ScriptStep::close() }; });
    std::string log = logged([&] {
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.call(daemon, "/book/x", "deposit");
    });
    auto lines = traced(log, "request-1");
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["written"] == true);
    CHECK(lines[0]["reason"] == "closed by the other side before the answer was whole");
    CHECK(lines[0]["verdict"] == "fail");
    CHECK(lines[1]["status"] == 502);
}
