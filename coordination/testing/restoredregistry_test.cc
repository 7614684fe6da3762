#include "base/base.h"
#include "coordination/coordination.h"
#include "coordination/testing/registryfleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace briarwharf;

namespace {

UpstreamEntry entry(const std::string& id, bool draining = false, std::int64_t started = 1000)
{
    UpstreamEntry result;
    result.id = id;
    result.pool = "models";
    result.endpoint = { "10.0.0.9", 8000 };
    result.started = started;
    result.draining = draining;
    return result;
}

} // namespace

// Guards against what instances of other systems did after a restore: a new upstream was not in use, and one
// that had announced its draining or had left was in use again. One instance is cut off while the departures
// are announced.
TEST_CASE("a fleet keeps departures and takes changes when the registry is restored from an older copy")
{
    constexpr std::size_t sizes[] { 2, 7, 60, 295 };
    for (std::size_t size : sizes) {
        for (std::uint64_t seed = 1; seed <= (size > 100 ? 2 : 10); ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            RegistryFleet fleet(size, seed);
            for (const char* id : { "drains", "leaves", "vanishes", "stays" })
                fleet.registry.put(entry(id));
            Registry copy = fleet.registry;
            fleet.run(Milliseconds(6000));
            REQUIRE(fleet.users("drains") == size);
            fleet.cutOff.insert(size - 1);
            for (const char* id : { "drains", "leaves" })
                fleet.registry.put(entry(id, true));
            fleet.registry.put(entry("late"));
            fleet.run(Milliseconds(6000));
            fleet.registry.remove("leaves");
            fleet.registry.remove("vanishes");
            fleet.run(Milliseconds(6000));

            for (std::uint64_t restores = 1; restores <= 2; ++restores) {
                copy.generation = 1 + restores;
                fleet.registry = copy;
                fleet.registry.put(entry("new"));
                fleet.cutOff.clear();
                auto countUsers = [&] {
                    return std::max(
                        { fleet.users("drains"), fleet.users("leaves"), fleet.users("vanishes") });
                };
                // The instance that was cut off hears from its peers.
                fleet.run(Milliseconds(2000), [&] { REQUIRE(countUsers() <= (restores == 1 ? 1 : 0)); });
                fleet.run(Milliseconds(3000), [&] { REQUIRE(countUsers() == 0); });
                CHECK(fleet.users("new") == size);
                CHECK(fleet.users("stays") == size);
            }
            fleet.registry.put(entry("late"));
            fleet.registry.remove("vanishes");
            fleet.registry.remove("leaves");
            fleet.registry.put(entry("drains", false, 2000)); // it has started again
            fleet.run(Milliseconds(8000));
            CHECK(fleet.users("late") == size);
            CHECK(fleet.users("drains") == size);
            for (std::size_t index = 1; index < size; ++index)
                REQUIRE(fleet.upstreams(index) == fleet.upstreams(0));
        }
    }
}
