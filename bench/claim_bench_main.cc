// Measures store calls and processor time of at-most-once calls for several call rates and numbers of shards.
// Everything runs in one process on a simulated clock, so the processor time covers the in-memory store, the
// claim clients and the collectors. The runs are too short for snapshots. In operation each record costs one
// further write, when it is removed.

#include "base/hash.h"
#include "base/log.h"
#include "coordination/coordination.h"
#include "coordination/stored.h"
#include "coordination/testing/fakestore.h"
#include <cstdio>
#include <ctime>
#include <fstream>
#include <unistd.h>

namespace {

using namespace briarwharf;

constexpr Milliseconds tickInterval { 20 };
constexpr Milliseconds storeLatency { 2 };
constexpr int simulatedSeconds = 120;
constexpr std::uint64_t seed = 1;
constexpr std::size_t bodyBytes = 500;

struct Shards {
    Shards(ManualClock& clock, FakeStore& store, std::size_t count)
    {
        for (std::size_t shard = 0; shard < count; ++shard)
            collectors.push_back(std::make_unique<ClaimCollector>(
                ClaimCollectorOptions { .writer = "bench" }, static_cast<std::uint32_t>(shard), store,
                clock.reader(), [&clock] { return clock.wallNow(); },
                [](const std::string&) { return false; }));
    }

    ClaimCollector& of(const std::string& keyHash)
    {
        return *collectors[hash64(keyHash) % collectors.size()];
    }

    std::vector<std::unique_ptr<ClaimCollector>> collectors;
};

void measure(double callsPerSecond, std::size_t shardCount)
{
    ManualClock clock;
    FakeStore store(clock);
    store.setLatency(storeLatency / 2);
    Shards shards(clock, store, shardCount);
    Random random(seed);
    std::uint64_t startedCalls = 0;
    std::uint64_t settled = 0;
    double totalWaitMs = 0;
    std::unique_ptr<ClaimClient> client;
    client = std::make_unique<ClaimClient>(
        ClaimClientOptions { .instance = "bench#1" }, clock.reader(),
        [&](const ClaimRequestT& request) {
            shards.of(request.keyHash).claim(request, [&](const ClaimResponseT& response) {
                client->response(response);
            });
        },
        [&](const SettleRequestT& request) {
            shards.of(request.keyHash).settle(request, [&](SettleResponseT response) {
                client->response(response);
            });
        });
    auto begin = [&] {
        auto id = std::make_shared<ClaimClient::ClaimId>();
        MonotonicTime start = clock.now();
        std::string keyHash = claimKeyHash("org", "booking", std::to_string(startedCalls++));
        *id = client->begin(keyHash, "body", start + std::chrono::seconds(10),
            [&, id, start](ClaimDecision decision, const ClaimOutcome&) {
                totalWaitMs += static_cast<double>(toMilliseconds(clock.now() - start).count());
                if (decision != ClaimDecision::Run || !client->tryStartCall(*id))
                    return;
                client->finish(*id, { 200, "application/json", std::string(bodyBytes, 'x') },
                    clock.now() + std::chrono::seconds(10),
                    [&](bool durable) { settled += durable ? 1 : 0; });
            });
    };
    std::clock_t started = std::clock();
    MonotonicTime end = clock.now() + std::chrono::seconds(simulatedSeconds);
    double due = 0;
    while (clock.now() < end) {
        clock.advance(tickInterval);
        for (due += callsPerSecond * 0.02 * 2 * random.unit(); due >= 1; due -= 1)
            begin();
        for (auto& collector : shards.collectors)
            collector->tick();
        client->tick();
    }
    double seconds = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    auto calls = static_cast<double>(settled);
    std::printf("%8.0f %7zu %8.0f %10.1f %9.1f %11.3f %10.3f %9.1f %11.1f\n", callsPerSecond, shardCount,
        calls, static_cast<double>(store.writes()) / simulatedSeconds,
        static_cast<double>(store.reads()) / simulatedSeconds, static_cast<double>(store.writes()) / calls,
        static_cast<double>(store.reads()) / calls, totalWaitMs / static_cast<double>(startedCalls),
        seconds / calls * 1e6);
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Measures the memory that a shard's index needs per retained claim with a stored answer of 100 bytes.
void measureMemory()
{
    constexpr std::size_t claims = 200000;
    ManualClock clock;
    std::size_t before = residentBytes();
    ClaimIndex index;
    for (std::size_t i = 0; i < claims; ++i) {
        ClaimCommandT command;
        command.kind = ClaimCommandKind::Claim;
        command.keyHash = claimKeyHash("org", "booking", std::to_string(i));
        command.bodyHash = command.keyHash;
        command.claimant = command.keyHash.substr(0, 32);
        command.instance = "entry-1@1796359191000";
        command.atMs = 1000 + i;
        static_cast<void>(index.apply({ 2 * i + 1, 0 }, packStored<ClaimCommand>(command)));
        command.kind = ClaimCommandKind::Completed;
        command.httpStatus = 200;
        command.contentType = "application/json";
        command.body.assign(100, 'x');
        static_cast<void>(index.apply({ 2 * i + 2, 0 }, packStored<ClaimCommand>(command)));
    }
    auto bytes = static_cast<double>(residentBytes() - before);
    std::printf("memory of the index: %.0f bytes for each of %zu claims with answers of 100 bytes\n",
        bytes / static_cast<double>(index.size()), index.size());
}

} // namespace

int main()
{
    configureLogging("error");
    measureMemory(); // must come first: after the other runs the index would reuse freed memory
    std::printf(
        "  calls/s  shards    calls   writes/s   reads/s writes/call reads/call  claim ms us CPU/call\n");
    for (double rate : { 1.0, 20.0, 200.0, 1000.0 })
        for (std::size_t shards : { 4, 16, 32 })
            measure(rate, shards);
    return 0;
}
