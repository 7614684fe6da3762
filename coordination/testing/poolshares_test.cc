// Fair shares of a pool of plain services in fleets of several sizes, with the news that instances really
// have of each other.

#include "base/hash.h"
#include "base/random.h"
#include "coordination/testing/progressfleet.h"
#include <algorithm>
#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <numeric>
#include <queue>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr Milliseconds stepDuration { 50 };
constexpr int organisationCount = 24;
constexpr int flooder = 3;

double toSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

struct Counts {
    int calls = 0; // of callers; repeats of the same call are not counted
    int served = 0; // in time
    int requests = 0;
    int refused = 0; // by shares
    int refusedWhileIdle = 0; // while less than half of the slots was taken and nothing waited
    int refusedByUpstream = 0;
    int lateRuns = 0; // answered after the deadline

    double servedShare() const { return calls > 0 ? static_cast<double>(served) / calls : 1; }
};

// An upstream with slots and a queue.
class PlainService {
public:
    static constexpr int slots = 6;
    static constexpr int queueLength = 24;

    // The time of the answer; nullopt: refused, the queue is full.
    std::optional<double> run(double now, double work)
    {
        release(now);
        if (inProgress() >= slots + queueLength)
            return std::nullopt;
        double start = now;
        if (m_ends.size() >= slots)
            start = *std::next(m_ends.begin(), static_cast<std::ptrdiff_t>(m_ends.size()) - slots);
        m_ends.insert(start + work);
        return start + work;
    }
    int inProgress() const { return static_cast<int>(m_ends.size()); }
    void release(double now) { m_ends.erase(m_ends.begin(), m_ends.upper_bound(now)); }

private:
    std::multiset<double> m_ends; // of running and waiting requests
};

// Callers of 24 organisations, a few of them large, send calls to a pool of three services with 6 slots each.
// A call that is refused is repeated once after the Retry-After, or three times at once by callers that do
// not wait.
class SharedPoolWorld {
public:
    SharedPoolWorld(int instances, double perSecond, double workSeconds, std::uint64_t seed)
        : fleet(instances, 3)
        , m_random(seed)
        , m_perSecond(perSecond)
        , m_work(workSeconds)
        , m_start(fleet.now)
    {
        SharedPool shared { "desk", {} };
        for (int number = 0; number < organisationCount; ++number) {
            weights[number] = number < 4 ? 3 : 1; // the flooder is one of the large ones
            shared.claimants.push_back({ "org-" + std::to_string(number), priorities(number) });
        }
        for (auto& [id, node] : fleet.nodes) {
            m_instances.push_back(id);
            node.shares->setPools({ shared }, fleet.now);
        }
        constexpr int startRounds = 30;
        for (int round = 0; round < startRounds; ++round)
            fleet.step();
    }

    void run(double duration)
    {
        double end = now() + duration;
        while (now() < end) {
            double stepEnd = now() + toSeconds(stepDuration);
            addArrivals(now(), stepEnd);
            playEvents(stepEnd);
            updateStates();
            fleet.step(stepDuration);
        }
    }

    double now() const { return toSeconds(fleet.now - m_start); }
    void forget() { counts = {}; }
    Counts sum(int except = -1) const
    {
        Counts result;
        for (int number = 0; number < organisationCount; ++number) {
            if (number == except)
                continue;
            result.calls += counts[number].calls;
            result.served += counts[number].served;
            result.requests += counts[number].requests;
            result.refused += counts[number].refused;
            result.refusedWhileIdle += counts[number].refusedWhileIdle;
            result.refusedByUpstream += counts[number].refusedByUpstream;
            result.lateRuns += counts[number].lateRuns;
        }
        return result;
    }
    const PoolShares& sharesOf(std::size_t index) { return *fleet.nodes[m_instances[index]].shares; }

    ProgressFleet fleet;
    std::array<Counts, organisationCount> counts;
    std::array<double, organisationCount> factors = ones(); // of the usual demand
    std::array<double, organisationCount> weights {}; // of the usual demand
    double impatient = 0; // share of the callers that repeat at once
    double deadline = 2.5; // seconds
    bool twoPriorities = false;

    static int priorities(int number) { return number % 2; }

private:
    struct Call {
        int organisation = 0;
        int repeatsLeft = 1;
        bool impatient = false;
    };
    struct Event {
        double at = 0;
        enum class Kind { Arrival, Answer } kind = Kind::Arrival;
        Call call;
        std::string instance; // of an answer
        std::size_t upstream = 0;
        double sentAt = 0;
        bool mayHaveWaited = false;
        bool operator<(const Event& other) const { return at > other.at; }
    };

    static std::array<double, organisationCount> ones()
    {
        std::array<double, organisationCount> result {};
        result.fill(1);
        return result;
    }

    void addArrivals(double from, double until)
    {
        double weightSum = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (int number = 0; number < organisationCount; ++number) {
            double rate = m_perSecond * weights[number] / weightSum * factors[number];
            for (double at = from + m_random.exponential(1 / rate); at < until;
                 at += m_random.exponential(1 / rate)) {
                bool isImpatient = m_random.chance(impatient);
                ++counts[number].calls;
                m_events.push({ at, Event::Kind::Arrival, { number, isImpatient ? 3 : 1, isImpatient } });
            }
        }
    }

    void playEvents(double until)
    {
        while (!m_events.empty() && m_events.top().at < until) {
            Event event = m_events.top();
            m_events.pop();
            for (PlainService& service : m_services)
                service.release(event.at);
            if (event.kind == Event::Kind::Answer)
                answer(event);
            else
                arrive(event);
        }
    }

