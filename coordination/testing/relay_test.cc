#include "coordination/coordination.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

struct Row {
    const char* name;
    bool reportsState;
    int headAge; // ms; negative: never
    int reportAge; // ms; negative: none
    bool serving;
    std::size_t heard;
    std::uint64_t heardDigest;
    int oldest; // ms
    std::uint64_t heardRevision;
    NewWorkDecision answer;
};

using Answer = NewWorkDecision;

// The revision in force is 7; three instances are expected, with digest 30.
const std::vector<Row> rows = {
    { "current, plain service", false, 2000, -1, false, 1, 10, 0, 7, Answer::Current },
    { "current, engine without a report", true, 0, -1, false, 1, 10, 0, 7, Answer::Current },
    { "current wins over an old report", true, 2000, 0, false, 1, 10, 0, 7, Answer::Current },
    { "not current, fresh report that it serves", true, 2001, 2000, true, 1, 10, 0, 7, Answer::OwnReport },
    { "not current, fresh report that it leaves", true, 2001, 0, false, 3, 30, 0, 7, Answer::NotServing },
    { "not current, old report", true, 2001, 2001, true, 3, 30, 0, 7, Answer::NoFreshReport },
    { "not current, no report", true, -1, -1, true, 3, 30, 0, 7, Answer::NoFreshReport },
    { "all heard, none current", false, 2001, -1, false, 3, 30, 2000, 7, Answer::NoChangePossible },
    { "never confirmed, all heard", false, -1, -1, false, 3, 30, 0, 7, Answer::NoChangePossible },
    { "a report is no help for a plain service", false, -1, 0, true, 2, 20, 0, 7, Answer::PeersMissing },
    { "one missing", false, 2001, -1, false, 2, 20, 0, 7, Answer::PeersMissing },
    { "one counted twice hides a missing one", false, 2001, -1, false, 3, 31, 0, 7, Answer::PeersMissing },
    { "more than expected", false, 2001, -1, false, 4, 40, 0, 7, Answer::PeersMissing },
    { "statements too old", false, 2001, -1, false, 3, 30, 2001, 7, Answer::PeersMissing },
    { "a peer knows a newer revision", false, 2001, -1, false, 3, 30, 0, 8, Answer::PeersMissing },
    { "a peer is behind", false, 2001, -1, false, 3, 30, 0, 6, Answer::NoChangePossible },
    { "nobody heard", false, -1, -1, false, 1, 30, 0, 7, Answer::PeersMissing },
};

std::optional<Milliseconds> age(int milliseconds)
{
    return milliseconds < 0 ? std::nullopt : std::optional(Milliseconds(milliseconds));
}

std::vector<LogRecordT> recordsFrom(std::uint64_t first, std::uint64_t last)
{
    std::vector<LogRecordT> records;
    for (std::uint64_t number = first; number <= last; ++number) {
        LogRecordT record;
        record.number = number;
        records.push_back(record);
    }
    return records;
}

LogPushT pushOf(std::uint64_t first, std::uint64_t last)
{
    LogPushT push;
    push.log = "configuration";
    for (const LogRecordT& record : recordsFrom(first, last))
        push.records.push_back(std::make_unique<LogRecordT>(record));
    return push;
}

struct Fixture {
    Outbox outbox;
    Membership membership { { "a", "10.0.0.1:1", "x", 1 }, {}, outbox, 1 };
    ConfigurationRelay relay { membership, {}, outbox, 1 };
    MonotonicTime now { std::chrono::hours(1) };

    Fixture()
    {
        membership.seed({ { "b", "10.0.0.2:1", "x" }, { "c", "10.0.0.3:1", "x" } }, now);
        relay.linkUp("b", now);
        relay.linkUp("c", now);
    }
    void hear(const std::string& peer, const HeartbeatT& heartbeat, std::optional<Milliseconds> transit)
    {
        LinkView link { peer };
        link.transit = transit;
        relay.accept(link, heartbeat, now);
    }
};

} // namespace

