#include "standins/storemodel.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

using Condition = StoreModel::Condition;

MonotonicTime at(int milliseconds) { return MonotonicTime(Milliseconds(milliseconds)); }

} // namespace

// Guards against a key that gets an earlier version again after its removal: the conditional write of a stale
// writer would succeed.
TEST_CASE("versions increase across removal and creation")
{
    StoreModel store;
    auto first = store.put("k", "1", Condition::Absent, 0);
    CHECK(first.status == 201);
    CHECK(store.put("k", "2", Condition::Absent, 0).status == 412);
    CHECK(store.remove("k", first.version).status == 200);
    CHECK(store.put("k", "2", Condition::Version, first.version).status == 404);
    auto second = store.put("k", "3", Condition::Absent, 0);
    CHECK(second.version > first.version);
    CHECK(store.put("k", "4", Condition::Version, first.version).status == 412);
    CHECK(store.put("k", std::string(maxStoreValueBytes + 1, 'x'), Condition::None, 0).status == 413);
}

TEST_CASE("a watch calls back once, on a change or at its deadline")
{
    StoreModel store;
    int changes = 0;
    int timeouts = 0;
    auto count = [&](bool changed) { ++(changed ? changes : timeouts); };
    store.watch("k", 0, at(100), count);
    store.watch("other", 0, at(100), count);
    auto written = store.put("k", "1", Condition::None, 0);
    store.put("k", "2", Condition::None, 0);
    CHECK(changes == 1);
    store.expireWatches(at(99));
    CHECK(timeouts == 0);
    store.expireWatches(at(100));
    CHECK(timeouts == 1);
    store.watch("k", written.version, at(200), count);
    CHECK(changes == 2);
    auto cancelled = store.watch("absent", 0, at(200), count);
    store.cancelWatch(cancelled);
    store.expireWatches(at(300));
    CHECK(timeouts == 1);
    CHECK(store.pendingWatches() == 0);
}

TEST_CASE("lists start after the given key and contain only keys with the prefix")
{
    StoreModel store;
    for (const char* key : { "a/1", "a/2", "a/3", "b/1" })
        store.put(key, key, Condition::None, 0);
    CHECK(store.list("a/", "", 10).size() == 3);
    auto rest = store.list("a/", "a/1", 1);
    REQUIRE(rest.size() == 1);
    CHECK(rest[0].key == "a/2");
    CHECK(store.list("a/", "a/3", 10).empty());
}

TEST_CASE("the list of instances appears after its lag, and as many answers are lost as set")
{
    StoreModel store;
    store.setInstances(Json::array({ "new" }), at(0), Milliseconds(50));
    CHECK(store.instances(at(49)).empty());
    CHECK(store.instances(at(50)).size() == 1);
    CHECK(store.setFaults({ { "lose_answers", 2 }, { "down", "close" } }));
    CHECK(store.faults().closing);
    CHECK(store.takeLostAnswer());
    CHECK(store.takeLostAnswer());
    CHECK_FALSE(store.takeLostAnswer());
    CHECK_FALSE(store.setFaults({ { "down", "sideways" } }));
    CHECK(store.setFaults({ { "down", false } }));
    CHECK_FALSE(store.faults().closing);
}
