// The quarantine of prompt segments in fleets of several sizes, with engines that crash when they begin to
// answer one of them.

#include "base/random.h"
#include "coordination/testing/progressfleet.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr std::uint64_t bad = 0xbad;
constexpr std::size_t toleratedCrashes = 5;
constexpr std::size_t maxRequestsAfterContactTime = 3;

struct CrashDay {
    int instances = 7;
    std::size_t engines = 12;
    double badPerSecond = 5;
    double soundPerSecond = 100;
    Milliseconds contactTime { 3000 };
    std::uint64_t seed = 1;
    std::size_t firstSegments = 20; // that requests share
    bool isBadFirst = false; // bad requests have the segment as their first one
    std::size_t badAtOnce = 0; // bad requests at the start
    Milliseconds timeToFirstEvent { 100 };
    Milliseconds restartTime { 3000 };
};

// Requests arrive at random instances and engines. Each has a first segment that many share, a second one,
// and, not modelled, one of its own. Bad requests have `bad` as their second segment.
class CrashSimulation {
public:
    explicit CrashSimulation(const CrashDay& day)
        : fleet(day.instances, 4)
        , m_day(day)
        , m_random(day.seed)
        , m_engines(day.engines)
    {
        for (const auto& [id, node] : fleet.nodes)
            m_ids.push_back(id);
        for (int round = 0; round < 30; ++round)
            fleet.step();
    }

    void startAtOnce()
    {
        for (std::size_t number = 0; number < m_day.badAtOnce; ++number)
            place(true);
    }

    void run(Milliseconds duration)
    {
        MonotonicTime end = fleet.now + duration;
        while (fleet.now < end) {
            arrive(m_day.badPerSecond, true);
            arrive(m_day.soundPerSecond, false);
            fleet.step(stepDuration);
            answerRequests();
        }
    }

    bool refusedBy(const std::string& id)
    {
        const std::uint64_t segments[] { 1, bad };
        return fleet.nodes[id].quarantine->refuse(segments, fleet.now).has_value();
    }

    ProgressFleet fleet;
    std::size_t crashes = 0;
    std::size_t lateBadRequests = 0; // reached an engine later than contactTime after the fifth crash
    std::size_t sound = 0;
    std::size_t soundRefused = 0;

private:
    static constexpr Milliseconds stepDuration { 50 };
    static constexpr Milliseconds soundAnswerAge { 300 };

    struct Engine {
        std::uint32_t lifetime = 0;
        MonotonicTime upSince;
    };
    struct Request {
        std::string instance;
        std::vector<std::uint64_t> segments;
        std::size_t engine = 0;
        std::uint32_t lifetime = 0;
        MonotonicTime sent;
    };

    void arrive(double perSecond, bool isBad)
    {
        double expected = perSecond * std::chrono::duration<double>(stepDuration).count();
        for (; expected > 0; expected -= 1) {
            if (m_random.unit() < expected)
                place(isBad);
        }
    }

    void place(bool isBad)
    {
        Request request;
        request.instance = m_ids[m_random.below(m_ids.size())];
        request.segments = { 1 + m_random.below(m_day.firstSegments), 1000 + m_random.below(167) };
        if (isBad)
            request.segments[m_day.isBadFirst ? 0 : 1] = bad;
        bool refused
            = fleet.nodes[request.instance].quarantine->refuse(request.segments, fleet.now).has_value();
        sound += isBad ? 0 : 1;
        soundRefused += !isBad && refused ? 1 : 0;
        request.engine = m_random.below(m_engines.size());
        const Engine& engine = m_engines[request.engine];
        if (refused || fleet.now < engine.upSince)
            return;
        lateBadRequests += isBad && m_fifthCrash && fleet.now > *m_fifthCrash + m_day.contactTime ? 1 : 0;
        request.lifetime = engine.lifetime;
        request.sent = fleet.now;
        m_requests.push_back(request);
    }

    bool isBadRequest(const Request& request) const
    {
        return request.segments[m_day.isBadFirst ? 0 : 1] == bad;
    }

    void answerRequests()
    {
        for (const Request& request : m_requests) {
            bool begins = fleet.now >= request.sent + m_day.timeToFirstEvent;
            if (isBadRequest(request) && begins && m_engines[request.engine].lifetime == request.lifetime)
                crash(request.engine);
        }
        std::erase_if(m_requests, [&](const Request& request) {
            if (m_engines[request.engine].lifetime != request.lifetime)
                return true;
            if (fleet.now < request.sent + m_day.timeToFirstEvent + soundAnswerAge)
                return false;
            fleet.nodes[request.instance].quarantine->recordAnswer(
                request.segments, request.sent + m_day.timeToFirstEvent, fleet.now);
            return true;
        });
    }

