#include "base/base.h"
#include "base/hash.h"
#include "coordination/coordination.h"
#include "coordination/directorymessage.h"
#include "coordination/testing/registryfleet.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using namespace briarwharf;

namespace {

constexpr Milliseconds doubtPeriod = DirectoryOptions {}.doubtPeriod;
const MonotonicTime start { std::chrono::hours(1) };

UpstreamEntry report(std::int64_t started, std::optional<std::uint64_t> sequence, bool draining = false)
{
    UpstreamEntry entry;
    entry.id = "a";
    entry.pool = "models";
    entry.endpoint = { "10.0.0.9", 8000 };
    entry.started = started;
    entry.sequence = sequence;
    entry.draining = draining;
    return entry;
}

UpstreamEntry withSlots(UpstreamEntry entry, int slots)
{
    entry.slots = slots;
    return entry;
}

UpstreamEntry withPort(UpstreamEntry entry, std::uint16_t port)
{
    entry.endpoint.port = port;
    return entry;
}

UpstreamEntry at(UpstreamEntry entry, std::uint64_t revision)
{
    entry.revision = revision;
    return entry;
}

// Two writes of one upstream in the order in which the registry carries them out.
struct Row {
    std::string name;
    UpstreamEntry first;
    UpstreamEntry second;
    bool isSecondLate; // the upstream wrote it before the first one
};

const std::vector<Row> rows {
    { "ready after a drain", report(1000, 5, true), report(1000, 4), true },
    { "ready of an earlier lifetime after a drain", report(2000, 1, true), report(1000, 9), true },
    { "ready of an unstated lifetime after a drain", report(1000, 1, true), report(0, 9), true },
    { "ready of an earlier lifetime", report(2000, 1), withPort(report(1000, 9), 8001), true },
    { "ready of an unstated lifetime", report(1000, {}), withPort(report(0, {}), 8001), true },
    { "other slots", withSlots(report(1000, 5), 64), withSlots(report(1000, 4), 32), true },
    { "the same state", report(1000, 5), report(1000, 4), true },
    { "a drain that was revoked", report(1000, 5), report(1000, 4, true), true },
    { "a drain of an earlier lifetime", report(2000, 1), report(1000, 9, true), true },
    { "a drain of an unstated lifetime", report(1000, 1), report(0, {}, true), true },
    { "a drain after a later drain", report(1000, 5, true), withPort(report(1000, 4, true), 8001), true },
    { "a later report", withSlots(report(1000, 4), 32), withSlots(report(1000, 5), 64), false },
    { "a drain that is revoked", report(1000, 4, true), report(1000, 5), false },
    { "a new lifetime", report(1000, 9), withPort(report(2000, 0), 8001), false },
    { "a new lifetime after a drain", report(1000, 9, true), report(2000, 0), false },
    { "a stated lifetime after a drain", report(0, 9, true), report(1000, 0), false },
};

DirectoryChanges sent(const DirectoryChanges& changes)
{
    DirectoryPushT push;
    addChanges(changes, push);
    return changesOf(push);
}

UpstreamDirectory directoryWith(const std::vector<UpstreamEntry>& entries, std::uint64_t revision)
{
    UpstreamDirectory directory({});
    directory.apply({ 0, revision, entries, {} }, start);
    return directory;
}

UpstreamDirectory watch(const Row& row)
{
    UpstreamDirectory directory = directoryWith({ at(row.first, 10) }, 10);
    directory.apply({ 10, 11, { at(row.second, 11) }, {} }, start);
    return directory;
}

UpstreamDirectory listAgain(const Row& row)
{
    UpstreamDirectory directory = directoryWith({ at(row.first, 10) }, 10);
    directory.apply({ 0, 12, { at(row.second, 11) }, {} }, start);
    return directory;
}

UpstreamDirectory readBatch(const Row& row)
{
    UpstreamDirectory directory = directoryWith({}, 9);
    directory.apply({ 9, 11, { at(row.first, 10), at(row.second, 11) }, {} }, start);
    return directory;
}

UpstreamDirectory hearFromPeer(const Row& row)
{
    UpstreamDirectory directory = directoryWith({ at(row.first, 10) }, 10);
    directory.apply(sent(watch(row).changesSince(10)), start);
    return directory;
}

UpstreamDirectory startBesidePeer(const Row& row)
{
    UpstreamDirectory directory({});
    directory.apply(sent(watch(row).changesSince(0)), start);
    return directory;
}

UpstreamDirectory listRestored(const Row& row)
{
    UpstreamDirectory directory
        = directoryWith({ at(row.first, registryRevision(1, 10)) }, registryRevision(1, 10));
    directory.apply({ 0, registryRevision(2, 8), { at(row.second, registryRevision(2, 7)) }, {} }, start);
    return directory;
}

struct Way {
    std::string name;
    UpstreamDirectory (*play)(const Row&);
};

const std::vector<Way> ways {
    { "watch", &watch },
    { "list", &listAgain },
    { "batch", &readBatch },
    { "peer", &hearFromPeer },
    { "new peer", &startBesidePeer },
    { "list of a restored registry", &listRestored },
};

UpstreamDeparture drainOf(const UpstreamEntry& entry)
{
    return { hash64(entry.id), entry.started, entry.revision, true, entry.sequence };
}

} // namespace

