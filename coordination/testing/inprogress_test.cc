#include "coordination/testing/progressfleet.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace briarwharf;
using namespace briarwharf::testing;

namespace {

constexpr std::uint32_t engine = 7;
const MonotonicTime start { std::chrono::hours(1) };

} // namespace

TEST_CASE("every instance of a small and of a large fleet learns what all others have in progress")
{
    for (int size : { 2, 9, 40 }) {
        CAPTURE(size);
        ProgressFleet fleet(size);
        int total = 0;
        for (auto& [id, node] : fleet.nodes) {
            for (int request = 0; request <= total % 3; ++request)
                node.work->started(engine, 640);
            total += total % 3 + 1;
        }
        for (int round = 0; round < 60; ++round)
            fleet.step();
        for (auto& [id, node] : fleet.nodes)
            CHECK(node.work->own(engine).requests + node.work->others(engine).requests == total);
    }
}

TEST_CASE("ended work is reported, and a silent link is not counted")
{
    ProgressFleet fleet(2);
    InProgressTable& one = *fleet.nodes[ProgressFleet::idOf(1)].work;
    InProgressTable& other = *fleet.nodes[ProgressFleet::idOf(2)].work;
    one.started(engine, 1280);
    one.started(engine, 640);
    one.answerStarted(engine, 640);
    for (int round = 0; round < 8; ++round)
        fleet.step();
    CHECK(other.others(engine).requests == 2);
    CHECK(other.others(engine).promptTokens == 1280);
    one.answerStarted(engine, 1280);
    one.ended(engine);
    one.ended(engine);
    CHECK(one.own(engine) == UpstreamWorkload {});
    for (int round = 0; round < 8; ++round)
        fleet.step();
    CHECK(other.others(engine) == UpstreamWorkload {});

    one.started(engine, 64);
    for (int round = 0; round < 8; ++round)
        fleet.step();
    CHECK(other.others(engine).requests == 1);
    other.refresh(fleet.now + Milliseconds(3500));
    CHECK(other.others(engine).requests == 0);
}

// Guards against heartbeats whose size grows with the number of upstreams without a bound.
TEST_CASE("a heartbeat carries a bounded number of changes, and later ones carry the others")
{
    Outbox outbox;
    Membership membership({ "self", "10.0.0.1:1", "a", 1 }, {}, outbox, 1);
    InProgressTable table(membership, { Milliseconds(3000), 100 });
    for (std::uint32_t upstream = 0; upstream < 250; ++upstream)
        table.started(upstream, 64);
    LinkView link { "peer" };
    std::size_t reported = 0;
    for (int round = 0; round < 3; ++round) {
        HeartbeatT heartbeat;
        table.fill(link, heartbeat, start);
        CHECK(heartbeat.work.size() <= 100);
        reported += heartbeat.work.size();
    }
    CHECK(reported == 250);
}

// Guards against losing sight of an engine that fills up while the bytes of a link are used for small
// changes.
TEST_CASE("of more changes than a heartbeat carries the largest are sent first, and all are sent in the end")
{
    constexpr std::uint32_t busyEngine = 3000;
    constexpr std::size_t perHeartbeat = 100;
    Outbox outbox;
    Membership membership({ "self", "10.0.0.1:1", "a", 1 }, {}, outbox, 1);
    InProgressTable table(membership, { Milliseconds(3000), perHeartbeat });
    for (std::uint32_t upstream = 0; upstream < 1000; ++upstream)
        table.started(upstream, 64);
    for (int request = 0; request < 5; ++request)
        table.started(busyEngine, 64);
    LinkView link { "peer" };
    std::map<std::uint32_t, int> reported;
    for (int round = 0; round < 11; ++round) {
        HeartbeatT heartbeat;
        table.fill(link, heartbeat, start);
        for (const auto& entry : heartbeat.work)
            reported[entry.upstream()] = entry.requests();
        if (round == 0)
            CHECK(reported.count(busyEngine) == 1);
    }
    CHECK(reported.size() == 1001);
    CHECK(reported[busyEngine] == 5);
}

// Guards against counting work twice, or keeping it, when links change between the tree and the rest of the
// mesh.
TEST_CASE("sums stay exact while instances of a large fleet leave and their subtrees find other parents")
{
    ProgressFleet fleet(40);
    for (auto& [id, node] : fleet.nodes)
        node.work->started(engine, 640);
    for (int round = 0; round < 60; ++round)
        fleet.step();
    for (int left : { 7, 19, 31 }) {
        std::string id = ProgressFleet::idOf(left);
        fleet.nodes[id].membership->leave(fleet.now);
        for (int round = 0; round < 12; ++round)
            fleet.step();
        for (auto& [other, node] : fleet.nodes)
            node.membership->linkDown(id, fleet.now);
        fleet.nodes.erase(id);
        for (int round = 0; round < 40; ++round)
            fleet.step();
        for (auto& [other, node] : fleet.nodes)
            CHECK(node.work->own(engine).requests + node.work->others(engine).requests
                == static_cast<int>(fleet.nodes.size()));
    }
}

