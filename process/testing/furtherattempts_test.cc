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
