// The limits that upstreams state, in fleets of several sizes.

#include "base/random.h"
#include "coordination/testing/progressfleet.h"
#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr Milliseconds window { 4000 };

// The number of requests that may reach an upstream with this limit within `window`.
std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * std::chrono::duration<double>(window).count() + 5);
}

struct LimitedDay {
    int instances = 7;
    std::uint32_t upstreams = 12;
    std::uint32_t limited = 8;
    double limit = 3.5; // requests per second, of each limited upstream
    double requestsPerSecond = 90;
    Milliseconds contactTime { 3000 };
    double preferLimited = 1;
    std::uint64_t seed = 1;
};

// Requests arrive at random instances, and each goes to a random upstream that takes it. Upstreams answer
// within the step, and state their limits while `limitsInForce`. `preferLimited` is how often a request tries
// an upstream with a limit, compared with one without.
class LimitSimulation {
public:
    explicit LimitSimulation(const LimitedDay& day)
        : fleet(day.instances, 4)
        , m_day(day)
        , m_random(day.seed)
        , m_arrivals(day.upstreams)
        , m_firstStated(day.upstreams)
    {
        for (const auto& [id, node] : fleet.nodes)
            m_ids.push_back(id);
        for (int round = 0; round < 30; ++round)
            fleet.step();
    }

    void run(Milliseconds duration)
    {
        MonotonicTime end = fleet.now + duration;
        double expected = m_day.requestsPerSecond * std::chrono::duration<double>(stepDuration).count();
        while (fleet.now < end) {
            double due = expected + std::exchange(m_remainder, 0) + (m_random.unit() - 0.5) * expected;
            for (; due >= 1; due -= 1)
                place();
            m_remainder = due;
            fleet.step(stepDuration);
        }
    }

    // The largest number of requests in some window, over the limited upstreams, from contactTime after each
    // first stated its limit.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (std::uint32_t upstream = 0; upstream < m_day.limited; ++upstream) {
            const auto& times = m_arrivals[upstream];
            for (auto start = times.begin(); start != times.end(); ++start) {
                if (!m_firstStated[upstream] || *start < *m_firstStated[upstream] + m_day.contactTime)
                    continue;
                auto end = std::upper_bound(start, times.end(), *start + window);
                most = std::max(most, static_cast<std::size_t>(end - start));
            }
        }
        return most;
    }

    // Requests per second that an average limited upstream has had since `from`.
    double limitedRate(MonotonicTime from) const
    {
        std::size_t count = 0;
        for (std::uint32_t upstream = 0; upstream < m_day.limited; ++upstream)
            count += static_cast<std::size_t>(std::count_if(m_arrivals[upstream].begin(),
                m_arrivals[upstream].end(), [from](MonotonicTime arrival) { return arrival >= from; }));
        return static_cast<double>(count) / m_day.limited
            / std::chrono::duration<double>(fleet.now - from).count();
    }

    // Instances that know of a limit of the upstream.
    std::size_t limitedInstances(std::uint32_t upstream) const
    {
        return static_cast<std::size_t>(std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
            [&](const auto& entry) { return entry.second.limits->limit(upstream) > 0; }));
    }

    ProgressFleet fleet;
    bool limitsInForce = true;
    std::size_t refused = 0;
    std::size_t requests = 0;

private:
    static constexpr Milliseconds stepDuration { 50 };

    void place()
    {
        ++requests;
        UpstreamLimits& limits = *fleet.nodes[m_ids[m_random.below(m_ids.size())]].limits;
        constexpr int maxTries = 6;
        for (int tries = 0; tries < maxTries; ++tries) {
            std::uint32_t upstream = preferredUpstream();
            if (limits.admit(upstream, fleet.now))
                return send(limits, upstream);
        }
        if (m_day.limited == m_day.upstreams)
            ++refused;
        else
            send(limits, m_day.limited); // has no limit
    }

    std::uint32_t preferredUpstream()
    {
        for (;;) {
            auto upstream = static_cast<std::uint32_t>(m_random.below(m_day.upstreams));
            if (upstream >= m_day.limited || m_random.chance(m_day.preferLimited))
                return upstream;
        }
    }

    void send(UpstreamLimits& limits, std::uint32_t upstream)
    {
        m_arrivals[upstream].push_back(fleet.now);
        bool states = limitsInForce && upstream < m_day.limited;
        if (states && !m_firstStated[upstream])
            m_firstStated[upstream] = fleet.now;
        limits.stated(upstream, states ? std::optional(m_day.limit) : std::nullopt, fleet.now);
    }

    LimitedDay m_day;
    Random m_random;
    std::vector<std::string> m_ids;
    std::vector<std::vector<MonotonicTime>> m_arrivals; // by upstream
    std::vector<std::optional<MonotonicTime>> m_firstStated;
    double m_remainder = 0;
};

const std::vector<LimitedDay> days {
    { 7, 12, 8, 3.5, 90 },
    { 7, 3, 3, 4, 40 },
    { 7, 12, 12, 0.4, 90 },
    { 1, 4, 3, 2, 30 },
    { 90, 90, 60, 5, 700, Milliseconds(4000) },
    { 295, 160, 112, 4.6, 1400, Milliseconds(5000) },
};

} // namespace

// Guards against overloading upstreams that say how many requests they take, in fleets of any size, and
// against giving up the capacity that they offer.
TEST_CASE("the instances together keep to the upstreams' limits and use most of them")
{
    for (LimitedDay day : days) {
        std::uint64_t seeds = day.instances > 50 ? 1 : 5;
        for (day.seed = 1; day.seed <= seeds; ++day.seed) {
            CAPTURE(day.instances);
            CAPTURE(day.limit);
            CAPTURE(day.seed);
            LimitSimulation simulation(day);
            simulation.run(Milliseconds(4000));
            MonotonicTime from = simulation.fleet.now;
            simulation.run(Milliseconds(10000));
            CHECK(simulation.mostInWindow() <= allowedInWindow(day.limit));
            CHECK(simulation.limitedRate(from) >= 0.6 * day.limit);
            bool othersTakeAll = day.limited < day.upstreams;
            CHECK((simulation.refused == 0) == othersTakeAll);
        }
    }
}

// Guards against instances that keep away from an upstream which has recovered.
TEST_CASE("when an upstream no longer states a limit, every instance of the fleet may send again")
{
    for (const LimitedDay& day : { days[0], days[4] }) {
        LimitSimulation simulation(day);
        simulation.run(Milliseconds(5000));
        CHECK(simulation.limitedInstances(0) == simulation.fleet.nodes.size());
        simulation.limitsInForce = false;
        simulation.run(Milliseconds(5000));
        for (std::uint32_t upstream = 0; upstream < day.limited; ++upstream)
            CHECK(simulation.limitedInstances(upstream) == 0);
    }
}

// Guards against shares that are too large while instances come and go, and against an instance that does not
// know the limits after a restart.
TEST_CASE("the limits hold while instances are restarted one after the other")
{
    LimitSimulation simulation(days[0]);
    simulation.run(Milliseconds(4000));
    for (std::uint64_t round = 0; round < 4; ++round) {
        const ListedInstance restarted = simulation.fleet.all[round];
        simulation.fleet.restart(restarted, round + 2);
        simulation.run(Milliseconds(2000));
        CHECK(simulation.fleet.nodes[restarted.id].limits->limit(0) == days[0].limit);
    }
    CHECK(simulation.mostInWindow() <= allowedInWindow(days[0].limit));
}
