#include "coordination/coordination.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

constexpr std::uint32_t engine = 7;
const MonotonicTime start { std::chrono::hours(1) };

std::string idOf(int number) { return "10.0.0." + std::to_string(number) + ":1"; }

// Memberships that know each other, with the links that the tree or the full mesh requires.
struct Fleet {
    struct Node {
        Outbox outbox;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<InProgressTable> work;
    };
    std::map<std::string, Node> nodes;
    MonotonicTime now = start;

    explicit Fleet(int size)
    {
        std::vector<ListedInstance> all;
        for (int number = 1; number <= size; ++number)
            all.push_back({ idOf(number), idOf(number), "a" });
        for (const auto& self : all) {
            Node& node = nodes[self.id];
            node.membership = std::make_unique<Membership>(
                InstanceIdentity { self.id, self.address, "a", 1 }, MembershipOptions {}, node.outbox, 1);
            node.work = std::make_unique<InProgressTable>(*node.membership, InProgressOptions {});
            node.membership->addSection(*node.work);
            node.membership->seed(all, now);
        }
    }

    // One round of links, ticks and messages.
    void step()
    {
        now += Milliseconds(250);
        for (auto& [id, node] : nodes) {
            for (const auto& peer : node.membership->desiredPeers()) {
                if (node.membership->linked(peer))
                    continue;
                node.membership->linkUp(peer, now);
                nodes[peer].membership->linkUp(id, now);
            }
        }
        for (auto& [id, node] : nodes)
            node.membership->tick(now);
        for (auto& [id, node] : nodes) {
            for (auto& message : node.outbox.drain()) {
                std::string to = message.peer;
                nodes[to].membership->receive(node.membership->frame(std::move(message)), now);
            }
        }
        for (auto& [id, node] : nodes)
            node.work->refresh(now);
    }
};

} // namespace

TEST_CASE("every instance of a small and of a large fleet learns what all others have in progress")
{
    for (int size : { 2, 9, 40 }) {
        CAPTURE(size);
        Fleet fleet(size);
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
    Fleet fleet(2);
    InProgressTable& one = *fleet.nodes[idOf(1)].work;
    InProgressTable& other = *fleet.nodes[idOf(2)].work;
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
