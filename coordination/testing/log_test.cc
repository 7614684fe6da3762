#include "coordination/coordination.h"
#include "coordination/testing/fakestore.h"
#include "coordination/testing/listmachine.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr Milliseconds tickInterval { 20 };

// One instance with its own connection to the shared store.
struct Writer {
    Writer(ManualClock& clock, std::shared_ptr<FakeObjects> objects, const std::string& name,
        std::uint64_t snapshotInterval = 256, std::uint64_t keptRecords = 64,
        Milliseconds commitInterval = {})
        : clock(clock)
        , store(clock, std::move(objects))
        , log({ .name = "test",
                  .writer = name,
                  .commitInterval = commitInterval,
                  .snapshotInterval = snapshotInterval,
                  .keptRecords = keptRecords },
              store, machine, clock.reader())
    {
        log.start();
    }

    std::shared_ptr<std::optional<Result<LogPosition>>> append(
        const std::string& command, Milliseconds wait = Milliseconds(5000))
    {
        auto result = std::make_shared<std::optional<Result<LogPosition>>>();
        log.append(command, clock.now() + wait, [result](Result<LogPosition> appended) {
            CHECK_FALSE(result->has_value());
            *result = std::move(appended);
        });
        return result;
    }

    ManualClock& clock;
    FakeStore store;
    ListMachine machine;
    Log log;
};

void run(ManualClock& clock, Milliseconds duration, const std::vector<Writer*>& writers)
{
    for (Milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
        clock.advance(tickInterval);
        for (auto* writer : writers)
            writer->log.tick();
    }
}

using Commands = std::vector<std::string>;

} // namespace

// Guards against store calls per command instead of per commit. The store limits the rate of calls, so they
// are the scarce resource.
TEST_CASE("waiting commands share one create and one read")
{
    ManualClock clock;
    Writer writer(clock, std::make_shared<FakeObjects>(), "a");
    run(clock, Milliseconds(100), { &writer });
    writer.store.resetCounts();
    auto first = writer.append("first");
    for (int i = 0; i < 20; ++i)
        writer.append("more");
    run(clock, Milliseconds(100), { &writer });
    REQUIRE(first->has_value());
    CHECK(first->value().has_value());
    CHECK(writer.log.head() == 2);
    CHECK(writer.machine.commands().size() == 21);
    CHECK(writer.store.writes() == 2);
    CHECK(writer.store.reads() == 2);
}

// Guards against commits more often than once per commit interval, from which the fleet's share of the
// store's rate limit is calculated.
TEST_CASE("the commit interval limits the rate of writes")
{
    ManualClock clock;
    Writer writer(clock, std::make_shared<FakeObjects>(), "a", 256, 64, Milliseconds(200));
    for (int i = 0; i < 100; ++i) {
        writer.append("x");
        run(clock, tickInterval, { &writer });
    }
    CHECK(writer.store.writes() <= 10 + 1);
    run(clock, Milliseconds(400), { &writer });
    CHECK(writer.machine.commands().size() == 100);
}

// Guards against a command that is dropped or applied twice after the answer to its write was lost.
TEST_CASE("after a lost answer the token in the record shows whether the write took effect")
{
    for (auto fault :
        { StoreFault::AnswerLost, StoreFault::AnswerLostLate, StoreFault::AnswerLostNoEffect }) {
        CAPTURE(static_cast<int>(fault));
        ManualClock clock;
        auto objects = std::make_shared<FakeObjects>();
        Writer writer(clock, objects, "a");
        Writer other(clock, objects, "b");
        writer.store.addRule(
            { .fault = fault, .call = StoreCall::Create, .count = 1, .delay = Milliseconds(1500) });
        auto appended = writer.append("once", Milliseconds(10000));
        run(clock, Milliseconds(1200), { &writer, &other });
        other.append("other");
        run(clock, Milliseconds(8000), { &writer, &other });
        REQUIRE(appended->has_value());
        CHECK(appended->value().has_value());
        other.append("end");
        run(clock, Milliseconds(1000), { &writer, &other });
        CHECK(other.machine.count("once") == 1);
        CHECK(other.machine.count("other") == 1);
    }
}

