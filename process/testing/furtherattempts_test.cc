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