// Guards against new requests for an upstream that had announced its draining: the registry carried out an
// earlier heartbeat of it late, and the later revision counted.
TEST_CASE("the latest report of an upstream holds, in whatever order the registry carries out its writes")
{
    for (const Row& row : rows) {
        for (const Way& way : ways) {
            CAPTURE(row.name);
            CAPTURE(way.name);
            UpstreamDirectory directory = way.play(row);
            UpstreamEntry held = directory.upstreams().at("a");
            UpstreamEntry expected = row.isSecondLate ? row.first : row.second;
            CHECK(held == at(expected, held.revision));
            CHECK_FALSE(directory.expire(start + doubtPeriod - Milliseconds(1)));
        }
    }
}

// Guards against an upstream that is out of use for good because its reports could not be put in order.
TEST_CASE("a registry that keeps an entry in doubt is right, unless nothing confirms that it does")
{
    UpstreamDirectory directory = directoryWith({ at(report(1000, 5, true), 10) }, 10);
    UpstreamEntry late = at(report(1000, 4), 11);
    directory.apply({ 10, 11, { late }, {} }, start);
    MonotonicTime end = start + doubtPeriod;
    SUBCASE("for the whole period") { }
    SUBCASE("and is read again") { directory.apply({ 0, 12, { late }, {} }, end - Milliseconds(1)); }
    SUBCASE("which is not confirmed")
    {
        directory.extendDoubts(end - Milliseconds(1));
        CHECK_FALSE(directory.expire(end));
        end += doubtPeriod - Milliseconds(1);
    }
    SUBCASE("and carries out another late write")
    {
        directory.apply({ 11, 12, { at(report(1000, 3), 12) }, {} }, end - Milliseconds(1));
        CHECK_FALSE(directory.expire(end));
        end += doubtPeriod - Milliseconds(1);
    }
    SUBCASE("until the upstream reports again")
    {
        directory.apply({ 11, 12, { at(report(1000, 6, true), 12) }, {} }, end - Milliseconds(1));
        CHECK_FALSE(directory.expire(end));
        CHECK(directory.upstreams().at("a").draining);
        return;
    }
    SUBCASE("until it removes the entry")
    {
        CHECK(directory.apply({ 11, 12, {}, { { "a", 12 } } }, end - Milliseconds(1)));
        CHECK(directory.upstreams().empty());
        CHECK_FALSE(directory.expire(end));
        return;
    }
    CHECK(directory.upstreams().at("a").draining);
    CHECK_FALSE(directory.expire(end - Milliseconds(1)));
    CHECK(directory.expire(end));
    CHECK_FALSE(directory.upstreams().at("a").draining);
}

