// Failure domains that the operator evacuates.

#include "base/base.h"
#include "process/testing/forwardfixture.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

const std::string body = "id: 1\ndata: part 1\n\n"; // of calls and of streams

Script answer(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 200, body)) };
}

// A pool with an upstream in each of the domains z0 and z1.
struct EvacuationFixture : ForwardFixture {
    explicit EvacuationFixture(ScriptedServer::Handler handler = &answer)
        : first(addUpstream("desk-1", std::move(handler)))
        , second(addUpstream("desk-2", &answer))
    {
        followsEvacuations = true;
        directory.upstreams[0].failureDomain = "z0";
        directory.upstreams[1].failureDomain = "z1";
    }
    bool shows(ForwardDaemon& daemon, const std::string& target, const std::string& text)
    {
        return admin(daemon, target)->body.find(text) != std::string::npos;
    }
    // The second upstream refuses requests meanwhile, so that they are tried again elsewhere.
    void callUntilFirstIsReached(ForwardDaemon& daemon)
    {
        second.setHandler([](const ScriptedRequest& request) {
            return Script { ScriptStep::send(
                upstreamAnswer(request, 503, "", "X-Briarwharf-Not-Run: 1\r\n")) };
        });
        constexpr int maxCalls = 200;
        std::size_t before = first.requests().size();
        for (int number = 0; first.requests().size() == before; ++number) {
            REQUIRE(number < maxCalls);
            call(daemon, "/read/x");
        }
        second.setHandler(&answer);
    }

    ScriptedServer& first;
    ScriptedServer& second;
};

} // namespace

// Guards against requests to a domain that is evacuated, and against one that stays unused after its end.
TEST_CASE("an evacuated domain gets no request until the evacuation ends")
{
    EvacuationFixture fixture;
    fixture.directory.publishEvacuations({});
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    fixture.callUntilFirstIsReached(daemon);
    fixture.directory.publishEvacuations({ "z0", "of no upstream" });
    std::size_t before = fixture.first.requests().size();
    for (const char* target : { "/read/x", "/book/x", "/chat/x", "/ask/x" }) {
        for (int call = 0; call < 5; ++call)
            CHECK(fixture.call(daemon, target)->head.status == 200);
    }
    fixture.directory.publishUpstreams(); // listed as before
    CHECK(fixture.call(daemon, "/read/x")->head.status == 200);
    CHECK(fixture.first.requests().size() == before);
    fixture.runUntil([&] { return fixture.first.openConnections() == 0; });
    CHECK(fixture.shows(daemon, "/metrics", "briarwharf_evacuated_domains 2"));
    CHECK(fixture.shows(daemon, "/metrics", "briarwharf_evacuated_upstreams 1"));
    CHECK(fixture.shows(daemon, "/show/upstreams", "\"evacuated\":true"));
    CHECK(fixture.shows(daemon, "/show/evacuations", "\"domain\":\"z0\""));
    fixture.directory.publishEvacuations({});
    fixture.callUntilFirstIsReached(daemon);
    CHECK(fixture.shows(daemon, "/metrics", "briarwharf_evacuated_domains 0"));
}

// Guards against streams that an evacuation cuts off, and against those that are resumed in the same domain.
TEST_CASE("a begun stream ends at its upstream in an evacuated domain, or is resumed in another domain")
{
    for (bool breaks : { false, true }) {
        CAPTURE(breaks);
        auto streaming = [=](const ScriptedRequest& request) {
            return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 1)),
                ScriptStep::wait(Milliseconds(200)),
                breaks ? ScriptStep::reset() : ScriptStep::send(streamEvents(2, 3) + streamEnd()) };
        };
        EvacuationFixture fixture(streaming);
        fixture.second.setHandler([](const ScriptedRequest& request) {
            return Script { ScriptStep::send(streamHead(request) + streamEvents(2, 3) + streamEnd()) };
        });
        fixture.directory.publishEvacuations({ "z1" });
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.waitReady(daemon);
        auto stream = fixture.send(daemon, "/chat/x");
        fixture.runUntil([&] { return !stream->body.empty(); });
        fixture.directory.publishEvacuations({ "z0" });
        fixture.runUntil([&] { return stream->done(); });
        CHECK(stream->complete);
        CHECK(stream->body.find("part 3") != std::string::npos);
        CHECK(fixture.first.requests().size() == 1);
        CHECK(fixture.second.requests().size() == (breaks ? 1 : 0));
        fixture.runUntil([&] { return fixture.first.openConnections() == 0; });
    }
}

// Guards against callers that get no answer, or one that does not promise that the request did not run.
TEST_CASE("a pool whose upstreams are all evacuated refuses requests as not run")
{
    EvacuationFixture fixture;
    fixture.directory.publishEvacuations({ "z0", "z1" });
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    for (const char* target : { "/read/x", "/book/x", "/chat/x" }) {
        auto refused = fixture.call(daemon, target);
        CHECK(refused->head.status == 503);
        CHECK(refused->head.fields.has("Retry-After"));
        CHECK(refused->body.find("not_run") != std::string::npos);
    }
}

// Guards against requests to an evacuated domain from an instance that has just started, and against one that
// serves no one because the source fails for evacuations only.
TEST_CASE("an instance waits for the evacuations before it takes requests, but not for good")
{
    for (bool reported : { true, false }) {
        EvacuationFixture fixture;
        ForwardDaemon& daemon = fixture.startDaemon();
        fixture.runUntil([&] { return daemon.forwarder().hasRoutingAndUpstreams(); });
        CHECK(fixture.call(daemon, "/read/x")->head.status == 503);
        if (reported)
            fixture.directory.publishEvacuations({ "z0" });
        fixture.waitReady(daemon);
        CHECK(fixture.call(daemon, "/read/x")->head.status == 200);
        CHECK((!reported || fixture.first.requests().empty()));
    }
}

// Guards against requests to an evacuated domain from an instance that the source does not serve, and against
// a domain that it does not use after the end.
TEST_CASE("an instance that starts while the source is away learns of an evacuation from its peer")
{
    EvacuationFixture fixture;
    FakeDirectory away = fixture.directory;
    away.unreachable = true;
    fixture.directory.publishEvacuations({ "z0" });
    ForwardDaemon& served = fixture.startDaemon();
    fixture.waitReady(served);
    ForwardDaemon& started = fixture.startDaemon(true, &away);
    fixture.waitReady(started);
    for (int call = 0; call < 10; ++call)
        CHECK(fixture.call(started, "/read/x")->head.status == 200);
    CHECK(fixture.first.requests().empty());
    CHECK(fixture.shows(started, "/show/evacuations", "\"domain\":\"z0\""));
    fixture.directory.publishEvacuations({});
    fixture.runUntil([&] { return fixture.shows(started, "/metrics", "briarwharf_evacuated_domains 0"); });
    fixture.callUntilFirstIsReached(started);
}
