#include "base/base.h"
#include "version/testing/generators.h"

using namespace briarwharf;
using namespace briarwharf::testing;

// Guards against instances that decode different commands from the same record.
TEST_CASE("encoding and decoding a record keeps its commands and origin")
{
    CHECK(rc::check("decode(encode(record)) == record", [] {
        ConfigRecord record { { anyCommand(), anyCommand() }, { *anyMinute(), *anyText(), "request" } };
        auto decoded = decodeRecord(encodeRecord(record));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().commands == record.commands);
        RC_ASSERT(decoded.value().origin.time == record.origin.time);
        RC_ASSERT(decoded.value().origin.author == record.origin.author);
    }));
}

// Guards against instances that diverge: one starts from a snapshot, the other has applied the records.
TEST_CASE("encoding and decoding a snapshot keeps any reachable configuration")
{
    CHECK(rc::check("decode(encode(config)) == config", [] {
        Config config = sampleConfig();
        for (int i = 0; i < 8; ++i) {
            auto next = applyCommand(config, anyCommand());
            if (next)
                config = next.value();
        }
        config = configAfter(config, "PLAN DRAIN UPSTREAM e2 EVERY SUN AT 23:30 FOR 2h; DRAIN UPSTREAM e2");
        auto decoded = decodeSnapshot(encodeSnapshot(config));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == config);
    }));
}

// Guards against a configuration that was decoded from damaged bytes and comes into force.
TEST_CASE("damaged snapshots are refused as corrupt")
{
    std::string snapshot = encodeSnapshot(sampleConfig());
    for (std::size_t i = 0; i < snapshot.size(); ++i) {
        CHECK(decodeSnapshot(snapshot.substr(0, i)).error().kind == ErrorKind::Corrupt);
        std::string changed = snapshot;
        changed[i] = changed[i] == '1' ? '2' : '1';
        auto decoded = decodeSnapshot(changed);
        CHECK((decoded.has_error() || decoded.value() == sampleConfig()));
    }
}

// Guards against instances that diverge because one of them cannot apply a record. All must refuse an invalid
// or corrupt record in the same way, and none may skip a record of a newer format.
TEST_CASE("a refused or corrupt record raises only the revision; a newer format is an error")
{
    Config config = sampleConfig();
    ConfigRecord bad { { parseCommand("REMOVE UPSTREAM e9").value() }, {} };
    for (const std::string& payload : { encodeRecord(bad), std::string("{\"v\":1"), std::string("\xff") }) {
        auto applied = applyRecord(config, config.revision + 1, payload);
        REQUIRE(applied.has_value());
        CHECK(applied.value().refusal.has_value());
        Config expected = config;
        ++expected.revision;
        CHECK(applied.value().config == expected);
    }
    CHECK(applyRecord(config, config.revision + 1, R"({"v":2})").error().kind == ErrorKind::Unavailable);
    CHECK(applyRecord(config, config.revision + 2, "").error().kind == ErrorKind::InvalidArgument);
}

// Guards against a snapshot that exceeds the size limit of the peers' frames, or a page that exceeds that of
// the store's objects, at the target scale with a full list of retired names.
TEST_CASE("a configuration of 460 organisations and 4,100 upstreams fits")
{
    Config config;
    for (int i = 0; i < 460; ++i) {
        std::string name = "organisation-" + std::to_string(i);
        config.organisations[name] = { name, sha256Hex(name), 1.5, 100000 };
    }
    for (int i = 0; i < 7; ++i) {
        std::string name = "pool-" + std::to_string(i);
        config.pools[name] = { name, PoolKind::Engine, "model-" + std::to_string(i), "", {} };
    }
    for (int i = 0; i < 4100; ++i) {
        std::string name = "upstream-" + std::to_string(i);
        Upstream upstream { name, "pool-" + std::to_string(i % 7),
            "10.1." + std::to_string(i / 256) + "." + std::to_string(i % 256), 8080, "region-1-domain-a" };
        upstream.drainRevision = 100000;
        upstream.drainWindow = WallTime(std::chrono::hours(24) * 20000);
        config.upstreams[name] = upstream;
        config.drainPlans[name]
            = { name, i % 7, std::chrono::minutes(i % 1440), std::chrono::minutes(90), true };
    }
    for (std::size_t i = 0; i < maxRetiredNames; ++i)
        config.retiredNames["UPSTREAM/retired-" + std::to_string(i)] = 100000 + i;
    config.revision = 200000;
    std::string snapshot = encodeSnapshot(config);
    MESSAGE("snapshot bytes: ", snapshot.size());
    CHECK(snapshot.size() < maxSnapshotBytes);
    auto decoded = decodeSnapshot(snapshot);
    REQUIRE_MESSAGE(decoded.has_value(), decoded.error().message);
    CHECK(decoded.value() == config);
}
