#include "process/readiness.h"
#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace briarwharf;

namespace {

Readiness complete()
{
    Readiness readiness;
    readiness.routing = readiness.upstreams = true;
    readiness.problems = { "no object main", "connection refused", "status 503" };
    return readiness;
}

} // namespace

// Guards against an instance that is not ready and does not say what it lacks: its log may be gone.
TEST_CASE("LOST: each missing condition has an answer and a gauge of its own")
{
    CHECK(readinessText(complete()) == "ready\n");
    std::set<std::string> texts;
    for (bool Readiness::*condition :
        { &Readiness::running, &Readiness::routing, &Readiness::upstreams, &Readiness::evacuations }) {
        Readiness readiness = complete();
        readiness.*condition = false;
        CHECK_FALSE(readiness.isReady());
        texts.insert(readinessText(readiness));
        ForwardMetrics metrics;
        reportReadiness(readiness, metrics);
        std::string gauges = metrics.serialize();
        CHECK(gauges.find("briarwharf_ready 0\n") != std::string::npos);
        std::string name = condition == &Readiness::running ? "running"
            : condition == &Readiness::routing              ? "routing"
            : condition == &Readiness::upstreams            ? "upstreams"
                                                            : "evacuations";
        CHECK(gauges.find("briarwharf_ready_" + name + " 0\n") != std::string::npos);
    }
    CHECK(texts.size() == 4);
    CHECK(texts.count("no configuration or upstreams yet\nmissing: upstreams: connection refused\n") == 1);
    CHECK(texts.count("no configuration or upstreams yet\nmissing: routing: no object main\n") == 1);
    CHECK(texts.count("evacuated failure domains not known yet\nmissing: evacuations: status 503\n") == 1);
}