// Guards against two records under one number, and against a writer that drops its command when another
// writer has taken the number.
TEST_CASE("writers that compete for record numbers all append their commands, in one order")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer first(clock, objects, "a");
    Writer second(clock, objects, "b");
    for (int i = 0; i < 30; ++i) {
        first.append("a" + std::to_string(i));
        second.append("b" + std::to_string(i));
        run(clock, Milliseconds(40), { &first, &second });
    }
    run(clock, Milliseconds(1000), { &first, &second });
    first.log.follow(LogFollow::Watch);
    second.log.follow(LogFollow::Watch);
    run(clock, Milliseconds(1000), { &first, &second });
    CHECK(first.machine.commands() == second.machine.commands());
    CHECK(first.machine.commands().size() == 60);
    CHECK(first.log.statistics().lostRaces + second.log.statistics().lostRaces > 0);
}

// Guards against a command that is reported as not written and is in the store.
TEST_CASE("an append while the store is down fails with Unavailable and is not written later")
{
    ManualClock clock;
    Writer writer(clock, std::make_shared<FakeObjects>(), "a");
    run(clock, Milliseconds(100), { &writer });
    writer.store.setDown(true);
    auto appended = writer.append("never", Milliseconds(1000));
    run(clock, Milliseconds(2000), { &writer });
    REQUIRE(appended->has_value());
    CHECK(appended->value().error().kind == ErrorKind::Unavailable);
    writer.store.setDown(false);
    run(clock, Milliseconds(5000), { &writer });
    auto next = writer.append("next");
    run(clock, Milliseconds(1000), { &writer });
    CHECK(writer.machine.commands() == Commands { "next" });
}

// Guards against a definite result for a write that may or may not have taken effect.
TEST_CASE("an append whose outcome is not known at its deadline fails with Unknown")
{
    ManualClock clock;
    Writer writer(clock, std::make_shared<FakeObjects>(), "a");
    run(clock, Milliseconds(100), { &writer });
    writer.store.addRule({ .fault = StoreFault::AnswerLost, .call = StoreCall::Create, .count = 1 });
    writer.store.addRule({ .fault = StoreFault::Down, .call = StoreCall::Read });
    auto appended = writer.append("open", Milliseconds(2000));
    run(clock, Milliseconds(3000), { &writer });
    REQUIRE(appended->has_value());
    CHECK(appended->value().error().kind == ErrorKind::Unknown);
    writer.store.clearRules();
    run(clock, Milliseconds(5000), { &writer });
    CHECK(writer.machine.commands() == Commands { "open" });
}

// Guards against success for a command that the state machine refused.
TEST_CASE("an error of the state machine is returned to the caller")
{
    ManualClock clock;
    Writer writer(clock, std::make_shared<FakeObjects>(), "a");
    auto bad = writer.append("bad");
    auto good = writer.append("good");
    run(clock, Milliseconds(200), { &writer });
    REQUIRE(bad->has_value());
    CHECK(bad->value().error().kind == ErrorKind::InvalidArgument);
    CHECK(good->value().has_value());
    auto large = writer.append(std::string(300 * 1024, 'x'));
    run(clock, Milliseconds(200), { &writer });
    CHECK(large->value().error().kind == ErrorKind::TooLarge);
}

// Guards against a log that grows without limit, and against a start that replays every record.
TEST_CASE("a start replays only the records after the snapshot, and old records are removed")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a", 10, 4);
    for (int i = 0; i < 95; ++i) {
        writer.append("c" + std::to_string(i));
        run(clock, Milliseconds(40), { &writer });
    }
    run(clock, Milliseconds(20000), { &writer });
    CHECK(writer.log.statistics().snapshots == 9);
    CHECK(writer.log.statistics().removedRecords == 86);
    CHECK(objects->find("log/test/record/00000000000000000086") == std::nullopt);
    CHECK(objects->find("log/test/record/00000000000000000087").has_value());
    Writer replacement(clock, objects, "b", 10, 4);
    run(clock, Milliseconds(200), { &replacement });
    CHECK(replacement.log.loaded());
    CHECK(replacement.log.head() == 95);
    CHECK(replacement.machine.commands() == writer.machine.commands());
    // 2 reads of the manifest, 12 pages (8 commands each), 1 list.
    CHECK(replacement.store.reads() == 15);
    std::size_t pages = 0;
    for (const auto& [key, object] : objects->all())
        pages += key.find("/page/") != std::string::npos ? 1 : 0;
    CHECK(pages == 12);
}

