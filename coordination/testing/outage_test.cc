// Outages of model servers, alone and beside prompts that crash them: no sound segment may stay in
// quarantine, and one that crashes servers must.

#include "base/hash.h"
#include "base/number.h"
#include "base/random.h"
#include "coordination/testing/progressfleet.h"
#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr std::uint64_t bad = 0xbad;
constexpr std::uint64_t routes = 2;
constexpr std::uint64_t domains = 4;
constexpr std::size_t toleratedCrashes = 5;
constexpr std::size_t maxRequestsAfterContactTime = 3;
constexpr Milliseconds contactTime { 3000 };
constexpr Milliseconds stepDuration { 50 };
constexpr Milliseconds timeToFirstEvent { 100 };
constexpr Milliseconds soundAnswerAge { 300 };
constexpr Milliseconds streamDuration { 1500 };
constexpr Milliseconds warmUp { 8000 };

enum class OutageKind { All, Domain, Route, OneByOne };

struct Outage {
    OutageKind kind = OutageKind::All;
    Milliseconds at { 0 };
    Milliseconds duration { 0 };
    Milliseconds spacing { 0 }; // between two upstreams that end
};

struct OutageDay {
    int instances = 7;
    std::size_t engines = 12;
    double soundPerSecond = 100;
    std::uint64_t subjects = 60; // second segments of most prompts
    std::optional<Milliseconds> badFrom;
    double badPerSecond = 0;
    std::vector<Outage> outages;
    Milliseconds duration { 45000 };
    std::uint64_t seed = 1;
};

// One to five outages, in series or alone, in some days from the start on, in half of them beside prompts
// that crash upstreams.
OutageDay drawDay(int instances, std::uint64_t seed)
{
    Random random(combineHashes(seed, static_cast<std::uint64_t>(instances)));
    auto drawTime = [&](int from, int to) {
        return Milliseconds(from + static_cast<int>(random.below(static_cast<std::uint64_t>(to - from))));
    };
    OutageDay day;
    day.seed = seed;
    day.instances = instances;
    day.engines = instances <= 12 ? 12 : instances <= 100 ? 48 : 120;
    day.soundPerSecond = instances <= 12 ? 100 : instances <= 100 ? 250 : 500;
    if (seed % 2 == 0) {
        day.badFrom = warmUp + drawTime(0, 6000);
        day.badPerSecond = 0.5 + 8 * random.unit();
    }
    Milliseconds at = seed % 5 == 0 ? drawTime(100, 1000) : warmUp + drawTime(0, 8000);
    std::uint64_t count = 1 + random.below(5);
    for (std::uint64_t number = 0; number < count; ++number) {
        Outage outage;
        outage.kind = static_cast<OutageKind>(random.below(4));
        outage.at = at;
        outage.duration = drawTime(500, 6000);
        outage.spacing = outage.kind == OutageKind::OneByOne ? drawTime(50, 600) : drawTime(0, 10);
        at += random.below(2) == 0 ? drawTime(100, 1500) : outage.duration + drawTime(50, 3000);
        day.outages.push_back(outage);
    }
    return day;
}

// Each route has engines and a first segment of its own, which all of its prompts share. Requests arrive at
// random instances and are tried at two engines at most.
class OutageSimulation {
public:
    explicit OutageSimulation(const OutageDay& day)
        : fleet(day.instances, domains)
        , m_day(day)
        , m_random(day.seed)
        , m_engines(day.engines)
    {
        for (const auto& [id, node] : fleet.nodes)
            m_ids.push_back(id);
        for (int round = 0; round < 30; ++round)
            fleet.step();
        m_start = fleet.now;
        planOutages();
    }

    void run()
    {
        while (fleet.now < m_start + m_day.duration) {
            endEngines();
            arrive(m_day.soundPerSecond, false);
            if (m_day.badFrom && fleet.now >= m_start + *m_day.badFrom)
                arrive(m_day.badPerSecond, true);
            fleet.step(stepDuration);
            answerRequests();
        }
    }

    // Whether every instance refuses a request that crashes engines.
    bool refusesBad()
    {
        const std::uint64_t segments[] { firstOf(0), bad };
        return std::all_of(m_ids.begin(), m_ids.end(),
            [&](const std::string& id) { return fleet.nodes[id].quarantine->isQuarantined(segments); });
    }

