#include "version/routing.h"

#include "base/hash.h"
#include <doctest/doctest.h>
#include <map>

using namespace briarwharf;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    result.pools = { { "pool-" + name, 1 } };
    return result;
}

RoutingTable sampleTable()
{
    RoutingConfig config;
    config.version = 3;
    config.routes = { route("root", "desk.example", "/"), route("book", "desk.example", "/book/"),
        route("deep", "desk.example", "/book/job/"), route("other", "other.example", "/book/") };
    config.organisations
        = { { "saqib", { "key-1", "key-2" }, 1 }, { "hallsberg", { "key-3" }, std::nullopt } };
    config.keysRequired = true;
    config.pools = { { "pool-book", 110, std::nullopt } };
    return RoutingTable(std::move(config));
}

std::string routeOf(const RoutingTable& table, std::string_view host, std::string_view target)
{
    const Route* found = table.findRoute(host, target);
    return found ? found->name : "none";
}

} // namespace

TEST_CASE("the route of the host with the longest matching prefix is found")
{
    RoutingTable routes = sampleTable();
    CHECK(routeOf(routes, "desk.example", "/book/job/7?x=/book/") == "deep");
    CHECK(routeOf(routes, "desk.example", "/book/job") == "book");
    CHECK(routeOf(routes, "desk.example", "/book") == "root");
    CHECK(routeOf(routes, "Desk.Example:8080", "/book/") == "book");
    CHECK(routeOf(routes, "other.example", "/") == "none");
    CHECK(routeOf(routes, "unknown.example", "/book/1") == "none");
    CHECK(routeOf(routes, "desk.example", "book/1") == "none");
    CHECK(routeOf(routes, "", "") == "none");
}

TEST_CASE("organisations are found by key and pools by name")
{
    RoutingTable routes = sampleTable();
    REQUIRE(routes.findOrganisation("key-2"));
    CHECK(routes.findOrganisation("key-2")->name == "saqib");
    CHECK_FALSE(routes.findOrganisation("key"));
    CHECK_FALSE(routes.findOrganisation(""));
    CHECK(routes.findPool("pool-book")->maxConnections == 110);
    CHECK_FALSE(routes.findPool("pool"));
}

TEST_CASE("a split sends each pool its share of the requests, and a given request always to the same pool")
{
    Route split = route("split", "a", "/");
    split.pools = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    for (int request = 0; request < 10000; ++request) {
        std::uint64_t hash = hash64(std::to_string(request));
        const std::string& pool = RoutingTable::choosePool(split, hash);
        CHECK(pool == RoutingTable::choosePool(split, hash));
        ++counts[pool];
    }
    CHECK(counts["new"] > 850);
    CHECK(counts["new"] < 1150);
}
