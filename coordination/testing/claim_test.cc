#include "coordination/coordination.h"
#include "coordination/stored.h"
#include "coordination/testing/fakestore.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr Milliseconds tickInterval { 20 };
const std::string key = claimKeyHash("org", "booking", "k1");

// A collector and a claimant that call each other directly, without a network.
struct Fixture {
    Fixture() { restart(); }

    void restart()
    {
        collector = std::make_unique<ClaimCollector>(
            ClaimCollectorOptions {
                .writer = "w" + std::to_string(++starts), .retention = Milliseconds(60000) },
            claimShard(key), store, clock.reader(), [this] { return clock.wallNow(); },
            [this](const std::string& instance) { return instance == deadInstance; });
    }

    void run(Milliseconds duration)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
            clock.advance(tickInterval);
            collector->tick();
            client.tick();
        }
    }

    ClaimClient::ClaimId begin(const std::string& body = "body")
    {
        decision.reset();
        return client.begin(key, body, clock.now() + Milliseconds(3000),
            [this](ClaimDecision decided, const ClaimOutcome& stored) {
                CHECK_FALSE(decision.has_value());
                decision = decided;
                outcome = stored;
            });
    }

    ManualClock clock;
    FakeStore store { clock };
    std::unique_ptr<ClaimCollector> collector;
    std::string deadInstance;
    int starts = 0;
    bool dropReplies = false;
    std::optional<ClaimDecision> decision;
    ClaimOutcome outcome;
    ClaimClient client { { .instance = "i#1" }, clock.reader(),
        [this](const ClaimRequestT& request) {
            collector->claim(request, [this](const ClaimResponseT& response) {
                if (!dropReplies)
                    client.response(response);
            });
        },
        [this](const SettleRequestT& request) {
            collector->settle(request, [this](SettleResponseT response) { client.response(response); });
        } };
};

} // namespace

// Guards against a repeated call that does not get the stored outcome, also after the collector was replaced.
TEST_CASE("a repeated call gets the stored outcome, and one with another body is refused")
{
    Fixture fixture;
    auto id = fixture.begin();
    fixture.run(Milliseconds(300));
    REQUIRE(fixture.decision == ClaimDecision::Run);
    CHECK(fixture.client.tryStartCall(id));
    CHECK_FALSE(fixture.client.tryStartCall(id));
    bool durable = false;
    fixture.client.finish(id, { 201, "text/plain", "booked" }, fixture.clock.now() + Milliseconds(3000),
        [&durable](bool settled) { durable = settled; });
    fixture.run(Milliseconds(500));
    CHECK(durable);
    CHECK(fixture.client.pending() == 0);
    fixture.restart();
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::Completed);
    CHECK(fixture.outcome.httpStatus == 201);
    CHECK(fixture.outcome.body == "booked");
    fixture.begin("other body");
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::DifferentRequest);
}

// Guards against a repeated call that runs while the first one is in progress or after its instance was
// declared dead.
TEST_CASE("a claim of a live instance is in progress, and that of a dead instance is unknown")
{
    Fixture fixture;
    auto id = fixture.begin();
    fixture.run(Milliseconds(300));
    CHECK(fixture.client.tryStartCall(id));
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::InProgress);
    fixture.deadInstance = "i#1";
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::Unknown);
    // The instance was declared dead but is alive, and it reports the outcome.
    fixture.client.finish(id, { 200, "", "late" }, fixture.clock.now() + Milliseconds(3000), nullptr);
    fixture.run(Milliseconds(500));
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::Completed);
}

// Guards against a claimant that sends the call after it has reported "not run" to its caller.
TEST_CASE("a claimant that gave up never sends the call, and its claim is released")
{
    Fixture fixture;
    fixture.dropReplies = true;
    auto id = fixture.begin();
    fixture.run(Milliseconds(4000));
    CHECK(fixture.decision == ClaimDecision::NotRun);
    CHECK_FALSE(fixture.client.tryStartCall(id));
    CHECK(fixture.client.pending() == 0);
    CHECK(fixture.collector->index().size() == 0);
    // The claim message arrives again: it must not create the claim again.
    ClaimRequestT late;
    late.keyHash = key;
    late.claimant = "i#1/" + std::to_string(id);
    std::optional<ClaimStatus> status;
    fixture.collector->claim(late, [&status](const ClaimResponseT& response) { status = response.status; });
    fixture.run(Milliseconds(500));
    CHECK(status == ClaimStatus::Unavailable);
    CHECK(fixture.collector->index().size() == 0);
    fixture.dropReplies = false;
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::Run);
}

// Guards against a call that is sent without a durable claim while the store is down.
TEST_CASE("while the store is down a claim ends as not run")
{
    Fixture fixture;
    fixture.run(Milliseconds(200));
    fixture.store.setDown(true);
    auto id = fixture.begin();
    fixture.run(Milliseconds(4000));
    CHECK(fixture.decision == ClaimDecision::NotRun);
    CHECK_FALSE(fixture.client.tryStartCall(id));
    fixture.store.setDown(false);
    fixture.run(Milliseconds(10000));
    CHECK(fixture.client.pending() == 0);
    fixture.begin();
    fixture.run(Milliseconds(500));
    CHECK(fixture.decision == ClaimDecision::Run);
}

// Guards against claims that expire too early or never, and against a snapshot that lacks a claim.
TEST_CASE("claims expire after the retention period, and a snapshot contains all of them")
{
    ClaimIndex index { Milliseconds(1000) };
    auto apply = [&index](ClaimCommandKind kind, const std::string& name, std::uint64_t atMs) {
        ClaimCommandT command;
        command.kind = kind;
        command.keyHash = name;
        command.claimant = "claimant of " + name;
        command.atMs = atMs;
        command.body.resize(kind == ClaimCommandKind::Completed ? 50000 : 0);
        auto bytes = packStored<ClaimCommand>(command);
        bool applied = index.apply({}, bytes).has_value();
        index.recordApplied(0);
        return applied;
    };
    for (int i = 0; i < 30; ++i) {
        CHECK(apply(ClaimCommandKind::Claim, std::to_string(i), 100));
        CHECK(apply(ClaimCommandKind::Completed, std::to_string(i), 200));
    }
    CHECK(apply(ClaimCommandKind::Release, "given up", 200));
    auto pages = index.snapshot();
    CHECK(pages.size() == 4);
    for (const auto& page : pages)
        CHECK(page.size() < maxSnapshotPageBytes);
    ClaimIndex restored { Milliseconds(1000) };
    REQUIRE(restored.restore(1, pages).has_value());
    CHECK(restored.snapshot() == pages);
    index = restored;
    CHECK_FALSE(apply(ClaimCommandKind::Claim, "given up", 300));
    CHECK(apply(ClaimCommandKind::Claim, "later", 1200));
    CHECK(index.size() == 31);
    CHECK(apply(ClaimCommandKind::Claim, "much later", 1201));
    CHECK(index.size() == 2);
    CHECK(apply(ClaimCommandKind::Claim, "given up", 1201));
    CHECK(restored.restore(1, { "broken" }).error().kind == ErrorKind::Corrupt);
    CHECK(restored.size() == 30);
}

// Guards against two different calls with the same key hash, such as calls of two organisations.
TEST_CASE("moving characters between the components of a claim key changes its hash")
{
    CHECK(claimKeyHash("a", "bc", "d") != claimKeyHash("ab", "c", "d"));
    CHECK(claimKeyHash("a", "b", "k") != claimKeyHash("c", "b", "k"));
}