    // Every instance accuses the segments of its requests that wait at the engine.
    void crash(std::size_t engine)
    {
        for (const Request& request : m_requests) {
            if (request.engine == engine && request.lifetime == m_engines[engine].lifetime)
                fleet.nodes[request.instance].quarantine->recordCrash(
                    request.segments, lifetimeHash(engine), fleet.now, fleet.now);
        }
        ++m_engines[engine].lifetime;
        m_engines[engine].upSince = fleet.now + m_day.restartTime;
        if (++crashes == toleratedCrashes)
            m_fifthCrash = fleet.now;
    }

    std::uint32_t lifetimeHash(std::size_t engine) const
    {
        return static_cast<std::uint32_t>(engine) * 1000 + m_engines[engine].lifetime;
    }

    CrashDay m_day;
    Random m_random;
    std::vector<Engine> m_engines;
    std::vector<std::string> m_ids;
    std::vector<Request> m_requests;
    std::optional<MonotonicTime> m_fifthCrash;
};

} // namespace

// Guards against requests that end one engine after the other, at any rate and in fleets of any size, and
// against refusing sound requests for it.
TEST_CASE("a segment that crashes engines is refused by the whole fleet in time, sound requests are served")
{
    std::vector<CrashDay> days {
        { 7, 12, 5, 100 },
        { 7, 12, 0.7, 100 },
        { 7, 12, 60, 100 },
        { 2, 3, 5, 30 },
        { 90, 90, 20, 500, Milliseconds(4000) },
        { 295, 160, 10, 1000, Milliseconds(5000) },
    };
    for (CrashDay day : days) {
        std::uint64_t seeds = day.instances > 50 ? 1 : 5;
        for (day.seed = 1; day.seed <= seeds; ++day.seed) {
            CAPTURE(day.instances);
            CAPTURE(day.badPerSecond);
            CAPTURE(day.seed);
            CrashSimulation simulation(day);
            simulation.run(Milliseconds(15000));
            CHECK(simulation.lateBadRequests <= maxRequestsAfterContactTime);
            CHECK(simulation.soundRefused * 50 <= simulation.sound);
            CHECK(simulation.crashes >= 3);
        }
    }
}

// Guards against requests that end all engines again when these are back: after an outage of all of them, the
// segments that most prompts share are as suspect as the one that crashes the engines, and no prompt has them
// all.
TEST_CASE("BUDGET: a segment that crashes all engines at once is refused when they are back")
{
    constexpr int sizes[] { 2, 9, 87, 295 };
    constexpr double badPerSecond[] { 0.7, 6, 60 };
    const Milliseconds restartTimes[] { Milliseconds(1000), Milliseconds(3500), Milliseconds(6000) };
    for (int instances : sizes) {
        for (double rate : badPerSecond) {
            for (Milliseconds restartTime : restartTimes) {
                CAPTURE(instances);
                CAPTURE(rate);
                CAPTURE(restartTime.count());
                CrashDay day { .instances = instances, .badPerSecond = rate };
                day.soundPerSecond = 13.0 * instances;
                day.firstSegments = 3;
                day.isBadFirst = true;
                day.badAtOnce = 60;
                day.timeToFirstEvent = Milliseconds(1000);
                day.restartTime = restartTime;
                CrashSimulation simulation(day);
                simulation.startAtOnce();
                simulation.run(Milliseconds(12000));
                simulation.sound = simulation.soundRefused = 0;
                simulation.run(Milliseconds(8000));
                CHECK(simulation.lateBadRequests <= maxRequestsAfterContactTime);
                CHECK(simulation.soundRefused * 100 <= simulation.sound);
            }
        }
    }
}

// Guards against an instance that sends such requests again after it was restarted or has joined the fleet.
TEST_CASE("an instance that joins learns from its peers what is in quarantine")
{
    CrashSimulation simulation({ 9, 12, 5, 100 });
    simulation.run(Milliseconds(10000));
    const ListedInstance joining = simulation.fleet.all[4];
    REQUIRE(simulation.refusedBy(joining.id));
    simulation.fleet.restart(joining, 2);
    CHECK_FALSE(simulation.refusedBy(joining.id));
    for (int round = 0; round < 8; ++round)
        simulation.fleet.step();
    CHECK(simulation.refusedBy(joining.id));
}

