// Entries of kind `servers` that another writer put into the store, each within ValueBytes, exhaust the memory
// of every machine of the fleet, again after each restart.

#include "../standins-2/rig.hpp"

using namespace rig;

namespace {

constexpr int machineCount = 3;
constexpr std::size_t valueBytes = 1048576;
constexpr int entriesDefault = 12;
constexpr double troubleAt = 5, end = 25;
constexpr int restartDelayMs = 1000;

// Fields of another type: a list of empty objects where a service, an address and a state would be.
std::string foreignSpec()
{
    std::string text = "{\"Service\":[{}";
    while (text.size() + 4 < valueBytes - 512) // the object is ValueBytes at most, with its metadata
        text += ",{}";
    return text + "]}";
}

struct Counters {
    std::atomic<int> sent { 0 }, answered { 0 }, failed { 0 };
};

void callerLoop(const Machine& machine, std::atomic<bool>& stop, Counters& counters)
{
    Client client;
    for (int number = 0; !stop; ++number) {
        if (!client.isOpen() && !client.connect(machine.front)) {
            sleepMs(100);
            continue;
        }
        ++counters.sent;
        client.send("GET /fetch/" + std::to_string(number) + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
            + machine.name + "-" + std::to_string(number) + "\r\nX-Deadline-Ms: 1000\r\n\r\n");
        Answer answer = client.read(1500);
        ++(answer.complete && answer.status == 200 ? counters.answered : counters.failed);
        if (!answer.complete)
            client.end();
        sleepMs(50);
    }
}

} // namespace

int main(int argc, char** argv)
{
    startTime();
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    int entries = std::getenv("ENTRIES") ? std::atoi(std::getenv("ENTRIES")) : entriesDefault;
    WorkFolder work;
    Store store("127.0.41.100");
    if (!store.ok())
        return 2;
    std::atomic<int> run { 0 };
    auto serve = [&](const std::string& id) {
        return [&run, id](const Request& request, Channel& channel) {
            std::string fields = "X-Request-Id: " + request.field("X-Request-Id") + "\r\n";
            if (request.field("X-Expect-Instance") != id) {
                channel.answer(421, "", fields);
                return true;
            }
            ++run;
            channel.answer(200, "saved quote", fields + "X-Response-Signature: s-" + id + "\r\n");
            return true;
        };
    };
    Server first("127.0.41.101", serve("i-1")), second("127.0.41.102", serve("i-2"));
    store.put("config", "main",
        Json { { "Version", 1 },
            { "Routes",
                { { { "Name", "fetch" }, { "Host", "desk.example" }, { "PathPrefix", "/fetch/" }, { "Kind", "safe" },
                    { "TimeoutMs", 1000 }, { "TargetLatencyMs", 150 }, { "Priority", 2 }, { "Service", "desk" },
                    { "MaxAttempts", 2 }, { "Anonymous", true } } } },
            { "Services", { { { "Name", "desk" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } } } },
            { "Limits", limitsOf() }, { "Tenants", Json::array() } }
            .dump());
    std::atomic<bool> stop { false };
    std::thread heartbeats([&] {
        for (long sequence = 1; !stop; ++sequence) {
            store.put("servers", "i-1", serverSpec("desk", first.address, 6, sequence));
            store.put("servers", "i-2", serverSpec("desk", second.address, 6, sequence));
            sleepMs(1200);
        }
    });
    sleepMs(200);
    Fleet fleet(work.path, store.address(), machineCount);
    for (Machine& machine : fleet.machines)
        fleet.start(machine);
    if (!fleet.waitReady()) {
        RECORD("the fleet did not become ready");
        stop = true;
        heartbeats.join();
        return 2;
    }
    RECORD("%d machines of %d MB are ready, each at %ld KB", machineCount, fleet.machines[0].memoryMb,
        fleet.machines[0].memoryKb());
    Counters counters;
    std::vector<std::thread> callers;
    for (const Machine& machine : fleet.machines)
        callers.emplace_back(callerLoop, std::cref(machine), std::ref(stop), std::ref(counters));

    std::vector<int> ends(machineCount, 0);
    std::vector<double> restartAt(machineCount, 0);
    std::vector<long> peak(machineCount, 0);
    bool written = false;
    double nextReport = 0;
    while (nowS() < end) {
        if (troubled() && !written && nowS() >= troubleAt) {
            written = true;
            std::string spec = foreignSpec();
            for (int i = 0; i < entries; ++i)
                store.put("servers", "other-" + std::to_string(100 + i), spec);
            RECORD("another writer created %d entries of %zu bytes each", entries, spec.size());
        }
        for (int i = 0; i < machineCount; ++i) {
            Machine& machine = fleet.machines[static_cast<std::size_t>(i)];
            auto& at = restartAt[static_cast<std::size_t>(i)];
            if (machine.pid > 0 && !machine.running()) {
                RECORD("%s ended by itself", machine.name.c_str());
                machine.pid = -1;
                ++ends[static_cast<std::size_t>(i)];
                at = nowS() + restartDelayMs / 1000.0;
            }
            if (machine.pid > 0) {
                long used = machine.memoryKb();
                peak[static_cast<std::size_t>(i)] = std::max(peak[static_cast<std::size_t>(i)], used);
                if (used > machine.memoryMb * 1024L) {
                    RECORD("%s uses %ld KB, over its %d MB: the platform kills it", machine.name.c_str(), used,
                        machine.memoryMb);
                    machine.signal(SIGKILL);
                    waitpid(machine.pid, nullptr, 0);
                    machine.pid = -1;
                    ++ends[static_cast<std::size_t>(i)];
                    at = nowS() + restartDelayMs / 1000.0;
                }
            } else if (nowS() >= at) {
                fleet.start(machine);
            }
        }
        if (nowS() >= nextReport) {
            RECORD("requests sent %d, answered %d, failed %d, run %d; ready %d %d %d", counters.sent.load(),
                counters.answered.load(), counters.failed.load(), run.load(), fleet.machines[0].status(300),
                fleet.machines[1].status(300), fleet.machines[2].status(300));
            nextReport = nowS() + 3;
        }
        sleepMs(5);
    }
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    heartbeats.join();
    fleet.stopAll();
    int threeTimes = 0;
    for (int i = 0; i < machineCount; ++i) {
        RECORD("%s ended by itself %d times; its memory was %ld KB at most", fleet.machines[static_cast<std::size_t>(i)].name.c_str(),
            ends[static_cast<std::size_t>(i)], peak[static_cast<std::size_t>(i)]);
        threeTimes += ends[static_cast<std::size_t>(i)] >= 3 ? 1 : 0;
    }
    bool broken = threeTimes >= 2;
    RECORD("%s: on %d machines a process ended by itself three times or more", broken ? "BROKEN" : "held", threeTimes);
    finish(fleet, work, broken ? 1 : 0);
}
