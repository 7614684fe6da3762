#include "coordination/coordination.h"
#include "coordination/testing/fakestore.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr Milliseconds tickInterval { 20 };

struct Candidate {
    Candidate(ManualClock& clock, std::shared_ptr<FakeObjects> objects, const std::string& name)
        : store(clock, std::move(objects))
        , lease({ .name = "test", .holder = name }, store, clock.reader())
    {
        lease.setWanted(true);
    }

    FakeStore store;
    Lease lease;
};

void run(ManualClock& clock, Milliseconds duration, const std::vector<Candidate*>& candidates)
{
    for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
        clock.advance(tickInterval);
        for (auto* candidate : candidates)
            candidate->lease.tick();
    }
}

struct Pair {
    ManualClock clock;
    std::shared_ptr<FakeObjects> objects = std::make_shared<FakeObjects>();
    Candidate first { clock, objects, "a" };
    Candidate second { clock, objects, "b" };
};

} // namespace

// Guards against two holders at the same time, and against a renewal that needs more than one write.
TEST_CASE("one candidate holds the lease and renews it with one write")
{
    Pair pair;
    run(pair.clock, Milliseconds(1000), { &pair.first, &pair.second });
    CHECK(pair.first.lease.held());
    CHECK_FALSE(pair.second.lease.held());
    CHECK(pair.first.lease.fence() == 1);
    pair.first.store.resetCounts();
    for (int i = 0; i < 1500; ++i) {
        run(pair.clock, tickInterval, { &pair.first, &pair.second });
        REQUIRE(pair.first.lease.held());
        REQUIRE_FALSE(pair.second.lease.held());
    }
    CHECK(pair.first.store.reads() == 0);
    CHECK(pair.first.store.writes() <= 15 + 1);
    CHECK(pair.second.lease.seenHolder() == "a");
}

// Guards against a release after which the next holder waits for expiry, and a fencing number that does not
// increase.
TEST_CASE("after a release another candidate acquires the lease with the next fencing number")
{
    Pair pair;
    run(pair.clock, Milliseconds(1000), { &pair.first, &pair.second });
    pair.first.lease.setWanted(false);
    CHECK_FALSE(pair.first.lease.held());
    run(pair.clock, Milliseconds(4500), { &pair.first, &pair.second });
    CHECK(pair.second.lease.held());
    CHECK(pair.second.lease.fence() == 2);
}

// Guards against a paused holder that still reports the lease as held when it resumes after another candidate
// has acquired the lease.
TEST_CASE("a holder that was paused until its lease expired does not hold the lease afterwards")
{
    Pair pair;
    run(pair.clock, Milliseconds(1000), { &pair.first, &pair.second });
    pair.first.store.setPaused(true);
    run(pair.clock, Milliseconds(12000), { &pair.second });
    CHECK(pair.second.lease.held());
    CHECK(pair.second.lease.fence() == 2);
    CHECK_FALSE(pair.first.lease.held());
    pair.first.store.setPaused(false);
    for (int i = 0; i < 500; ++i) {
        run(pair.clock, tickInterval, { &pair.first, &pair.second });
        REQUIRE_FALSE(pair.first.lease.held());
    }
}

// Guards against an acquisition or a renewal that is treated as failed when only its answer was lost.
TEST_CASE("a holder keeps the lease when answers are lost")
{
    for (auto fault :
        { StoreFault::AnswerLost, StoreFault::AnswerLostLate, StoreFault::AnswerLostNoEffect }) {
        CAPTURE(static_cast<int>(fault));
        Pair pair;
        pair.first.store.addRule(
            { .fault = fault, .call = StoreCall::Create, .count = 1, .delay = Milliseconds(1500) });
        pair.first.store.addRule({ .fault = fault,
            .call = StoreCall::Update,
            .skip = 2,
            .count = 1,
            .delay = Milliseconds(1500) });
        run(pair.clock, Milliseconds(4000), { &pair.first });
        CHECK(pair.first.lease.held());
        for (int i = 0; i < 1000; ++i) {
            run(pair.clock, tickInterval, { &pair.first, &pair.second });
            REQUIRE(pair.first.lease.held());
        }
        CHECK(pair.first.lease.fence() == 1);
    }
}

// Guards against a holder that continues to act when an outage of the store lasts longer than its lease.
TEST_CASE("during an outage the lease expires by the holder's own clock")
{
    Pair pair;
    run(pair.clock, Milliseconds(1000), { &pair.first, &pair.second });
    pair.first.store.setDown(true);
    pair.second.store.setDown(true);
    run(pair.clock, Milliseconds(2000), { &pair.first, &pair.second });
    CHECK(pair.first.lease.held());
    run(pair.clock, Milliseconds(4000), { &pair.first, &pair.second });
    CHECK_FALSE(pair.first.lease.held());
    CHECK_FALSE(pair.second.lease.held());
    pair.first.store.setDown(false);
    run(pair.clock, Milliseconds(1000), { &pair.first, &pair.second });
    CHECK(pair.first.lease.held());
    CHECK(pair.first.lease.fence() == 1);
}
