// Entries of the directory at whose addresses other upstreams answer.

#include "base/base.h"
#include "process/testing/forwardfixture.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

Script answerOk(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 200, "ok")) };
}

Script answerMisdirected(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 421, "", "X-Briarwharf-Not-Run: 1\r\n")) };
}

} // namespace

// Guards against requests that go on reaching an address that belongs to another upstream (BUDGET, review
// case 4).
TEST_CASE("an entry whose address answers 421 gets no request until the directory shows another lifetime")
{
    ForwardFixture fixture;
    ScriptedServer& stale = fixture.addUpstream("desk-1", answerMisdirected);
    ScriptedServer& otherStale = fixture.addUpstream("desk-2", answerMisdirected);
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    CHECK(fixture.call(daemon, "/book/x", "x")->head.status == 503);
    ScriptedServer& sound = fixture.addUpstream("desk-3", answerOk);
    fixture.directory.publishUpstreams();
    constexpr std::size_t calls = 30;
    for (std::size_t call = 0; call < calls; ++call)
        CHECK(fixture.call(daemon, call % 2 == 0 ? "/book/x" : "/read/x", "x")->body == "ok");
    CHECK(stale.requests().size() == 1);
    CHECK(otherStale.requests().size() == 1);
    CHECK(sound.requests().size() == calls);
    std::string metrics = fixture.admin(daemon, "/metrics")->body;
    CHECK(metrics.find("briarwharf_repeats_total 1\n") != std::string::npos);
    CHECK(metrics.find("briarwharf_stale_upstreams 2\n") != std::string::npos);

    stale.setHandler(answerOk);
    fixture.directory.upstreams[0].started = 1000;
    fixture.directory.upstreams[0].revision = fixture.directory.revision + 1;
    fixture.directory.upstreams[2].draining = true;
    fixture.directory.upstreams[2].revision = fixture.directory.revision + 1;
    fixture.directory.publishUpstreams();
    CHECK(fixture.call(daemon, "/book/x", "x")->body == "ok");
    CHECK(stale.requests().size() == 2);
}

// Guards against repeats after 421 that draw on no budget: each one is an arrival beyond the first.
TEST_CASE("further attempts after 421 are bounded by the fleet's retry budget")
{
    constexpr std::size_t entries = 60;
    ForwardFixture fixture;
    std::vector<ScriptedServer*> servers;
    while (servers.size() < entries)
        servers.push_back(&fixture.addUpstream("desk-" + std::to_string(servers.size()), answerMisdirected));
    ForwardDaemon& daemon = fixture.startDaemon();
    fixture.waitReady(daemon);
    std::size_t calls = 0;
    std::size_t arrivals = 0;
    while (arrivals < entries && calls < entries) {
        CHECK(fixture.call(daemon, "/book/x", "x")->head.status == 503);
        ++calls;
        arrivals = 0;
        for (const ScriptedServer* server : servers)
            arrivals += server->requests().size();
    }
    const Settings defaults; // those of the fixture's instances
    constexpr double assumedInstances = 12; // while no peer is known
    double allowed = defaults.fleet.retryRatio * static_cast<double>(calls)
        + defaults.fleet.retrySlack / assumedInstances;
    CHECK(static_cast<double>(arrivals - calls) <= allowed);
}
