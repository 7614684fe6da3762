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
    void (*inject)(Exchange&);
    void (*heal)(Exchange&);
};

void nothing(Exchange&) { }

void healNetwork(Exchange& exchange)
{
    exchange.options.loss = 0;
    exchange.options.delay = Milliseconds(1);
    exchange.options.jitter = Milliseconds(2);
    exchange.options.reorder = false;
}

void partitionHalf(Exchange& exchange)
{
    // The minority does not reach the store, where changes go on.
    for (std::size_t i = 0; i < 4; ++i) {
        exchange.at(i).partition = 1;
        exchange.at(i).storeReachable = false;
    }
}

void healPartition(Exchange& exchange)
{
    for (std::size_t i = 0; i < instances; ++i) {
        exchange.at(i).partition = 0;
        exchange.at(i).storeReachable = true;
    }
}

const std::vector<Fault> faults = {
    { "peer silent to one other", [](Exchange& exchange) { exchange.halfOpen(0, 1); }, nothing },
    { "late",
        [](Exchange& exchange) {
            exchange.options.delay = Milliseconds(400);
            exchange.options.jitter = Milliseconds(300);
        },
        healNetwork },
    { "reordered",
        [](Exchange& exchange) {
            exchange.options.reorder = true;
            exchange.options.jitter = Milliseconds(800);
        },
        healNetwork },
    { "a fifth of the messages lost", [](Exchange& exchange) { exchange.options.loss = 0.2; }, healNetwork },
    { "links half-open", [](Exchange& exchange) { exchange.breakAllLinks(0.4); }, nothing },
    { "paused", [](Exchange& exchange) { exchange.pause(3, Milliseconds(15000)); }, nothing },
    { "killed", [](Exchange& exchange) { exchange.kill(4); }, nothing },
    { "killed and replaced", [](Exchange& exchange) { exchange.kill(5); },
        [](Exchange& exchange) { exchange.replace(5); } },
    { "replaced with a clock behind", [](Exchange& exchange) { exchange.replace(6, -500); }, nothing },
    { "lists disagree",
        [](Exchange& exchange) {
            exchange.at(2).receivesList = false;
            exchange.at(2).membership.seed({}, exchange.now());
            exchange.at(7).receivesList = false;
            exchange.at(7).membership.seed({ { "entry-1", "10.0.0.1:7400", "domain-1" } }, exchange.now());
        },
        [](Exchange& exchange) { exchange.at(2).receivesList = exchange.at(7).receivesList = true; } },
    { "two partitions", partitionHalf, healPartition },
    { "store down", [](Exchange& exchange) { exchange.storeUp = false; },
        [](Exchange& exchange) { exchange.storeUp = true; } },
    { "leaving", [](Exchange& exchange) { exchange.at(8).membership.leave(exchange.now()); }, nothing },
};

NewWorkInputs question(Instance& instance, MonotonicTime now)
{
    NewWorkInputs question;
    question.headConfirmedAge = instance.relay.confirmedAge(now);
    question.revision = instance.relay.revision();
    question.expectedInstances = instance.membership.expectedInstances();
    question.expectedDigest = instance.membership.expectedDigest();
    question.peerCoverage = instance.relay.notCurrentCoverage(now);
    return question;
}

// What must hold at every moment.
class Invariants {
public:
    explicit Invariants(Exchange& exchange)
        : m_exchange(exchange)
        , m_objects(exchange.size())
        , m_revisions(exchange.size())
    {
    }

    void check()
    {
        for (std::size_t i = 0; i < m_exchange.size(); ++i)
            if (m_exchange.at(i).running && m_exchange.now() >= m_exchange.at(i).pausedUntil)
                checkInstance(i);
    }

private:
    void checkInstance(std::size_t i)
    {
        Instance& instance = m_exchange.at(i);
        MonotonicTime now = m_exchange.now();
        std::uint64_t revision = instance.relay.revision();
        if (std::exchange(m_objects[i], &instance) == &instance && revision < m_revisions[i])
            FAIL_CHECK("revision went back at instance " << i);
        m_revisions[i] = revision;
        bool behind = revision < m_exchange.head();
        auto missed = behind ? now - m_exchange.committedAt(revision + 1) : MonotonicTime::duration(0);
        auto age = instance.relay.confirmedAge(now);
        if (age && missed > *age)
            FAIL_CHECK("currency claimed too fresh at instance " << i);
        if (missed > drainLimit && isAllowed(decideNewWork(question(instance, now))))
            FAIL_CHECK("new work to a plain service 3 s after a change at instance " << i);
        const std::string& parent = instance.membership.parent();
        if (!parent.empty() && treeRank(parent) >= treeRank(instance.membership.self().id))
            FAIL_CHECK("parent of higher rank at instance " << i);
    }

