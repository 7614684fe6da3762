// Second attempts that are sent while the first one waits for its first byte.

#include "base/base.h"
#include "process/testing/forwardfixture.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

// Time of the answers from which the daemon learns when to hedge. A head that comes at once is in time by
// far.
constexpr Milliseconds usualTime { 100 };
constexpr Milliseconds stall { 1500 };
const std::string deadlineLine = "X-Briarwharf-Deadline-Ms: 2000\r\n";

// Two upstreams that answer after the usual time, until one of them stalls: the next request that arrives, at
// either of them, gets the script `first`, and the others `further`.
class HedgeFixture : public ForwardFixture {
public:
    using Answer = std::function<Script(const ScriptedRequest&)>;

    explicit HedgeFixture(double ratio = 1)
    {
        hedgeRatio = ratio;
        for (const char* id : { "desk-1", "desk-2" })
            m_upstreams.push_back(
                &addUpstream(id, [this](const ScriptedRequest& request) { return answer(request); }));
    }

    // Starts a daemon that has observed the times of the route.
    ForwardDaemon& startExperienced(const std::string& target)
    {
        ForwardDaemon& daemon = startDaemon();
        waitReady(daemon);
        constexpr std::size_t requests = 30; // 20 are enough for the quantile
        std::vector<std::shared_ptr<CallerAnswer>> answers;
        while (answers.size() < requests)
            answers.push_back(send(daemon, target));
        for (const auto& answer : answers)
            runUntil([&] { return answer->done(); });
        m_arrivedBefore = arrived();
        REQUIRE(m_arrivedBefore == requests);
        return daemon;
    }

    void stallWith(Answer first, Answer further)
    {
        m_first = std::move(first);
        m_further = std::move(further);
    }

    // Requests that have arrived since the daemon learnt the times.
    std::size_t arrivals() const { return arrived() - m_arrivedBefore; }

    bool allClosed() const
    {
        return m_upstreams[0]->openConnections() == 0 && m_upstreams[1]->openConnections() == 0;
    }

    std::string metrics(ForwardDaemon& daemon) { return admin(daemon, "/metrics")->body; }

    // Requests that the daemon counts as in progress at upstreams.
    int inProgress(ForwardDaemon& daemon)
    {
        int sum = 0;
        auto shown = parseJson(admin(daemon, "/show/upstreams")->body, "upstreams");
        REQUIRE(shown);
        for (const Json& upstream : shown.value()["rows"])
            sum += upstream["requests"].get<int>();
        return sum;
    }

    std::size_t coldUpstreams(ForwardDaemon& daemon)
    {
        auto shown = parseJson(admin(daemon, "/show/upstreams")->body, "upstreams");
        REQUIRE(shown);
        std::size_t count = 0;
        for (const Json& upstream : shown.value()["rows"])
            count += upstream["cold_left_ms"].get<std::int64_t>() > 0 ? 1 : 0;
        return count;
    }

    // Memory that the daemon counts as held.
    double heldBytes(ForwardDaemon& daemon)
    {
        const std::string name = "\nbriarwharf_memory_held_bytes ";
        std::string shown = metrics(daemon);
        std::size_t at = shown.find(name);
        REQUIRE(at != std::string::npos);
        return std::stod(shown.substr(at + name.size()));
    }

private:
    std::size_t arrived() const
    {
        return m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size();
    }

    Script answer(const ScriptedRequest& request)
    {
        if (m_first)
            return std::exchange(m_first, nullptr)(request);
        if (m_further)
            return m_further(request);
        return { ScriptStep::wait(usualTime),
            ScriptStep::send(request.head.target == "/chat/x"
                    ? streamHead(request) + streamEvents(1, 2) + streamEnd()
                    : upstreamAnswer(request, 200, "ok")) };
    }

    std::vector<ScriptedServer*> m_upstreams;
    std::size_t m_arrivedBefore = 0;
    Answer m_first;
    Answer m_further;
};

Script silent(const ScriptedRequest&) { return { ScriptStep::silence() }; }

Script late(const ScriptedRequest& request)
{
    return { ScriptStep::wait(stall), ScriptStep::send(upstreamAnswer(request, 200, "late")) };
}

