// Configurations that arrive in another order than they were written.

#include "process/testing/forwardfixture.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

Script answer(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
}

// The configuration with the route of "/read/" at "/moved/".
RoutingConfig moved(RoutingConfig routing)
{
    auto route = std::find_if(routing.routes.begin(), routing.routes.end(),
        [](const Route& candidate) { return candidate.pathPrefix == "/read/"; });
    REQUIRE(route != routing.routes.end());
    route->pathPrefix = "/moved/";
    routing.version += 5;
    return routing;
}

} // namespace

// Guards against routes and keys of an older configuration that are in force again, because its write was
// carried out after that of a newer one.
TEST_CASE("CONFIG: a configuration that the store carries out late does not replace a newer one")
{
    ForwardFixture fixture;
    fixture.addUpstream("desk-1", &answer);
    ForwardDaemon& daemon = fixture.startDaemon();
    REQUIRE(fixture.call(daemon, "/read/x")->head.status == 200);
    RoutingConfig older = fixture.directory.routing;
    RoutingConfig newer = moved(older);
    for (const RoutingConfig& carriedOut : { newer, older, newer }) {
        CAPTURE(carriedOut.version);
        fixture.directory.routing = carriedOut;
        fixture.directory.publishRouting();
        CHECK(fixture.call(daemon, "/moved/x")->head.status == 200);
        CHECK(fixture.call(daemon, "/read/x")->head.status == 404);
    }
}
