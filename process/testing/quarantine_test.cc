// Prompt segments that crash the upstream which begins to answer them.

#include "process/testing/forwardfixture.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr int upstreamCount = 14;
// Time in which instances that reach each other have to act on what one of them observed.
constexpr Milliseconds contactTime { 3000 };
constexpr std::size_t maxRequestsAfterContactTime = 3;
constexpr std::size_t toleratedCrashes = 5;

// A fleet of three instances before engines that crash when they begin to answer a request with the segment
// "bad".
class CrashFixture : public ForwardFixture {
public:
    CrashFixture()
    {
        directory.routing.pools[0].engine.emplace();
        for (int number = 1; number <= upstreamCount; ++number)
            m_engines.push_back(&addUpstream("engine-" + std::to_string(number), answerOrCrash));
        startInstances();
    }

    // By then, the registry has dropped the engines that crashed.
    void restartInstances()
    {
        stopDaemons();
        m_daemons.clear();
        for (const ScriptedServer* engine : m_engines) {
            if (engine->hasCrashed())
                std::erase_if(directory.upstreams,
                    [&](const UpstreamEntry& entry) { return entry.endpoint == engine->endpoint(); });
        }
        startInstances();
    }

    // Checks that after five crashes requests with the segment are refused and sound ones are not.
    void checkRefused()
    {
        pause(contactTime);
        std::size_t before = reached();
        for (int round = 0; round < 6; ++round) {
            auto refused = callBad(round % 2 == 0 ? "/ask/x" : "/chat/x");
            CHECK(refused->head.status == 503);
            CHECK(refused->head.fields.has("Retry-After"));
            CHECK(callSound("/ask/x")->complete);
        }
        CHECK(reached() - before <= maxRequestsAfterContactTime);
    }

    // Sends the requests, and sound ones between them, until five engines have crashed.
    void crashEngines()
    {
        for (int round = 0; crashes() < toleratedCrashes && round < 10; ++round) {
            callBad(round % 2 == 0 ? "/ask/x" : "/chat/x");
            CHECK(callSound("/ask/x")->complete);
        }
    }

    std::size_t crashes() const
    {
        return countOf([](const auto& engine) { return engine.hasCrashed(); });
    }

    // Requests with the segment that reached an engine.
    std::size_t reached() const
    {
        return countOf([](const auto& engine) {
            const auto& requests = engine.requests();
            return std::any_of(requests.begin(), requests.end(), isBad);
        });
    }

    // Each goes to another instance, has a last segment of its own, and shares key and first segment with
    // all.
    std::shared_ptr<CallerAnswer> callBad(const std::string& target)
    {
        return callWith(target, idPrefix + "bad:300");
    }
    std::shared_ptr<CallerAnswer> callSound(const std::string& target)
    {
        return callWith(target, idPrefix + std::to_string(++m_sessions) + "c:300");
    }

    std::string idPrefix; // of the identifiers of segments
    std::string commonSegments = "f1:500"; // at the start of all prompts

    void pause(Milliseconds duration)
    {
        bool over = false;
        Timer timer(base(), [&over] { over = true; });
        timer.start(duration);
        runUntil([&over] { return over; });
    }

private:
    void startInstances()
    {
        for (int number = 0; number < 3; ++number)
            m_daemons.push_back(&startDaemon(true));
        for (ForwardDaemon* daemon : m_daemons)
            runUntil([&] { return daemon->isReady() && daemon->mesh().linkCount() == m_daemons.size() - 1; });
    }

    static bool isBad(const ScriptedRequest& request)
    {
        return request.head.fields.find("X-Briarwharf-Prompt-Parts").find("bad:") != std::string_view::npos;
    }

    static Script answerOrCrash(const ScriptedRequest& request)
    {
        if (isBad(request))
            return { ScriptStep::send(streamHead(request)), ScriptStep::wait(Milliseconds(10)),
                ScriptStep::crash() };
        return { ScriptStep::send(streamHead(request) + streamEvents(1, 3) + streamEnd()) };
    }

    template <typename Predicate> std::size_t countOf(Predicate predicate) const
    {
        return static_cast<std::size_t>(std::count_if(m_engines.begin(), m_engines.end(),
            [&](const ScriptedServer* engine) { return predicate(*engine); }));
    }

    std::shared_ptr<CallerAnswer> callWith(const std::string& target, const std::string& segment)
    {
        ForwardDaemon& daemon = *m_daemons[++m_calls % m_daemons.size()];
        return call(daemon, target, "prompt",
            "X-Briarwharf-Tokens: 900,20\r\nX-Briarwharf-Prompt-Parts: " + commonSegments + "," + segment
                + "," + idPrefix + std::to_string(m_calls) + "e:100\r\n");
    }