    ProgressFleet fleet;
    std::size_t badCrashes = 0;
    std::size_t lateBadRequests = 0; // reached an engine later than contactTime after the fifth crash
    std::size_t sound = 0; // while engines of their route are up
    std::size_t soundRefused = 0;
    Milliseconds longestRefusal {
        0
    }; // of the prompts with a sound segment, while engines of the route are up

private:
    struct Engine {
        std::uint32_t lifetime = 0;
        MonotonicTime upSince;
        std::vector<std::pair<MonotonicTime, MonotonicTime>> ends; // and when it is back, in descending order
    };
    struct Request {
        std::string instance;
        std::vector<std::uint64_t> segments;
        std::uint64_t route = 0;
        std::size_t engine = 0;
        std::uint32_t lifetime = 0;
        MonotonicTime sent;
        int attempts = 0;
        bool isSound = false; // its answer has gone on for some time
    };

    static std::uint64_t firstOf(std::uint64_t route) { return 1 + route; }
    static bool isBad(const Request& request) { return request.segments.back() == bad; }

    void planOutages()
    {
        for (const Outage& outage : m_day.outages) {
            std::uint64_t chosen = m_random.below(domains);
            Milliseconds at = outage.at;
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                bool isHit = outage.kind == OutageKind::All || outage.kind == OutageKind::OneByOne
                    || (outage.kind == OutageKind::Domain && engine / routes % domains == chosen)
                    || (outage.kind == OutageKind::Route && engine % routes == chosen % routes);
                if (!isHit)
                    continue;
                m_engines[engine].ends.emplace_back(m_start + at, m_start + at + outage.duration);
                at += outage.spacing;
            }
        }
        for (Engine& engine : m_engines)
            std::sort(engine.ends.rbegin(), engine.ends.rend());
    }

    void endEngines()
    {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            auto& ends = m_engines[engine].ends;
            while (!ends.empty() && fleet.now >= ends.back().first) {
                end(engine, ends.back().first, ends.back().second);
                ends.pop_back();
            }
        }
    }

    bool isUp(std::size_t engine) const { return fleet.now >= m_engines[engine].upSince; }

    // When the route had an engine again, or nullopt if it has none.
    std::optional<MonotonicTime> routeUpSince(std::uint64_t route) const
    {
        std::optional<MonotonicTime> since;
        for (std::size_t engine = route; engine < m_engines.size(); engine += routes) {
            if (isUp(engine))
                since = std::min(since.value_or(m_engines[engine].upSince), m_engines[engine].upSince);
        }
        return since;
    }

    void arrive(double perSecond, bool isBadRequest)
    {
        double expected = perSecond * std::chrono::duration<double>(stepDuration).count();
        for (; expected > 0; expected -= 1) {
            if (m_random.unit() < expected)
                receive(isBadRequest);
        }
    }

    void receive(bool isBadRequest)
    {
        constexpr std::uint64_t rareSubjects = 20000;
        Request request;
        request.instance = m_ids[m_random.below(m_ids.size())];
        request.route = isBadRequest ? 0 : m_random.below(routes);
        std::uint64_t subject = m_random.below(10) == 0 ? 100000 + m_random.below(rareSubjects)
                                                        : 1000 + m_random.below(m_day.subjects);
        request.segments = { firstOf(request.route), isBadRequest ? bad : subject };
        bool refused
            = fleet.nodes[request.instance].quarantine->refuse(request.segments, fleet.now).has_value();
        if (!isBadRequest)
            recordSound(request, refused);
        if (!refused)
            place(request);
    }

    // A refusal lasts from the first refused request with a segment until one with it is answered.
    void recordSound(const Request& request, bool refused)
    {
        auto upSince = routeUpSince(request.route);
        if (!upSince)
            return;
        ++sound;
        if (!refused)
            return;
        ++soundRefused;
        MonotonicTime first = m_refusedSince.try_emplace(request.segments.back(), fleet.now).first->second;
        auto duration = toMilliseconds(fleet.now - std::max(first, *upSince));
        longestRefusal = std::max(longestRefusal, duration);
    }

    void place(Request request)
    {
        request.engine = routes * m_random.below(m_engines.size() / routes) + request.route;
        if (!isUp(request.engine)) {
            if (request.attempts == 0)
                fleet.nodes[request.instance].quarantine->withdrawTrial(request.segments, fleet.now);
            return;
        }
        lateBadRequests += isBad(request) && m_fifthCrash && fleet.now > *m_fifthCrash + contactTime ? 1 : 0;
        ++request.attempts;
        request.lifetime = m_engines[request.engine].lifetime;
        request.sent = fleet.now;
        m_requests.push_back(request);
    }

    void answerRequests()
    {
        std::vector<std::size_t> crashed;
        for (const Request& request : m_requests) {
            if (isBad(request) && fleet.now >= request.sent + timeToFirstEvent)
                crashed.push_back(request.engine);
        }
        std::sort(crashed.begin(), crashed.end());
        crashed.erase(std::unique(crashed.begin(), crashed.end()), crashed.end());
        for (std::size_t engine : crashed)
            crash(engine);
        for (Request& request : m_requests) {
            if (!request.isSound && fleet.now >= request.sent + timeToFirstEvent + soundAnswerAge)
                recordAnswer(request);
        }
        std::erase_if(
            m_requests, [&](const Request& request) { return fleet.now >= request.sent + streamDuration; });
    }

    void recordAnswer(Request& request)
    {
        request.isSound = true;
        m_refusedSince.erase(request.segments.back());
        fleet.nodes[request.instance].quarantine->recordAnswer(
            request.segments, request.sent + timeToFirstEvent, fleet.now);
    }

    void crash(std::size_t engine)
    {
        constexpr Milliseconds restartTime { 2000 };
        if (++badCrashes == toleratedCrashes)
            m_fifthCrash = fleet.now;
        end(engine, fleet.now, fleet.now + restartTime);
    }

    // Every instance accuses the segments of its unanswered requests at the engine, and sends these to
    // another one.
    void end(std::size_t engine, MonotonicTime at, MonotonicTime back)
    {
        constexpr int maxAttempts = 2;
        bool wasUp = isUp(engine);
        m_engines[engine].upSince = std::max(m_engines[engine].upSince, back);
        if (!wasUp)
            return;
        std::vector<Request> ended;
        for (const Request& request : m_requests) {
            if (request.engine == engine)
                ended.push_back(request);
        }
        std::erase_if(m_requests, [&](const Request& request) { return request.engine == engine; });
        std::map<std::string, std::vector<std::uint64_t>> accused; // by instance
        for (const Request& request : ended) {
            auto& segments = accused[request.instance];
            if (!request.isSound)
                segments.insert(segments.end(), request.segments.begin(), request.segments.end());
        }
        auto upstream = static_cast<std::uint32_t>(engine * 1000 + m_engines[engine].lifetime++);
        for (const auto& [instance, segments] : accused)
            fleet.nodes[instance].quarantine->recordCrash(segments, upstream, at, fleet.now);
        for (Request& request : ended) {
            bool refused = fleet.nodes[request.instance].quarantine->isQuarantined(request.segments);
            if (!request.isSound && !refused && request.attempts < maxAttempts)
                place(request);
        }
    }

    OutageDay m_day;
    Random m_random;
    std::vector<Engine> m_engines;
    std::vector<std::string> m_ids;
    std::vector<Request> m_requests;
    std::map<std::uint64_t, MonotonicTime> m_refusedSince; // by second segment
    std::optional<MonotonicTime> m_fifthCrash;
    MonotonicTime m_start;
};