// Guards against a segment that was blamed by mistake and is refused for good, and against trials by all
// instances at once.
TEST_CASE("after its term one instance of the fleet tries the segment, and an answer ends the quarantine")
{
    CrashSimulation simulation({ 9, 12, 5, 100 });
    simulation.run(Milliseconds(10000));
    ProgressFleet& fleet = simulation.fleet;
    MonotonicTime termEnd = fleet.nodes.begin()->second.quarantine->groups().at(0).termEnd;
    fleet.now = termEnd + Milliseconds(1000);
    for (int round = 0; round < 40; ++round) // the instances notice the pause and link again
        fleet.step();
    std::vector<std::string> trying;
    for (const auto& [id, node] : fleet.nodes) {
        if (!simulation.refusedBy(id))
            trying.push_back(id);
    }
    REQUIRE(trying.size() == 1);
    CHECK(simulation.refusedBy(trying[0])); // one request only
    const std::uint64_t segments[] { bad };
    MonotonicTime triedAt = fleet.now;
    fleet.now += Milliseconds(100);
    fleet.nodes[trying[0]].quarantine->withdrawTrial(segments, fleet.now); // of another request
    CHECK(simulation.refusedBy(trying[0]));
    fleet.nodes[trying[0]].quarantine->withdrawTrial(segments, triedAt); // it found no upstream
    CHECK_FALSE(simulation.refusedBy(trying[0]));
    CHECK(simulation.refusedBy(trying[0]));
    fleet.nodes[trying[0]].quarantine->recordAnswer(segments, fleet.now, fleet.now);
    for (int round = 0; round < 8; ++round)
        fleet.step();
    for (const auto& [id, node] : fleet.nodes)
        CHECK_FALSE(simulation.refusedBy(id));
}

// Guards against a segment that is never suspected because others stand before it in the prompts.
TEST_CASE("all segments of a crash are accused, in fleets of several instances")
{
    ProgressFleet fleet(3);
    for (int round = 0; round < 8; ++round)
        fleet.step();
    std::vector<std::uint64_t> segments;
    for (std::uint32_t upstream = 1; upstream <= 3; ++upstream) {
        segments.clear();
        for (std::uint64_t number = 0; number < 300; ++number)
            segments.push_back(1000 * upstream + number);
        segments.push_back(bad);
        fleet.nodes.begin()->second.quarantine->recordCrash(segments, upstream, fleet.now, fleet.now);
        for (int round = 0; round < 4; ++round)
            fleet.step();
    }
    for (const auto& [id, node] : fleet.nodes)
        CHECK(node.quarantine->refuse(segments, fleet.now).has_value());
}

// Guards against an outage that accuses a segment at instances that have not seen it answered.
TEST_CASE("what one instance has seen answered before counts at all of them")
{
    ProgressFleet fleet(7);
    for (int round = 0; round < 8; ++round)
        fleet.step();
    constexpr std::uint64_t popular = 7;
    const std::uint64_t segments[] { popular };
    auto& first = *fleet.nodes.begin()->second.quarantine;
    auto& last = *fleet.nodes.rbegin()->second.quarantine;
    first.recordAnswer(segments, fleet.now, fleet.now);
    fleet.step();
    for (std::uint32_t upstream = 1; upstream <= 6; ++upstream)
        last.recordCrash(segments, upstream, fleet.now, fleet.now);
    for (int round = 0; round < 20; ++round) {
        fleet.step();
        for (const auto& [id, node] : fleet.nodes)
            CHECK_FALSE(node.quarantine->isQuarantined(segments));
    }
}

// Guards against a quarantine by an earlier version that stays in force for hours after a restart of all.
TEST_CASE("a restored quarantine counts as three crashes at most, and is tried again within a minute")
{
    ProgressFleet fleet(3);
    SegmentQuarantine& quarantine = *fleet.nodes.begin()->second.quarantine;
    quarantine.restore({ bad }, { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 }, fleet.now, fleet.now);
    const std::uint64_t segments[] { bad };
    auto retryAfter = quarantine.refuse(segments, fleet.now);
    REQUIRE(retryAfter);
    CHECK(*retryAfter <= std::chrono::minutes(1));
}

// Guards against an instance that takes separate crashes for one incident, and admits requests that crash
// upstreams, because the news of the answers between them came before those of the crashes.
TEST_CASE("BUDGET: the order of the news of crashes and answers does not change a suspicion")
{
    constexpr std::uint32_t crashAgesMs[] { 68, 54, 44, 32, 12, 0 };
    constexpr std::uint32_t answerAgesMs[] { 29, 27 };
    const std::string peer = "peer";
    HeartbeatT crashes;
    for (std::uint32_t age : crashAgesMs)
        crashes.segmentCrashes.emplace_back(bad, age + 1, age);
    HeartbeatT answers;
    for (std::uint32_t age : answerAgesMs)
        answers.segmentAnswers.emplace_back(1, age);
    HeartbeatT firstCrash;
    firstCrash.segmentCrashes.emplace_back(1, crashAgesMs[0] + 1, crashAgesMs[0]);
    for (const std::vector<HeartbeatT*>& order : std::vector<std::vector<HeartbeatT*>> {
             { &firstCrash, &crashes, &answers }, { &answers, &crashes, &firstCrash },
             { &crashes, &answers, &firstCrash }, { &answers, &firstCrash, &crashes } }) {
        ProgressFleet fleet(1);
        SegmentQuarantine& quarantine = *fleet.nodes.begin()->second.quarantine;
        for (const HeartbeatT* heartbeat : order) {
            quarantine.accept({ peer }, *heartbeat, fleet.now);
            quarantine.tick(fleet.now);
        }
        REQUIRE(quarantine.groups().size() == 1);
        CHECK(quarantine.groups()[0].isStrong);
    }
}
