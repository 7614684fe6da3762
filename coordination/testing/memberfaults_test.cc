#include "base/log.h"
#include "coordination/testing/exchange.h"
#include <doctest/doctest.h>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr std::size_t instances = 9;
constexpr Milliseconds faultTime { 12000 };
constexpr Milliseconds settleTime { 45000 };
constexpr Milliseconds drainLimit { 3000 };

struct Fault {
    const char* name;
    void (*inject)(FleetSimulation&);
    void (*heal)(FleetSimulation&);
};

void noAction(FleetSimulation&) { }

void healNetwork(FleetSimulation& simulation)
{
    simulation.options.loss = 0;
    simulation.options.delay = Milliseconds(1);
    simulation.options.jitter = Milliseconds(2);
    simulation.options.reorder = false;
}

void partitionHalf(FleetSimulation& simulation)
{
    // The minority cannot reach the store, where new records continue to be committed.
    for (std::size_t i = 0; i < 4; ++i) {
        simulation.at(i).partition = 1;
        simulation.at(i).storeReachable = false;
    }
}

void healPartition(FleetSimulation& simulation)
{
    for (std::size_t i = 0; i < instances; ++i) {
        simulation.at(i).partition = 0;
        simulation.at(i).storeReachable = true;
    }
}

const std::vector<Fault> faults = {
    { "peer silent to one other", [](FleetSimulation& simulation) { simulation.makeHalfOpen(0, 1); },
        noAction },
    { "late",
        [](FleetSimulation& simulation) {
            simulation.options.delay = Milliseconds(400);
            simulation.options.jitter = Milliseconds(300);
        },
        healNetwork },
    { "reordered",
        [](FleetSimulation& simulation) {
            simulation.options.reorder = true;
            simulation.options.jitter = Milliseconds(800);
        },
        healNetwork },
    { "a fifth of the messages lost", [](FleetSimulation& simulation) { simulation.options.loss = 0.2; },
        healNetwork },
    { "links half-open", [](FleetSimulation& simulation) { simulation.breakLinks(0.4); }, noAction },
    { "paused", [](FleetSimulation& simulation) { simulation.pause(3, Milliseconds(15000)); }, noAction },
    { "killed", [](FleetSimulation& simulation) { simulation.kill(4); }, noAction },
    { "killed and replaced", [](FleetSimulation& simulation) { simulation.kill(5); },
        [](FleetSimulation& simulation) { simulation.replace(5); } },
    { "replaced with a clock behind", [](FleetSimulation& simulation) { simulation.replace(6, -500); },
        noAction },
    { "lists disagree",
        [](FleetSimulation& simulation) {
            simulation.at(2).receivesList = false;
            simulation.at(2).membership.seed({}, simulation.now());
            simulation.at(7).receivesList = false;
            simulation.at(7).membership.seed(
                { { "entry-1", "10.0.0.1:7400", "domain-1" } }, simulation.now());
        },
        [](FleetSimulation& simulation) {
            simulation.at(2).receivesList = simulation.at(7).receivesList = true;
        } },
    { "two partitions", partitionHalf, healPartition },
    { "store down", [](FleetSimulation& simulation) { simulation.storeUp = false; },
        [](FleetSimulation& simulation) { simulation.storeUp = true; } },
    { "leaving", [](FleetSimulation& simulation) { simulation.at(8).membership.leave(simulation.now()); },
        noAction },
};

NewWorkInputs newWorkInputs(Instance& instance, MonotonicTime now)
{
    NewWorkInputs inputs;
    inputs.headConfirmedAge = instance.relay.confirmedAge(now);
    inputs.revision = instance.relay.revision();
    inputs.expectedInstances = instance.membership.expectedInstances();
    inputs.expectedDigest = instance.membership.expectedDigest();
    inputs.peerCoverage = instance.relay.notCurrentCoverage(now);
    return inputs;
}

// Conditions that must hold at all times.
class Invariants {
public:
    explicit Invariants(FleetSimulation& simulation)
        : m_simulation(simulation)
        , m_objects(simulation.size())
        , m_revisions(simulation.size())
    {
    }

    void check()
    {
        for (std::size_t i = 0; i < m_simulation.size(); ++i)
            if (m_simulation.at(i).running && m_simulation.now() >= m_simulation.at(i).pausedUntil)
                checkInstance(i);
    }

private:
    void checkInstance(std::size_t i)
    {
        Instance& instance = m_simulation.at(i);
        MonotonicTime now = m_simulation.now();
        std::uint64_t revision = instance.relay.revision();
        if (std::exchange(m_objects[i], &instance) == &instance && revision < m_revisions[i])
            FAIL_CHECK("revision went back at instance " << i);
        m_revisions[i] = revision;
        bool behind = revision < m_simulation.head();
        auto staleFor = behind ? now - m_simulation.committedAt(revision + 1) : MonotonicTime::duration(0);
        auto age = instance.relay.confirmedAge(now);
        if (age && staleFor > *age)
            FAIL_CHECK("confirmation age too low at instance " << i);
        if (staleFor > drainLimit && isAllowed(decideNewWork(newWorkInputs(instance, now))))
            FAIL_CHECK("new work to a plain service 3 s after a change at instance " << i);
        const std::string& parent = instance.membership.parent();
        if (!parent.empty() && treeRank(parent) >= treeRank(instance.membership.self().id))
            FAIL_CHECK("parent of higher rank at instance " << i);
    }