std::uint64_t seedsByHand(std::uint64_t otherwise)
{
    const char* seeds = std::getenv("BRIARWHARF_SEEDS");
    return seeds ? parseNumber<std::uint64_t>(seeds).value_or(otherwise) : otherwise;
}

void checkDays(int instances, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        OutageDay day = drawDay(instances, seed);
        OutageSimulation simulation(day);
        simulation.run();
        CAPTURE(instances);
        CAPTURE(seed);
        CAPTURE(day.badPerSecond);
        CAPTURE(simulation.badCrashes);
        CAPTURE(simulation.sound);
        CHECK(simulation.longestRefusal <= contactTime);
        CHECK(simulation.soundRefused * 50 <= simulation.sound);
        CHECK(simulation.lateBadRequests <= maxRequestsAfterContactTime);
        if (simulation.badCrashes >= toleratedCrashes)
            CHECK(simulation.refusesBad());
    }
}

} // namespace

// Guards against refusing sound requests because the upstreams that were to answer them ended for another
// reason, and against missing the requests that crash upstreams among such ends. More seeds are played with
// BRIARWHARF_SEEDS.
TEST_CASE("outages in a small fleet keep no sound segment in quarantine, a crashing one stays in it")
{
    checkDays(7, seedsByHand(10));
}

TEST_CASE("outages in a fleet of 60 keep no sound segment in quarantine, a crashing one stays in it")
{
    checkDays(60, seedsByHand(2));
}

// By hand only, since one seed takes a sixth of the time limit of this test program.
TEST_CASE("outages in a fleet of 295 keep no sound segment in quarantine, a crashing one stays in it"
    * doctest::skip(std::getenv("BRIARWHARF_SEEDS") == nullptr))
{
    checkDays(295, seedsByHand(1));
}