// Guards against a snapshot that is lost or written twice when the answers to its writes are lost.
TEST_CASE("a snapshot is completed when answers to its writes are lost")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a", 4, 2);
    writer.store.addRule({ .fault = StoreFault::AnswerLost, .keyFragment = "/page/", .count = 1 });
    writer.store.addRule({ .fault = StoreFault::AnswerLost,
        .call = StoreCall::Create,
        .keyFragment = "/manifest",
        .count = 1 });
    writer.store.addRule({ .fault = StoreFault::AnswerLostNoEffect,
        .call = StoreCall::Update,
        .keyFragment = "/manifest",
        .count = 1 });
    for (int i = 0; i < 9; ++i) {
        writer.append("c" + std::to_string(i));
        run(clock, Milliseconds(5000), { &writer });
    }
    CHECK(writer.log.statistics().snapshots == 2);
    Writer replacement(clock, objects, "b");
    run(clock, Milliseconds(200), { &replacement });
    CHECK(replacement.machine.commands() == writer.machine.commands());
}

// Guards against the one gap in numbering by create calls: once a record has been removed, a paused writer
// can create a record under its number again.
TEST_CASE("a record that a paused writer creates under a removed number is not accepted")
{
    for (bool pausedForLong : { false, true }) {
        CAPTURE(pausedForLong);
        ManualClock clock;
        auto objects = std::make_shared<FakeObjects>();
        Writer paused(clock, objects, "a", 4, 2);
        Writer reader(clock, objects, "r", 4, 2);
        Writer active(clock, objects, "b", 4, 2);
        run(clock, Milliseconds(100), { &paused, &reader, &active });
        paused.store.addRule({ .fault = StoreFault::AnswerLostLate,
            .call = StoreCall::Create,
            .count = 1,
            .delay = Milliseconds(60000) });
        auto appended = paused.append("late", Milliseconds(300000));
        run(clock, Milliseconds(20), { &paused });
        paused.store.setPaused(true);
        for (int i = 0; i < (pausedForLong ? 40 : 4); ++i) {
            active.append("b" + std::to_string(i));
            run(clock, Milliseconds(1000), { &active });
        }
        run(clock, Milliseconds(60000), { &active });
        // The late create has either taken effect because the record was removed, or failed because it was
        // not.
        auto again = objects->find("log/test/record/00000000000000000001");
        CHECK(again.has_value());
        paused.store.setPaused(false);
        run(clock, Milliseconds(20000), { &paused, &reader, &active });
        REQUIRE(appended->has_value());
        reader.log.follow(LogFollow::Watch);
        run(clock, Milliseconds(5000), { &paused, &reader, &active });
        active.append("end");
        run(clock, Milliseconds(5000), { &paused, &reader, &active });
        CHECK(reader.machine.commands() == active.machine.commands());
        bool acknowledged = appended->value().has_value();
        CHECK(reader.machine.count("late") == (acknowledged ? 1 : 0));
        if (!acknowledged)
            CHECK(appended->value().error().kind == ErrorKind::Unknown);
    }
}