    Exchange& m_exchange;
    std::vector<const Instance*> m_objects;
    std::vector<std::uint64_t> m_revisions;
};

void checkMembersOf(Exchange& exchange, std::size_t i)
{
    const auto& members = exchange.at(i).membership.members();
    for (std::size_t k = 0; k < exchange.size(); ++k) {
        if (k == i)
            continue;
        Instance& other = exchange.at(k);
        auto view = members.find(Exchange::idOf(k));
        bool known = view != members.end();
        if (!other.running) {
            if (known && view->second.state != MemberState::Dead)
                FAIL_CHECK("instance " << i << " keeps the dead peer " << k);
            continue;
        }
        MemberState expected = other.membership.leaving() ? MemberState::Leaving : MemberState::Alive;
        if (!known || view->second.state != expected
            || view->second.incarnation != other.membership.self().incarnation)
            FAIL_CHECK("instance " << i << " is wrong about the live peer " << k);
    }
}

// What must hold some time after the last fault.
void checkSettled(Exchange& exchange)
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < exchange.size(); ++i)
        running += exchange.at(i).running ? 1 : 0;
    const std::string* firstOwner = nullptr;
    for (std::size_t i = 0; i < exchange.size(); ++i) {
        Instance& instance = exchange.at(i);
        if (!instance.running)
            continue;
        checkMembersOf(exchange, i);
        CHECK(instance.relay.revision() == exchange.head());
        CHECK(instance.relay.current(exchange.now()));
        CHECK(instance.shares.covered() == running);
        CHECK(instance.membership.expectedInstances() == running);
        for (std::uint32_t upstream : Exchange::upstreamHashes(exchange.options.upstreams))
            CHECK(instance.loads.load(upstream, exchange.now()).has_value());
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
    ExchangeOptions options;
    options.seed = seed;
    options.instances = instances;
    Exchange exchange(options);
    Invariants invariants(exchange);
    std::uint64_t steps = 0;
    auto onStep = [&] {
        ++steps;
        if (steps % 10 == 0)
            invariants.check();
        constexpr std::uint64_t stepsPerCommit = 310;
        if (steps % stepsPerCommit == 0 && exchange.storeUp)
            exchange.commit();
    };
    exchange.run(Milliseconds(6000), onStep);
    first.inject(exchange);
    exchange.run(Milliseconds(2000), onStep);
    second.inject(exchange);
    exchange.run(faultTime, onStep);
    first.heal(exchange);
    second.heal(exchange);
    exchange.run(settleTime, onStep);
    // The last change needs its time to spread.
    steps = 0;
    exchange.run(Milliseconds(1500), onStep);
    checkSettled(exchange);
}

} // namespace

// Guards against members, revisions, currency or shares that stay wrong after a fault, or are wrong during
// one.
TEST_CASE("instances recover from every fault alone and in pairs")
{
    configureLogging("warning");
    std::uint64_t seed = 100;
    for (std::size_t first = 0; first < faults.size(); ++first)
        for (std::size_t second = first; second < faults.size(); ++second)
            runFaults(faults[first], faults[second], ++seed);
}

// Guards against a fleet that stops working when no instance reaches the store, and against one that goes on
// in a partition.
TEST_CASE("plain services go on in an outage of the store and stop in a partition")
{
    ExchangeOptions options;
    options.instances = instances;
    Exchange exchange(options);
    exchange.run(Milliseconds(6000));
    exchange.storeUp = false;
    exchange.run(Milliseconds(8000));
    std::size_t allowed = 0;
    for (std::size_t i = 0; i < instances; ++i)
        allowed
            += decideNewWork(question(exchange.at(i), exchange.now())) == NewWorkDecision::NoChangePossible;
    CHECK(allowed == instances);
    exchange.at(0).partition = 1;
    exchange.run(Milliseconds(3000));
    for (std::size_t i = 0; i < instances; ++i)
        CHECK(decideNewWork(question(exchange.at(i), exchange.now())) == NewWorkDecision::PeersMissing);
}

// Guards against a paused instance that declares all others dead when it goes on.
TEST_CASE("an instance that was paused suspects nobody")
{
    ExchangeOptions options;
    options.instances = instances;
    Exchange exchange(options);
    exchange.run(Milliseconds(6000));
    exchange.pause(3, Milliseconds(20000));
    exchange.run(Milliseconds(20000));
    for (int i = 0; i < 100; ++i) {
        exchange.run(Milliseconds(100));
        for (const auto& [id, view] : exchange.at(3).membership.members())
            CHECK(view.state == MemberState::Alive);
    }
}