// Guards against an upstream that stays out of use after another writer than itself had set it to draining.
TEST_CASE("an upstream is in use again when a drain that another writer set is revoked")
{
    UpstreamEntry ready = at(report(1000, 5), registryRevision(1, 11));
    UpstreamDirectory directory
        = directoryWith({ at(report(1000, 5, true), registryRevision(1, 10)) }, registryRevision(1, 10));
    SUBCASE("by that writer")
    {
        directory.apply({ registryRevision(1, 10), registryRevision(1, 11), { ready }, {} }, start);
        CHECK_FALSE(directory.upstreams().at("a").draining);
    }
    SUBCASE("by its removal, after which the upstream registers again")
    {
        directory.apply(
            { registryRevision(1, 10), registryRevision(1, 11), {}, { { "a", ready.revision } } }, start);
        UpstreamEntry again = at(report(1000, 6), registryRevision(1, 12));
        directory.apply({ registryRevision(1, 11), again.revision, { again }, {} }, start);
        CHECK_FALSE(directory.upstreams().at("a").draining);
    }
    SUBCASE("by a restore of the registry from a copy without it")
    {
        ready.revision = registryRevision(2, 4);
        directory.apply({ 0, registryRevision(2, 5), { ready }, {} }, start);
        CHECK(directory.upstreams().at("a").draining);
        CHECK(directory.expire(start + doubtPeriod));
        CHECK_FALSE(directory.upstreams().at("a").draining);
    }
}

// Guards against an instance that started between the two writes and never learns of the first one.
TEST_CASE("an instance with the same revision learns from a peer that an entry is a late report")
{
    UpstreamDirectory peer = directoryWith({ at(report(1000, 5, true), 10) }, 10);
    UpstreamEntry late = at(report(1000, 4), 11);
    peer.apply({ 10, 11, { late }, {} }, start);
    UpstreamDirectory directory = directoryWith({ late }, 11);
    REQUIRE_FALSE(directory.upstreams().at("a").draining);
    for (const UpstreamDeparture& departure : peer.takeContradicted())
        directory.learn(departure, start);
    CHECK(directory.upstreams().at("a").draining);
    CHECK_FALSE(directory.learn(drainOf(at(report(1000, 5, true), 10)), start));
    CHECK(directory.expire(start + doubtPeriod));
    CHECK_FALSE(directory.upstreams().at("a").draining);
}

// Guards against single instances of a fleet that use an upstream again: one that was cut off from the
// others, and one that started anew. A write is also carried out late after the upstream's entry was removed.
TEST_CASE("no instance of a fleet uses an upstream again because of a heartbeat that is carried out late")
{
    constexpr std::size_t sizes[] { 3, 9, 87, 295 };
    for (std::size_t size : sizes) {
        for (std::uint64_t seed = 1; seed <= (size > 80 ? 2 : 10); ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            RegistryFleet fleet(size, seed);
            fleet.registry.put(report(1000, 3));
            fleet.run(Milliseconds(6000));
            REQUIRE(fleet.users("a") == size);
            fleet.cutOff.insert(size - 1);
            fleet.registry.put(report(1000, 5, true));
            fleet.run(Milliseconds(6000));

            fleet.registry.put(report(1000, 4));
            fleet.cutOff.clear();
            fleet.restart(0);
            // The instance that was cut off, and the one that started, hear from their peers.
            fleet.run(Milliseconds(2000), [&] { REQUIRE(fleet.users("a") <= 2); });
            fleet.run(Milliseconds(3000), [&] { REQUIRE(fleet.users("a") == 0); });

            fleet.registry.remove("a");
            fleet.run(Milliseconds(3000), [&] { REQUIRE(fleet.users("a") == 0); });
            fleet.registry.put(report(1000, 4));
            fleet.run(Milliseconds(6000), [&] { REQUIRE(fleet.users("a") == 0); });
            fleet.registry.put(report(2000, 0));
            fleet.run(Milliseconds(6000));
            CHECK(fleet.users("a") == size);
        }
    }
}
