// Requests that need another upstream while none takes them.

#include "base/base.h"
#include "process/testing/forwardfixture.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

Script answerOk(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
}

// Begins a stream and breaks off; continues one that broke off.
Script breakOffOrContinue(const ScriptedRequest& request)
{
    if (request.head.fields.has("Last-Event-Id"))
        return { ScriptStep::send(streamHead(request) + streamEvents(4, 6) + streamEnd()) };
    return { ScriptStep::send(streamHead(request) + streamEvents(1, 3)), ScriptStep::wait(Milliseconds(20)),
        ScriptStep::reset() };
}

// Whether the caller got the whole stream of six events.
bool isWholeStream(const CallerAnswer& answer)
{
    return answer.complete && answer.body.find("id: 3\n") != std::string::npos
        && answer.body.find("id: 6\n") != std::string::npos;
}

} // namespace

// Guards against replacing an upstream's complete answer by a 502 when no other upstream takes the request.
TEST_CASE("a failure answer is passed on if no other upstream takes the request")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("desk-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(upstreamAnswer(request, 500, "the upstream's own words")) };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/read/x");
    CHECK(answer->head.status == 500);
    CHECK(answer->head.fields.find("X-Briarwharf-Signature") == "signed");
    CHECK(answer->body == "the upstream's own words");
    CHECK(upstream.requests().size() == 1);
    fixture.addUpstream("desk-2", answerOk);
    fixture.directory.publishUpstreams();
    CHECK(fixture.call(daemon, "/read/x")->body == "ok");
}

// Guards against giving up on the only upstream because it closed an idle connection at the moment at which
// the request was written to it.
TEST_CASE("a repeatable request goes to the same upstream on a new connection if a kept one broke")
{
    ForwardFixture fixture;
    int asked = 0;
    ScriptedServer& upstream = fixture.addUpstream("desk-1", [&](const ScriptedRequest& request) {
        return ++asked == 2 ? Script { ScriptStep::reset() } : answerOk(request);
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    CHECK(fixture.call(daemon, "/read/x")->body == "ok");
    CHECK(fixture.call(daemon, "/read/x")->body == "ok");
    REQUIRE(upstream.requests().size() == 3);
    CHECK(upstream.requests()[1].connection == 1);
    CHECK(upstream.requests()[2].connection == 2);
    fixture.call(daemon, "/read/x");
    asked = 1;
    CHECK(fixture.call(daemon, "/once/x", "deposit")->head.status == 502);
    CHECK(upstream.requests().size() == 5);
}

// Guards against cutting a begun stream because every other upstream asked for a short pause.
TEST_CASE("a broken stream waits for an upstream that pauses")
{
    ForwardFixture fixture;
    bool pausing = true;
    ScriptedServer& second = fixture.addUpstream("engine-2", [&](const ScriptedRequest& request) {
        if (pausing)
            return Script { ScriptStep::send(
                upstreamAnswer(request, 503, "", "X-Briarwharf-Not-Run: 1\r\nRetry-After: 1\r\n")) };
        return breakOffOrContinue(request);
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    CHECK(fixture.call(daemon, "/once/x", "x")->head.status == 503);
    pausing = false;
    ScriptedServer& first = fixture.addUpstream("engine-1", breakOffOrContinue);
    fixture.directory.publishUpstreams();
    auto answer = fixture.call(daemon, "/chat/x", "prompt");
    CHECK(isWholeStream(*answer));
    CHECK(first.requests().size() == 1);
    CHECK(second.requests().size() == 2);
}

// Guards against cutting a begun stream because the next upstream has no free connection for a moment.
TEST_CASE("a broken stream waits for a connection to the next upstream")
{
    constexpr std::size_t maxConnections = 4;
    ForwardFixture fixture;
    fixture.directory.routing.pools[0].maxConnections = static_cast<int>(maxConnections);
    ScriptedServer& second = fixture.addUpstream("engine-2", [](const ScriptedRequest& request) {
        if (request.head.target == "/book/x")
            return Script { ScriptStep::wait(Milliseconds(600)),
                ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
        return breakOffOrContinue(request);
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    std::vector<std::shared_ptr<CallerAnswer>> calls;
    while (calls.size() < maxConnections)
        calls.push_back(fixture.send(daemon, "/book/x", "x"));
    fixture.runUntil([&] { return second.requests().size() == maxConnections; });
    fixture.addUpstream("engine-1", breakOffOrContinue);
    fixture.directory.publishUpstreams();
    CHECK(isWholeStream(*fixture.call(daemon, "/chat/x", "prompt")));
}

// Guards against cutting a begun stream whose upstream lost one connection and is sound.
TEST_CASE("a broken stream goes on at the only upstream, on a new connection")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("engine-1", breakOffOrContinue);
    ForwardDaemon& daemon = fixture.startDaemon();
    CHECK(isWholeStream(*fixture.call(daemon, "/chat/x", "prompt")));
    CHECK(upstream.requests().size() == 2);
}

// Guards against a stream that waits for an upstream for ever, or for a caller that has left.
TEST_CASE("a broken stream waits no longer than its deadline")
{
    ForwardFixture fixture;
    ScriptedServer& upstream = fixture.addUpstream("engine-1", [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 3)),
            ScriptStep::wait(Milliseconds(20)), ScriptStep::crash() };
    });
    ForwardDaemon& daemon = fixture.startDaemon();
    auto answer = fixture.call(daemon, "/chat/x", "prompt", "X-Briarwharf-Deadline-Ms: 700\r\n");
    CHECK(answer->failed);
    CHECK(upstream.hasCrashed());
    CHECK(daemon.forwarder().requestsInProgress() == 0);
}