// Guards against new work to an upstream that may be leaving, and against refusals while no change is
// possible.
TEST_CASE("the rule for new work, row by row")
{
    for (const Row& row : rows) {
        CAPTURE(row.name);
        NewWorkInputs question;
        question.reportsState = row.reportsState;
        question.headConfirmedAge = age(row.headAge);
        question.ownReportAge = age(row.reportAge);
        question.ownReportServing = row.serving;
        question.revision = 7;
        question.expectedInstances = row.heard == 1 && row.heardDigest == 30 ? 1 : 3;
        question.expectedDigest = 30;
        question.peerCoverage = { row.heard, row.heardDigest, Milliseconds(row.oldest), row.heardRevision };
        CHECK(decideNewWork(question) == row.answer);
        bool allowed = row.answer == Answer::Current || row.answer == Answer::OwnReport
            || row.answer == Answer::NoChangePossible;
        CHECK(isAllowed(row.answer) == allowed);
    }
}

// Guards against currency that is claimed for a head that is not in force yet.
TEST_CASE_FIXTURE(Fixture, "a confirmation counts when its head is in force")
{
    relay.inForce(1, recordsFrom(1, 1), now);
    relay.confirm(3, now);
    CHECK(!relay.confirmedAge(now));
    relay.inForce(2, recordsFrom(2, 2), now);
    CHECK(!relay.current(now));
    relay.inForce(3, recordsFrom(3, 3), now);
    CHECK(relay.current(now + currencyLimit));
    CHECK(!relay.current(now + currencyLimit + Milliseconds(1)));
}

// Guards against a configuration that goes back to an older revision.
TEST_CASE_FIXTURE(Fixture, "the revision never goes back")
{
    relay.inForce(5, {}, now);
    relay.inForce(4, recordsFrom(4, 4), now);
    CHECK(relay.revision() == 5);
    CHECK(relay.receive("b", pushOf(3, 5), now).records.empty());
    LogPushT old = pushOf(4, 4);
    old.snapshotNumber = 3;
    old.snapshot = { 1 };
    CHECK(relay.receive("b", old, now).snapshotNumber == 0);
}

// Guards against a heartbeat that makes an instance current although its transit is unknown or long, or
// although the peer is at a newer revision, and against reading an absent confirmation as a fresh one.
TEST_CASE_FIXTURE(Fixture, "a peer's confirmation counts with its transit and for its revision")
{
    relay.inForce(7, {}, now);
    HeartbeatT heartbeat;
    heartbeat.revision = 7;
    hear("b", heartbeat, Milliseconds(1));
    CHECK(!relay.confirmedAge(now));
    heartbeat.headConfirmedMs = 1 + 500;
    hear("b", heartbeat, std::nullopt);
    CHECK(!relay.confirmedAge(now));
    hear("b", heartbeat, Milliseconds(1600));
    CHECK(relay.confirmedAge(now) == Milliseconds(2100));
    heartbeat.revision = 8;
    hear("b", heartbeat, Milliseconds(0));
    CHECK(relay.confirmedAge(now) == Milliseconds(2100));
    relay.inForce(8, {}, now);
    CHECK(relay.confirmedAge(now) == Milliseconds(500));
}

// Guards against gaps in what is applied, and against records that reach a neighbour only by its own poll.
TEST_CASE_FIXTURE(Fixture, "records are applied in order, pushed on and asked for")
{
    auto update = relay.receive("b", pushOf(1, 2), now);
    REQUIRE(update.records.size() == 2);
    outbox.drain();
    relay.inForce(2, update.records, now, "b");
    auto sent = outbox.drain();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].peer == "c");
    CHECK(relay.receive("b", pushOf(4, 4), now).records.empty());
    relay.tick(now);
    CHECK(outbox.drain().empty());
    relay.tick(now + Milliseconds(300));
    sent = outbox.drain();
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].body.AsLogFetch());
    CHECK(sent[0].body.AsLogFetch()->from == 3);
}

// Guards against an answer to a fetch that leaves out records which are no longer kept.
TEST_CASE_FIXTURE(Fixture, "a fetch of records that are not kept asks for a snapshot")
{
    relay.inForce(9, {}, now);
    relay.inForce(10, recordsFrom(10, 10), now);
    outbox.drain();
    LogFetchT fetch;
    fetch.log = "configuration";
    fetch.from = 10;
    relay.receive("b", fetch, now);
    CHECK(outbox.drain().size() == 1);
    fetch.from = 5;
    relay.receive("b", fetch, now);
    CHECK(outbox.drain().empty());
    CHECK(relay.takeSnapshotRequests().size() == 1);
}