    void answer(const Event& event)
    {
        auto& node = fleet.nodes[event.instance];
        node.work->ended(hashOf(event.upstream));
        auto duration = std::chrono::nanoseconds(static_cast<std::int64_t>((event.at - event.sentAt) * 1e9));
        node.shares->answered("desk", duration, event.mayHaveWaited);
        bool inTime = event.at - event.sentAt <= deadline;
        counts[event.call.organisation].served += inTime ? 1 : 0;
        counts[event.call.organisation].lateRuns += inTime ? 0 : 1;
    }

    void arrive(const Event& event)
    {
        auto& node = fleet.nodes[m_instances[m_random.below(m_instances.size())]];
        Counts& count = counts[event.call.organisation];
        ++count.requests;
        std::string organisation = "org-" + std::to_string(event.call.organisation);
        int priority = priorities(event.call.organisation);
        Milliseconds timeLeft(static_cast<std::int64_t>(deadline * 1000));
        if (auto refusal = node.shares->refuse({ "desk", organisation, priority, timeLeft }, fleet.now)) {
            ++count.refused;
            count.refusedWhileIdle += isIdle() ? 1 : 0;
            return repeat(event, toSeconds(refusal->retryAfter));
        }
        // The first upstream and, if its queue is full, one more.
        std::vector<std::size_t> order = orderOf(node);
        for (std::size_t attempt = 0; attempt < 2; ++attempt) {
            std::size_t upstream = order[attempt];
            bool mayHaveWaited = seenAt(node, upstream) >= PlainService::slots;
            auto answerAt = m_services[upstream].run(event.at, m_work * (0.8 + 0.4 * m_random.unit()));
            if (!answerAt)
                continue;
            node.work->started(hashOf(upstream), 0);
            return m_events.push({ *answerAt, Event::Kind::Answer, event.call, node.membership->self().id,
                upstream, event.at, mayHaveWaited });
        }
        ++count.refusedByUpstream;
        repeat(event, 0.5);
    }

    void repeat(const Event& event, double retryAfter)
    {
        if (event.call.repeatsLeft == 0)
            return;
        Call call = event.call;
        --call.repeatsLeft;
        constexpr double immediately = 0.01;
        m_events.push({ event.at + (call.impatient ? immediately : retryAfter), Event::Kind::Arrival, call });
    }

    bool isIdle() const
    {
        int taken = 0;
        for (const PlainService& service : m_services) {
            if (service.inProgress() > PlainService::slots)
                return false;
            taken += service.inProgress();
        }
        return taken < PlainService::slots * static_cast<int>(m_services.size()) / 2;
    }

    static std::uint32_t hashOf(std::size_t upstream) { return static_cast<std::uint32_t>(100 + upstream); }
    static int seenAt(const ProgressFleet::Node& node, std::size_t upstream)
    {
        return node.work->own(hashOf(upstream)).requests + node.work->others(hashOf(upstream)).requests;
    }

    std::vector<std::size_t> orderOf(const ProgressFleet::Node& node)
    {
        std::vector<std::pair<double, std::size_t>> costs;
        for (std::size_t upstream = 0; upstream < m_services.size(); ++upstream)
            costs.emplace_back(seenAt(node, upstream) + 6 * m_random.unit(), upstream);
        std::sort(costs.begin(), costs.end());
        std::vector<std::size_t> order;
        for (const auto& [cost, upstream] : costs)
            order.push_back(upstream);
        return order;
    }

    void updateStates()
    {
        for (auto& [id, node] : fleet.nodes) {
            double inProgress = 0;
            for (std::size_t upstream = 0; upstream < m_services.size(); ++upstream)
                inProgress += seenAt(node, upstream);
            node.shares->setState(
                "desk", PlainService::slots * static_cast<double>(m_services.size()), inProgress);
        }
    }

    Random m_random;
    double m_perSecond;
    double m_work;
    MonotonicTime m_start;
    std::vector<std::string> m_instances;
    std::array<PlainService, 3> m_services;
    std::priority_queue<Event> m_events;
};

} // namespace

TEST_CASE("trial")
{
    std::string kind = std::getenv("KIND") ? std::getenv("KIND") : "flood";
    double impatient = std::getenv("IMPATIENT") ? std::atof(std::getenv("IMPATIENT")) : 0.2;
    for (int size : { 7, 65, 120 }) {
        SharedPoolWorld world(size, size == 120 ? 274 : 296, size == 120 ? 0.015 : 0.03, 1);
        auto print = [&](const char* label) {
            Counts all = world.sum(), others = world.sum(flooder);
            PoolShareStatus status = world.sharesOf(0).status()[0];
            std::cout << size << " " << label << ": calls " << all.calls << " served " << all.servedShare()
                      << " others " << others.servedShare() << " flooder "
                      << world.counts[flooder].servedShare() << " refused " << all.refused << " (others "
                      << others.refused << ") idle " << all.refusedWhileIdle << " byUpstream "
                      << all.refusedByUpstream << " (others " << others.refusedByUpstream << ") late "
                      << all.lateRuns << " cap " << status.capacity << " demand " << status.demand
                      << " hold " << status.holdingMs << " occ " << status.occupancy << std::endl;
            world.forget();
        };
        world.impatient = impatient;
        world.run(10);
        print("calm");
        double factor = size == 120 ? 5 : 2.5;
        if (kind == "flood")
            world.factors[flooder] = size == 120 ? 16 : 8;
        else
            world.factors.fill(factor);
        for (int span = 0; span < 6; ++span) {
            world.run(span < 2 ? 1 : 3);
            print(kind.c_str());
        }
        world.factors.fill(1);
        world.run(2);
        print("after");
        world.run(5);
        print("calm again");
    }
}