Script fast(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 200, "fast")) };
}

Script refusing(const ScriptedRequest& request)
{
    return { ScriptStep::send(upstreamAnswer(request, 503, "", "X-Briarwharf-Not-Run: 1\r\n")) };
}

Script reset(const ScriptedRequest&) { return { ScriptStep::reset() }; }

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a loser that goes on at its upstream, and against attempts that are not counted.
TEST_CASE("hedging: the faster of two attempts is answered, the other is closed, both are counted")
{
    HedgeFixture fixture;
    ForwardDaemon& daemon = fixture.startExperienced("/read/x");
    fixture.stallWith(silent, fast);
    CHECK(fixture.call(daemon, "/read/x")->body == "fast");
    CHECK(fixture.arrivals() == 2);
    CHECK(fixture.inProgress(daemon) == 0);
    fixture.runUntil([&] { return fixture.allClosed(); });
    std::string metrics = fixture.metrics(daemon);
    CHECK(contains(metrics, "briarwharf_repeats_total 1\n"));
    CHECK(contains(metrics, "briarwharf_hedges_total 1\n"));
    CHECK(contains(metrics, "briarwharf_hedges_won_total 1\n"));
}

// Guards against hedges where the operators have not asked for them, for calls that must not run twice, and
// beyond the attempts of the route.
TEST_CASE("hedging: calls that may run once, routes with one attempt and a ratio of 0 get no second attempt")
{
    struct Row {
        const char* target;
        double ratio;
        int maxAttempts;
    };
    for (const Row& row : { Row { "/book/x", 1, 2 }, Row { "/read/x", 1, 1 }, Row { "/read/x", 0, 2 } }) {
        CAPTURE(row.target);
        CAPTURE(row.ratio);
        HedgeFixture fixture(row.ratio);
        for (Route& route : fixture.directory.routing.routes)
            route.maxAttempts = row.maxAttempts;
        ForwardDaemon& daemon = fixture.startExperienced(row.target);
        fixture.stallWith(late, fast);
        CHECK(fixture.call(daemon, row.target)->body == "late");
        CHECK(fixture.arrivals() == 1);
        CHECK(contains(fixture.metrics(daemon), "hedges_total") == (row.ratio > 0));
    }
}

// Guards against a request that ends with the first of two attempts that fails, or gets a third one.
TEST_CASE("hedging: a refusal or a failure ends only its own attempt")
{
    for (auto failure : { refusing, reset }) {
        HedgeFixture fixture;
        ForwardDaemon& daemon = fixture.startExperienced("/read/x");
        fixture.stallWith(late, failure);
        CHECK(fixture.call(daemon, "/read/x")->body == "late");
        CHECK(fixture.arrivals() == 2);
        CHECK(fixture.inProgress(daemon) == 0);
        CHECK(contains(fixture.metrics(daemon), "briarwharf_hedges_won_total 0\n"));
    }
    HedgeFixture fixture;
    ForwardDaemon& daemon = fixture.startExperienced("/read/x");
    auto lateReset = [](const ScriptedRequest&) {
        return Script { ScriptStep::wait(Milliseconds(300)), ScriptStep::reset() };
    };
    fixture.stallWith(lateReset, late);
    CHECK(fixture.call(daemon, "/read/x")->body == "late");
    CHECK(fixture.arrivals() == 2);
}

// Guards against streams that mix the events of two upstreams, and against hedges of a stream that has begun.
TEST_CASE("hedging: a resumable stream gets a second attempt only before its first byte")
{
    auto answer = [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 4) + streamEnd()) };
    };
    HedgeFixture fixture;
    ForwardDaemon& daemon = fixture.startExperienced("/chat/x");
    auto pausing = [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 1)), ScriptStep::wait(stall),
            ScriptStep::send(streamEvents(2, 2) + streamEnd()) };
    };
    fixture.stallWith(pausing, answer);
    CHECK(fixture.call(daemon, "/chat/x")->complete);
    CHECK(fixture.arrivals() == 1);

    fixture.stallWith(silent, answer);
    auto stream = fixture.call(daemon, "/chat/x");
    CHECK(stream->complete);
    CHECK(stream->body
        == "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\nid: 3\ndata: part 3\n\n"
           "id: 4\ndata: part 4\n\n");
    CHECK(fixture.arrivals() == 3);
}