    std::vector<ScriptedServer*> m_engines;
    std::vector<ForwardDaemon*> m_daemons;
    std::size_t m_calls = 0;
    std::size_t m_sessions = 0;
};

} // namespace

// Guards against requests of one kind that end one upstream after the other, with all that runs there
// (incident inc1).
TEST_CASE_FIXTURE(CrashFixture,
    "requests with a segment that crashed five upstreams are refused by every instance, sound ones are "
    "served")
{
    crashEngines();
    checkRefused();
}

// Guards against segments that no instance recognises because their identifiers do not fit 64 bits.
TEST_CASE_FIXTURE(CrashFixture, "a segment with an identifier of 128 bits that crashes upstreams is refused")
{
    idPrefix = "a7c3509e1f64d2b85c1e07a2000000";
    commonSegments = idPrefix + "f1:500";
    crashEngines();
    checkRefused();
}

// Guards against segments that are not reported because many others stand before them in the prompt.
TEST_CASE_FIXTURE(CrashFixture, "a segment behind a hundred others that crashes upstreams is refused")
{
    for (int number = 0; number < 100; ++number)
        commonSegments += "," + std::to_string(1000 + number) + "f:20";
    crashEngines();
    checkRefused();
}

// Guards against such requests being sent again because nobody remembers them: not even all instances
// together, when all were restarted at the same time.
TEST_CASE_FIXTURE(
    CrashFixture, "a segment that crashed upstreams is still refused after all instances restarted")
{
    crashEngines();
    pause(contactTime);
    restartInstances();
    std::size_t before = reached();
    for (int round = 0; round < 6; ++round) {
        CHECK(callBad("/ask/x")->head.status == 503);
        CHECK(callSound("/ask/x")->complete);
    }
    CHECK(reached() - before <= maxRequestsAfterContactTime);
}

// Guards against a quarantine that nobody remembers once all instances restart, because the store was
// restored from a copy from before it, and against one that ended and comes back with the copy.
TEST_CASE_FIXTURE(CrashFixture, "the quarantines in force are saved again when the source was restored")
{
    crashEngines();
    runUntil([&] { return directory.quarantines.size() == 1; });
    auto segments = directory.quarantines[0].segments;
    directory.quarantines = { { { 0x1, 0x2 }, { 7, 8, 9 }, std::chrono::system_clock::now() } };
    directory.publishRestored();
    runUntil(
        [&] { return directory.quarantines.size() == 1 && directory.quarantines[0].segments == segments; });
}

// Guards against sound requests that stay refused after an outage, because the trial that would have cleared
// their segments found no upstream.
TEST_CASE("LOST: a trial that reaches no upstream does not delay the next one")
{
    ForwardFixture fixture;
    fixture.directory.routing.pools[0].engine.emplace();
    auto answer = [](const ScriptedRequest& request) {
        return Script { ScriptStep::send(streamHead(request) + streamEvents(1, 3) + streamEnd()) };
    };
    Endpoint refusing;
    {
        ScriptedServer ended(fixture.base(), answer);
        refusing = ended.endpoint();
    }
    constexpr std::uint64_t segment = 0xf1;
    constexpr std::chrono::minutes afterTerm { 10 };
    fixture.directory.quarantines
        = { { { segment }, { 7, 8, 9 }, std::chrono::system_clock::now() - afterTerm } };
    fixture.addEntry("engine-1", refusing);
    fixture.addEntry("engine-2", refusing);
    ForwardDaemon& daemon = fixture.startDaemon();
    const std::string lines = "X-Briarwharf-Tokens: 900,20\r\nX-Briarwharf-Prompt-Parts: f1:500,2:300\r\n";
    fixture.runUntil(
        [&] { return fixture.admin(daemon, "/show/quarantine")->body.find("\"f1\"") != std::string::npos; });
    for (int round = 0; round < 2; ++round) {
        auto refused = fixture.call(daemon, "/ask/x", "prompt", lines);
        CHECK(refused->head.status == 503);
        CHECK(refused->body.find("quarantined") == std::string::npos);
    }
    fixture.addUpstream("engine-3", answer);
    fixture.directory.publishUpstreams();
    fixture.runUntil(
        [&] { return fixture.admin(daemon, "/show/upstreams")->body.find("engine-3") != std::string::npos; });
    CHECK(fixture.call(daemon, "/ask/x", "prompt", lines)->head.status == 200);
}
