#include "coordination/evacuations.h"
#include "coordination/registryrevision.h"
#include <doctest/doctest.h>

using namespace briarwharf;

namespace {

using Domains = std::set<std::string>;

constexpr MonotonicTime now { std::chrono::hours(1) };

EvacuationChanges listed(std::uint64_t revision, std::vector<std::string> domains)
{
    return { 0, revision, std::move(domains), {}, true };
}

} // namespace

// Guards against lists that overwrite each other when instances read the registry at different times.
TEST_CASE("the newer list of evacuations wins, whichever instance has it and however it was learnt")
{
    EvacuatedDomains late({});
    EvacuatedDomains read({});
    late.apply(listed(10, { "z0" }), now); // nobody told it of the end at revision 20
    read.apply(listed(5, {}), now);
    read.apply(listed(30, {}), now);
    CHECK_FALSE(read.learn(late.list(), now));
    CHECK(late.learn(read.list(), now));
    CHECK(late.list() == EvacuationList { 30, {} });
    CHECK_FALSE(late.apply({ 10, 25, { "z0" }, {}, true }, now)); // a late answer
    CHECK(late.apply({ 10, 35, { "z1" }, { "z0" }, true }, now)); // includes what the peer told
    CHECK(late.inForce() == Domains { "z1" });
}

// Guards against a query of each instance after each answer of the registry.
TEST_CASE("a registry whose evacuations do not change gives peers no newer list")
{
    EvacuatedDomains evacuated({});
    evacuated.apply(listed(10, { "z0" }), now);
    evacuated.apply({ 10, 20, {}, {}, true }, now);
    evacuated.apply(listed(30, { "z0" }), now);
    CHECK(evacuated.list().revision == 10);
}

// Guards against a registry that loses an evacuation by a restore, and sends requests to the domain again.
TEST_CASE("an evacuation that a restored registry lacks is kept until it is written again")
{
    auto restored = [](std::uint64_t revision) { return registryRevision(2, revision); };
    EvacuatedDomains reading({});
    EvacuatedDomains other({});
    reading.apply(listed(registryRevision(1, 50), { "z0" }), now);
    other.learn(reading.list(), now);
    CHECK_FALSE(reading.apply(listed(restored(30), {}), now));
    CHECK_FALSE(other.learn(reading.list(), now));
    CHECK(other.inForce() == Domains { "z0" });
    CHECK_FALSE(reading.apply({ restored(30), restored(31), { "z0" }, {}, true }, now));
    other.learn(reading.list(), now);
    CHECK_FALSE(other.isKept("z0"));
    CHECK(reading.apply({ restored(31), restored(32), {}, { "z0" }, true }, now));
    CHECK(other.learn(reading.list(), now));
    CHECK(other.inForce().empty());
}

// Guards against a domain that stays out of use for good because nobody writes the evacuation again.
TEST_CASE("an evacuation that nobody writes again after a restore ends after the hold time")
{
    constexpr Milliseconds hold = EvacuationOptions().restoreHold;
    EvacuatedDomains evacuated({});
    evacuated.apply(listed(registryRevision(1, 50), { "z0" }), now);
    evacuated.apply(listed(registryRevision(2, 30), {}), now);
    evacuated.apply(listed(registryRevision(3, 30), {}), now + Milliseconds(1000)); // restored once more
    CHECK_FALSE(evacuated.expire(now + hold));
    CHECK(evacuated.inForce() == Domains { "z0" });
    CHECK(evacuated.expire(now + hold + Milliseconds(1000)));
    CHECK(evacuated.inForce().empty());
}

// Guards against an evacuation that ends because its entry became unreadable.
TEST_CASE("a list with an entry that cannot be read ends no evacuation")
{
    EvacuatedDomains evacuated({});
    evacuated.apply(listed(10, { "z0" }), now);
    evacuated.apply({ 0, 11, { "z1" }, {}, false }, now);
    CHECK(evacuated.inForce() == Domains { "z0", "z1" });
    evacuated.apply(listed(12, { "z1" }), now);
    CHECK(evacuated.inForce() == Domains { "z1" });
}