    FleetSimulation& m_simulation;
    std::vector<const Instance*> m_objects;
    std::vector<std::uint64_t> m_revisions;
};

void checkMembersOf(FleetSimulation& simulation, std::size_t i)
{
    const auto& members = simulation.at(i).membership.members();
    for (std::size_t k = 0; k < simulation.size(); ++k) {
        if (k == i)
            continue;
        Instance& other = simulation.at(k);
        auto view = members.find(FleetSimulation::idOf(k));
        bool known = view != members.end();
        if (!other.running) {
            if (known && view->second.state != MemberState::Dead)
                FAIL_CHECK("instance " << i << " keeps the dead peer " << k);
            continue;
        }
        MemberState expected = other.membership.leaving() ? MemberState::Leaving : MemberState::Alive;
        if (!known || view->second.state != expected
            || view->second.incarnation != other.membership.self().incarnation)
            FAIL_CHECK("instance " << i << " has a wrong state or incarnation of the live peer " << k);
    }
}

// Conditions that must hold once the fleet has settled after the last fault.
void checkSettled(FleetSimulation& simulation)
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i)
        running += simulation.at(i).running ? 1 : 0;
    const std::string* firstOwner = nullptr;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        Instance& instance = simulation.at(i);
        if (!instance.running)
            continue;
        checkMembersOf(simulation, i);
        CHECK(instance.relay.revision() == simulation.head());
        CHECK(instance.relay.current(simulation.now()));
        CHECK(instance.shares.covered() == running);
        CHECK(instance.membership.expectedInstances() == running);
        for (std::uint32_t upstream : FleetSimulation::upstreamHashes(simulation.options.upstreams))
            CHECK(instance.loads.load(upstream, simulation.now()).has_value());
        const std::string& owner = instance.membership.owner(hash64("key"));
        if (firstOwner)
            CHECK(owner == *firstOwner);
        firstOwner = &owner;
    }
}

void runFaults(const Fault& first, const Fault& second, std::uint64_t seed)
{
    CAPTURE(first.name);
    CAPTURE(second.name);
    FleetSimulationOptions options;
    options.seed = seed;
    options.instances = instances;
    FleetSimulation simulation(options);
    Invariants invariants(simulation);
    std::uint64_t steps = 0;
    auto onStep = [&] {
        ++steps;
        if (steps % 10 == 0)
            invariants.check();
        constexpr std::uint64_t stepsPerCommit = 310;
        if (steps % stepsPerCommit == 0 && simulation.storeUp)
            simulation.commit();
    };
    simulation.run(Milliseconds(6000), onStep);
    first.inject(simulation);
    simulation.run(Milliseconds(2000), onStep);
    second.inject(simulation);
    simulation.run(faultTime, onStep);
    first.heal(simulation);
    second.heal(simulation);
    simulation.run(settleTime, onStep);
    // The last commit needs time to reach all instances.
    steps = 0;
    simulation.run(Milliseconds(1500), onStep);
    checkSettled(simulation);
}

} // namespace

// Guards against members, revisions, confirmation ages or rate shares that stay wrong after a fault, and
// against violations of the invariants during one.
TEST_CASE("instances recover from every fault alone and in pairs")
{
    configureLogging("warning");
    std::uint64_t seed = 100;
    for (std::size_t first = 0; first < faults.size(); ++first)
        for (std::size_t second = first; second < faults.size(); ++second)
            runFaults(faults[first], faults[second], ++seed);
}

// Guards against a fleet that stops giving new work to plain services when no instance reaches the store, and
// against one that continues to do so in a partition.
TEST_CASE("plain services get new work in an outage of the store, but not in a partition")
{
    FleetSimulationOptions options;
    options.instances = instances;
    FleetSimulation simulation(options);
    simulation.run(Milliseconds(6000));
    simulation.storeUp = false;
    simulation.run(Milliseconds(8000));
    std::size_t allowed = 0;
    for (std::size_t i = 0; i < instances; ++i)
        allowed += decideNewWork(newWorkInputs(simulation.at(i), simulation.now()))
            == NewWorkDecision::NoChangePossible;
    CHECK(allowed == instances);
    simulation.at(0).partition = 1;
    simulation.run(Milliseconds(3000));
    for (std::size_t i = 0; i < instances; ++i)
        CHECK(decideNewWork(newWorkInputs(simulation.at(i), simulation.now()))
            == NewWorkDecision::PeersMissing);
}

// Guards against a paused instance that suspects all others when it resumes.
TEST_CASE("an instance that was paused suspects nobody")
{
    FleetSimulationOptions options;
    options.instances = instances;
    FleetSimulation simulation(options);
    simulation.run(Milliseconds(6000));
    simulation.pause(3, Milliseconds(20000));
    simulation.run(Milliseconds(20000));
    for (int i = 0; i < 100; ++i) {
        simulation.run(Milliseconds(100));
        for (const auto& [id, view] : simulation.at(3).membership.members())
            CHECK(view.state == MemberState::Alive);
    }
}
