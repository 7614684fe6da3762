#include "base/hash.h"
#include "coordination/coordination.h"
#include "coordination/directorymessage.h"

#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

constexpr Milliseconds hold { 1700 };
const MonotonicTime start { std::chrono::hours(1) };

UpstreamEntry entry(const std::string& id, std::uint64_t revision, bool draining = false)
{
    UpstreamEntry result;
    result.id = id;
    result.pool = "models";
    result.endpoint = { "10.0.0.1", 8000 };
    result.revision = revision;
    result.draining = draining;
    return result;
}

UpstreamDirectory loaded()
{
    UpstreamDirectory directory({ hold });
    directory.apply({ 0, 10, { entry("a", 3), entry("b", 4), entry("c", 5) }, {} }, start);
    return directory;
}

} // namespace

TEST_CASE("a draining entry that leaves is removed at once")
{
    UpstreamDirectory directory = loaded();
    CHECK(directory.apply({ 10, 11, { entry("a", 11, true) }, {} }, start));
    CHECK(directory.upstreams().at("a").draining);
    CHECK(directory.apply({ 11, 12, {}, { { "a", 12 } } }, start));
    CHECK(directory.upstreams().count("a") == 0);
}

// Guards against a directory without upstreams when all entries lapse during an outage of the registry.
TEST_CASE("entries that disappear without a drain lapse, and are removed unless they return in time")
{
    UpstreamDirectory directory = loaded();
    CHECK(directory.apply({ 10, 13, {}, { { "a", 11 }, { "b", 12 }, { "c", 13 } } }, start));
    CHECK(directory.upstreams().size() == 3);
    CHECK(directory.upstreams().at("a").lapsed);
    CHECK(directory.apply({ 13, 14, { entry("b", 14) }, {} }, start + Milliseconds(900)));
    CHECK_FALSE(directory.upstreams().at("b").lapsed);
    CHECK_FALSE(directory.expire(start + hold - Milliseconds(1)));
    CHECK(directory.expire(start + hold));
    CHECK(directory.upstreams().size() == 1);
    CHECK(directory.upstreams().count("b") == 1);
}

TEST_CASE("a complete list removes entries that it does not contain, and older lists change nothing")
{
    UpstreamDirectory directory = loaded();
    CHECK_FALSE(directory.apply({ 0, 9, { entry("z", 9) }, {} }, start));
    CHECK(directory.apply({ 0, 20, { entry("a", 3) }, {} }, start));
    CHECK(directory.upstreams().at("b").lapsed);
    CHECK(directory.revision() == 20);
    CHECK_FALSE(directory.apply({ 15, 19, { entry("z", 19) }, {} }, start));
    CHECK_FALSE(directory.apply({ 25, 30, { entry("z", 30) }, {} }, start));
}

TEST_CASE("an upstream that restarts under its id is a change")
{
    UpstreamDirectory directory = loaded();
    UpstreamEntry again = entry("a", 11);
    again.started = 5000;
    CHECK(directory.apply({ 10, 11, { again }, {} }, start));
    CHECK(directory.upstreams().at("a").started == 5000);
}

TEST_CASE("a peer that is behind gets the changes since, including removals that are on hold")
{
    UpstreamDirectory directory = loaded();
    directory.apply({ 10, 12, { entry("d", 11) }, { { "a", 12 } } }, start);
    DirectoryChanges changes = directory.changesSince(10);
    CHECK(changes.from == 10);
    REQUIRE(changes.entries.size() == 1);
    CHECK(changes.entries[0].id == "d");
    REQUIRE(changes.removed.size() == 1);
    CHECK(changes.removed[0].id == "a");

    UpstreamDirectory peer({ hold });
    peer.apply({ 0, 10, { entry("a", 3), entry("b", 4), entry("c", 5) }, {} }, start);
    CHECK(peer.apply(changes, start));
    CHECK(peer.upstreams().at("a").lapsed);
    directory.expire(start + hold);
    CHECK(directory.changesSince(10).removed.size() == 1);
}

TEST_CASE("a peer that is behind the kept removals gets the complete list")
{
    UpstreamDirectory directory({ Milliseconds(0), 2 });
    directory.apply({ 0, 10, { entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4) }, {} }, start);
    for (const char* id : { "a", "b", "c" }) {
        std::uint64_t next = directory.revision() + 1;
        directory.apply({ directory.revision(), next, {}, { { id, next } } }, start);
        directory.expire(start);
    }
    CHECK(directory.changesSince(10).from == 0);
    CHECK(directory.changesSince(12).from == 12);
    CHECK(directory.changesSince(0).entries.size() == 1);
}

namespace {

UpstreamEntry started(UpstreamEntry listed, std::int64_t at)
{
    listed.started = at;
    return listed;
}

// The revision after a restore from an older copy.
std::uint64_t restored(std::uint64_t revision) { return registryRevision(1, revision); }

} // namespace

// Guards against a list that stands still after a restore, and against changes from before it that arrive
// late.
TEST_CASE("revisions of a restored registry are newer than all from before it")
{
    UpstreamDirectory directory = loaded();
    CHECK(
        directory.apply({ 0, restored(5), { entry("a", restored(3)), entry("d", restored(5)) }, {} }, start));
    CHECK(directory.upstreams().count("d") == 1);
    CHECK_FALSE(directory.apply({ 10, 11, { entry("z", 11) }, {} }, start));
    CHECK_FALSE(directory.apply({ 0, 90, { entry("z", 90) }, {} }, start));
    CHECK(directory.changesSince(11).from == 0);
    CHECK(directory.apply({ restored(5), restored(6), { entry("e", restored(6)) }, {} }, start));
}