// Guards against sums that grow without bound while instances with different views of the fleet choose their
// places in the tree. Engines with a few requests are then taken for overloaded, and work goes elsewhere.
TEST_CASE("sums stay near the truth while half of the instances restart at once")
{
    ProgressFleet fleet(60, 3);
    auto startWork = [&fleet] {
        for (auto& [id, node] : fleet.nodes) {
            if (node.work->own(engine).requests == 0)
                node.work->started(engine, 640);
        }
    };
    startWork();
    for (int round = 0; round < 200; ++round)
        fleet.step(Milliseconds(100));
    Random random(1);
    for (int restarts = 2; restarts <= 6; ++restarts) {
        for (const ListedInstance& instance : fleet.all) {
            if (random.chance(0.5))
                fleet.restart(instance, static_cast<std::uint64_t>(restarts));
        }
        startWork();
        int most = 0;
        for (int round = 0; round < 100; ++round) {
            fleet.step(Milliseconds(100));
            for (auto& [id, node] : fleet.nodes)
                most = std::max(most, node.work->others(engine).requests);
        }
        // A link that changed its place in the tree may be counted twice until its next heartbeat.
        CHECK(most <= 2 * 60);
        for (auto& [id, node] : fleet.nodes)
            CHECK(node.work->own(engine).requests + node.work->others(engine).requests == 60);
    }
}

// Guards against a hot context whose requests stay unknown for the interval of each hop of the tree, and
// against early heartbeats for each request.
TEST_CASE("only a large change of an upstream's requests is sent before the interval for changes")
{
    ProgressFleet fleet(40);
    for (int round = 0; round < 60; ++round)
        fleet.step();
    auto child = std::find_if(fleet.nodes.begin(), fleet.nodes.end(),
        [](const auto& node) { return !node.second.membership->parent().empty(); });
    REQUIRE(child != fleet.nodes.end());
    InProgressTable& work = *child->second.work;
    std::string parent = child->second.membership->parent();
    LinkView link { parent };
    link.isTreeLink = true;
    work.started(engine, 640);
    work.started(engine, 640);
    CHECK_FALSE(work.urgentAtOnce(link, fleet.now));
    work.started(engine, 640);
    CHECK(work.urgentAtOnce(link, fleet.now));
    link.isTreeLink = false;
    CHECK_FALSE(work.urgentAtOnce(link, fleet.now));
    link.isTreeLink = true;
    fleet.step(Milliseconds(100));
    CHECK_FALSE(work.urgentAtOnce(link, fleet.now)); // sent
}

// Guards against control traffic that grows with the number of upstreams.
TEST_CASE("at the target's size no instance sends more control traffic than its budget")
{
    constexpr int instances = 480;
    constexpr int domains = 8;
    constexpr std::uint64_t upstreams = 4100;
    constexpr std::uint64_t budgetBytesPerSecond = 25000; // CONTRIBUTING.md, The target
    constexpr int newRequestsPerRound = 1000; // 10,000 a second
    constexpr std::size_t roundsPerRequest = 10;
    constexpr Milliseconds round { 100 };
    constexpr int seconds = 5;
    ProgressFleet fleet(instances, domains);
    for (int warmUp = 0; warmUp < 400; ++warmUp)
        fleet.step(round);
    for (auto& [id, node] : fleet.nodes)
        node.bytesSent = 0;
    Random random(1);
    std::deque<std::vector<std::pair<InProgressTable*, std::uint32_t>>> inProgress;
    for (int count = 0; count < seconds * 10; ++count) {
        auto& added = inProgress.emplace_back();
        for (int request = 0; request < newRequestsPerRound; ++request) {
            std::string id = ProgressFleet::idOf(1 + static_cast<int>(random.below(instances)));
            added.emplace_back(
                fleet.nodes[id].work.get(), static_cast<std::uint32_t>(random.below(upstreams)));
            added.back().first->started(added.back().second, 2000);
        }
        if (inProgress.size() > roundsPerRequest) {
            for (auto& [table, upstream] : inProgress.front()) {
                table->answerStarted(upstream, 2000);
                table->ended(upstream);
            }
            inProgress.pop_front();
        }
        fleet.step(round);
    }
    std::uint64_t busiest = 0;
    for (auto& [id, node] : fleet.nodes)
        busiest = std::max(busiest, node.bytesSent / seconds);
    CHECK(busiest <= budgetBytesPerSecond);
}