// Guards against a follower that misses records, returns to an older state, or confirms a head without an
// answer from the store.
TEST_CASE("a watching follower applies each record once and confirms the head")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a");
    Writer follower(clock, objects, "b");
    follower.log.follow(LogFollow::Watch);
    run(clock, Milliseconds(2000), { &writer, &follower });
    REQUIRE(follower.log.headConfirmedAt().has_value());
    CHECK(clock.now() - *follower.log.headConfirmedAt() < Milliseconds(700));
    follower.store.resetCounts();
    run(clock, Milliseconds(10000), { &writer, &follower });
    CHECK(follower.store.reads() <= 20 + 3);
    writer.append("x");
    run(clock, Milliseconds(40), { &writer, &follower });
    CHECK(follower.machine.count("x") == 1);
    follower.store.setDown(true);
    MonotonicTime downAt = clock.now();
    run(clock, Milliseconds(5000), { &writer, &follower });
    CHECK(*follower.log.headConfirmedAt() <= downAt);
    follower.store.setDown(false);
    follower.store.addRule({ .fault = StoreFault::SilentWatch, .call = StoreCall::Watch, .count = 1 });
    run(clock, Milliseconds(2500), { &writer, &follower });
    writer.append("y");
    run(clock, Milliseconds(2500), { &writer, &follower });
    CHECK(follower.machine.count("y") == 1);
}

// Guards against records from peers that are applied out of order, twice, or with a gap.
TEST_CASE("records from peers are applied in order and without the store, and never undo newer ones")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a");
    Writer peer(clock, objects, "b");
    peer.store.setDown(true);
    for (int i = 0; i < 6; ++i) {
        writer.append("c" + std::to_string(i));
        run(clock, Milliseconds(40), { &writer, &peer });
    }
    LogPushT all = writer.log.makePush(0, 100000);
    LogPushT tail = writer.log.makePush(3, 100000);
    CHECK(all.records.size() == 6);
    CHECK(peer.log.accept(tail).has_value());
    CHECK(peer.log.head() == 0);
    CHECK(peer.log.accept(all).has_value());
    CHECK(peer.log.head() == 6);
    CHECK(peer.log.accept(tail).has_value());
    CHECK(peer.machine.commands() == writer.machine.commands());
    CHECK_FALSE(peer.log.headConfirmedAt().has_value());
    peer.log.peerConfirmed(7, clock.now());
    CHECK_FALSE(peer.log.headConfirmedAt().has_value());
    peer.log.peerConfirmed(6, clock.now());
    CHECK(peer.log.headConfirmedAt() == clock.now());
    tail.records[0]->payload.resize(3);
    tail.records[0]->number = 7;
    CHECK(peer.log.accept(tail).error().kind == ErrorKind::Corrupt);
}

// Guards against a peer that lacks more records than are held in memory and is never sent a snapshot.
TEST_CASE("a peer that lacks too many records is sent a snapshot")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a");
    for (int i = 0; i < 10; ++i) {
        writer.append(std::to_string(i) + std::string(100 * 1024, 'x'));
        run(clock, Milliseconds(40), { &writer });
    }
    LogPushT push = writer.log.makePush(0, 1500 * 1024);
    CHECK(push.snapshotNumber == 10);
    CHECK(writer.log.makePush(0, 1000).snapshotNumber == 0);
    Writer peer(clock, objects, "b");
    peer.store.setDown(true);
    CHECK(peer.log.accept(push).has_value());
    CHECK(peer.machine.commands() == writer.machine.commands());
}

// Guards against a writer that appends its commands again when it receives its own record from a peer.
TEST_CASE("an append succeeds when the writer receives its own record from a peer")
{
    ManualClock clock;
    auto objects = std::make_shared<FakeObjects>();
    Writer writer(clock, objects, "a");
    Writer peer(clock, objects, "b");
    peer.log.follow(LogFollow::Watch);
    run(clock, Milliseconds(100), { &writer, &peer });
    writer.store.addRule({ .fault = StoreFault::AnswerLost, .call = StoreCall::Create, .count = 1 });
    auto appended = writer.append("mine");
    run(clock, Milliseconds(100), { &writer, &peer });
    CHECK(writer.log.accept(peer.log.makePush(0, 100000)).has_value());
    REQUIRE(appended->has_value());
    CHECK(appended->value().has_value());
    run(clock, Milliseconds(5000), { &writer, &peer });
    CHECK(peer.machine.commands() == Commands { "mine" });
}