// Guards against requests that all go elsewhere until the upstreams have written their entries again.
TEST_CASE("entries that a restored registry lost stay as the last choice for longer than others")
{
    UpstreamDirectory directory = loaded();
    CHECK(directory.apply({ 0, restored(5), { entry("a", restored(3)) }, {} }, start));
    CHECK(directory.upstreams().at("b").lapsed);
    CHECK_FALSE(directory.expire(start + hold));
    CHECK(directory.apply({ restored(5), restored(6), { entry("b", restored(6)) }, {} }, start + hold));
    CHECK_FALSE(directory.upstreams().at("b").lapsed);
    CHECK(directory.expire(start + Milliseconds(3000)));
    CHECK(directory.upstreams().size() == 2);
}

TEST_CASE("draining is final until the upstream starts again, whatever a restored registry lists")
{
    UpstreamDirectory directory({ hold });
    directory.apply({ 0, 10, { started(entry("a", 3), 1000), started(entry("b", 4), 2000) }, {} }, start);
    directory.apply({ 10, 12, { started(entry("a", 11, true), 1000) }, { { "b", 12 } } }, start);
    directory.expire(start + hold);
    directory.apply(
        { 0, restored(5), { started(entry("a", restored(3)), 1000), started(entry("b", restored(4)), 2000) },
            {} },
        start);
    CHECK(directory.upstreams().at("a").draining);
    CHECK(directory.upstreams().at("b").lapsed); // it had vanished
    CHECK(directory.takeContradicted().size() == 2);
    directory.apply({ restored(5), restored(6), { started(entry("a", restored(6)), 1000) }, {} }, start);
    CHECK(directory.upstreams().at("a").draining);
    directory.apply({ restored(6), restored(7), { started(entry("a", restored(7)), 5000) }, {} }, start);
    CHECK_FALSE(directory.upstreams().at("a").draining);
    SUBCASE("an entry that had vanished counts again when it changes")
    {
        directory.apply({ restored(7), restored(8), { started(entry("b", restored(8)), 2000) }, {} }, start);
        CHECK_FALSE(directory.upstreams().at("b").lapsed);
    }
    SUBCASE("an entry that had vanished counts again when the registry keeps it")
    {
        MonotonicTime later = start + Milliseconds(10000);
        CHECK(directory.expire(later));
        directory.apply({ 0, restored(8), { started(entry("b", restored(4)), 2000) }, {} }, later);
        CHECK_FALSE(directory.learn({ hash64("b"), 2000, 12, false }, later));
        CHECK_FALSE(directory.upstreams().at("b").lapsed);
    }
    SUBCASE("an earlier start in the copy does not replace a later one")
    {
        directory.apply(
            { 0, registryRevision(2, 5), { started(entry("a", registryRevision(2, 3)), 1000) }, {} }, start);
        CHECK(directory.upstreams().at("a").started == 5000);
    }
}

// Guards against memory that grows with each upstream that leaves.
TEST_CASE("the oldest departures are forgotten first")
{
    DirectoryOptions options;
    options.maxDepartures = 2;
    UpstreamDirectory directory(options);
    std::vector<UpstreamEntry> leaving { entry("a", 1, true), entry("b", 2, true), entry("c", 3, true) };
    directory.apply({ 0, 10, leaving, {} }, start);
    std::vector<UpstreamEntry> listed { entry("a", restored(1)), entry("b", restored(2)) };
    directory.apply({ 0, restored(5), listed, {} }, start);
    CHECK_FALSE(directory.upstreams().at("a").draining);
    CHECK(directory.upstreams().at("b").draining);
}

// Guards against an upstream that stays cold because its entry is read again, and against one that warms up
// later at instances that get the list from a peer.
TEST_CASE("a remaining cold time runs out from when the entry was read first, also for peers")
{
    UpstreamDirectory directory = loaded();
    UpstreamEntry cold = entry("d", 11);
    cold.coldRemaining = Milliseconds(3000);
    directory.apply({ 10, 11, { cold }, {} }, start);
    MonotonicTime later = start + Milliseconds(2000);
    CHECK_FALSE(directory.apply({ 0, 11, { entry("a", 3), entry("b", 4), entry("c", 5), cold }, {} }, later));
    CHECK(directory.upstreams().at("d").coldUntil == start + Milliseconds(3000));

    DirectoryChanges changes = directory.changesSince(10);
    updateColdRemaining(changes, later);
    auto received = decompressChanges(compressChanges(changes));
    REQUIRE(received);
    REQUIRE(received.value().entries.size() == 1);
    CHECK(received.value().entries[0].coldRemaining == Milliseconds(1000));
    updateColdRemaining(changes, start + Milliseconds(9000));
    CHECK_FALSE(decompressChanges(compressChanges(changes)).value().entries[0].coldRemaining);

    cold.revision = 12;
    cold.coldRemaining = Milliseconds(800);
    CHECK(directory.apply({ 11, 12, { cold }, {} }, later));
    CHECK(directory.upstreams().at("d").coldUntil == later + Milliseconds(800));
}

// Guards against a peer's time that makes an upstream cold for ever.
TEST_CASE("a huge cold time from a peer is cut to the maximum")
{
    DirectoryChanges changes { 0, 1, { entry("a", 1) }, {} };
    changes.entries[0].coldRemaining = Milliseconds(4'000'000'000);
    CHECK(decompressChanges(compressChanges(changes)).value().entries[0].coldRemaining == maxColdTime);
}