// Guards against attempts that outlive their request, and against an answer that says "not run" after two.
TEST_CASE("hedging: both attempts end with the caller, the deadline and the instance")
{
    for (const char* end : { "caller", "deadline", "shutdown" }) {
        CAPTURE(std::string(end));
        HedgeFixture fixture;
        fixture.shutdownGrace = Milliseconds(700);
        ForwardDaemon& daemon = fixture.startExperienced("/read/x");
        fixture.stallWith(silent, silent);
        bool hasDeadline = std::string(end) == "deadline";
        auto answer = fixture.send(daemon, "/read/x", {}, hasDeadline ? deadlineLine : "");
        fixture.runUntil([&] { return fixture.arrivals() == 2; });
        CHECK(fixture.inProgress(daemon) == 2);
        if (std::string(end) == "caller")
            answer->exchange.reset();
        else if (std::string(end) == "shutdown")
            daemon.shutDown();
        if (answer->exchange) {
            fixture.runUntil([&] { return answer->done(); });
            CHECK(answer->head.status == 504);
        }
        fixture.runUntil([&] { return fixture.allClosed(); });
        CHECK(daemon.forwarder().requestsInProgress() == 0);
    }
}

// Guards against hedges that slow down the start of an upstream, or bring new requests to a domain that is
// being emptied.
TEST_CASE("hedging: no second attempt goes to a cold upstream or to one of an evacuated domain")
{
    constexpr double coldPerSecond = 1000;
    for (bool cold : { true, false }) {
        CAPTURE(cold);
        HedgeFixture fixture;
        fixture.directory.routing.pools = { { "desk", 0, {}, coldPerSecond } };
        fixture.directory.upstreams[1].failureDomain = "z1";
        ForwardDaemon& daemon = fixture.startExperienced("/read/x");
        if (cold) {
            for (UpstreamEntry& entry : fixture.directory.upstreams) {
                entry.coldRemaining = Milliseconds(60000);
                entry.revision = ++fixture.directory.revision;
            }
            fixture.directory.publishUpstreams();
            REQUIRE(fixture.coldUpstreams(daemon) == 2);
        } else {
            fixture.directory.publishEvacuations({ "z1" });
        }
        fixture.stallWith(late, fast);
        auto answer = fixture.call(daemon, "/read/x");
        for (int calls = 0; answer->head.status == 503; ++calls) { // until the allowance has grown
            REQUIRE(calls < 100);
            fixture.runUntil([next = clockNow() + Milliseconds(50)] { return clockNow() >= next; });
            answer = fixture.call(daemon, "/read/x");
        }
        CHECK(answer->body == "late");
        CHECK(fixture.arrivals() == 1);
        CHECK(daemon.forwarder().counters().hedges == 0);
    }
}

// Guards against a budget of the process that misses the buffers of one of two attempts.
TEST_CASE("hedging: the buffers of both attempts count as held memory")
{
    constexpr std::size_t sent = 100000;
    auto partly = [](const ScriptedRequest& request) {
        std::string answer = upstreamAnswer(request, 200, std::string(2 * sent, 'x'));
        answer.resize(answer.size() - sent);
        return Script { ScriptStep::wait(Milliseconds(600)), ScriptStep::send(answer),
            ScriptStep::silence() };
    };
    HedgeFixture fixture;
    ForwardDaemon& daemon = fixture.startExperienced("/read/x");
    fixture.stallWith(partly, partly);
    auto answer = fixture.send(daemon, "/read/x");
    fixture.runUntil([&] { return daemon.forwarder().bufferedBytes() == 2 * sent; });
    double held = fixture.heldBytes(daemon);
    answer->exchange.reset();
    fixture.runUntil([&] { return daemon.forwarder().requestsInProgress() == 0; });
    fixture.runUntil([&] { return daemon.forwarder().bufferedBytes() == 0; });
    // Idle connections may have been closed since the start, so only the decrease at the end is exact enough.
    CHECK(held - fixture.heldBytes(daemon) >= 2 * sent);
}
