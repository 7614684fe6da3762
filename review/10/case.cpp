// A new configuration raises MaxHeaderBytes. Channels that are open keep the old limit for good: requests on them
// that every configuration since allows are answered 431, which clients do not repeat.

#include "../standins-2/rig.hpp"

using namespace rig;

namespace {

constexpr int machineCount = 2, channels = 12; // to each machine
constexpr long oldLimit = 8192, newLimit = 16384;
constexpr int fieldBytes = 10000;
constexpr int rounds = 4;

std::string config(int version, long maxHeaderBytes)
{
    return Json { { "Version", version },
        { "Routes",
            { { { "Name", "fetch" }, { "Host", "desk.example" }, { "PathPrefix", "/fetch/" }, { "Kind", "safe" },
                { "TimeoutMs", 1000 }, { "TargetLatencyMs", 150 }, { "Priority", 2 }, { "Service", "desk" },
                { "MaxAttempts", 2 }, { "Anonymous", true } } } },
        { "Services", { { { "Name", "desk" }, { "HealthPath", "/health" }, { "MaxConnections", 110 } } } },
        { "Limits", limitsOf(maxHeaderBytes) }, { "Tenants", Json::array() } }
        .dump();
}

std::string request(const std::string& id, int extra)
{
    return "GET /fetch/q HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 1000\r\nX-Context: " + std::string(static_cast<std::size_t>(extra), 'c') + "\r\n\r\n";
}

} // namespace

int main(int argc, char** argv)
{
    startTime();
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    WorkFolder work;
    Store store("127.0.41.100");
    if (!store.ok())
        return 2;
    std::atomic<int> run { 0 };
    auto serve = [&](const std::string& id) {
        return [&run, id](const Request& received, Channel& channel) {
            std::string fields = "X-Request-Id: " + received.field("X-Request-Id") + "\r\n";
            if (received.field("X-Expect-Instance") != id) {
                channel.answer(421, "", fields);
                return true;
            }
            ++run;
            channel.answer(200, "saved quote", fields + "X-Response-Signature: s-" + id + "\r\n");
            return true;
        };
    };
    Server first("127.0.41.101", serve("i-1")), second("127.0.41.102", serve("i-2"));
    store.put("config", "main", config(3, oldLimit));
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
    bool ready = fleet.waitReady();
    std::vector<std::unique_ptr<Client>> callers;
    int sent = 0, answered = 0, denied = 0, other = 0;
    auto ask = [&](Client& client, const std::string& id, int extra) {
        ++sent;
        client.send(request(id, extra));
        Answer answer = client.read(1500);
        ++(answer.complete && answer.status == 200 ? answered : answer.status == 431 ? denied : other);
        if (answer.status != 200)
            RECORD("%s with a field of %d bytes: status %d", id.c_str(), extra, answer.status);
        return answer.status == 200;
    };
    for (int i = 0; ready && i < machineCount * channels; ++i) {
        callers.push_back(std::make_unique<Client>());
        ready = callers.back()->connect(fleet.machines[static_cast<std::size_t>(i % machineCount)].front)
            && ask(*callers.back(), "small-" + std::to_string(i), 100);
    }
    if (!ready) {
        RECORD("the fleet did not become ready");
        stop = true;
        heartbeats.join();
        return 2;
    }
    RECORD("%d requests with small heads answered on %zu channels, MaxHeaderBytes %ld", answered, callers.size(),
        oldLimit);
    // Without the disruption the first configuration already has the higher limit, and the channels are new.
    if (troubled()) {
        store.put("config", "main", config(7, newLimit));
        RECORD("the store acknowledged version 7 with MaxHeaderBytes %ld", newLimit);
        sleepMs(6000); // ConfigApplyMs is 2000, ContactMs 3000
    } else {
        store.put("config", "main", config(7, newLimit));
        sleepMs(6000);
        for (std::size_t i = 0; i < callers.size(); ++i)
            callers[i]->connect(fleet.machines[i % machineCount].front);
        RECORD("version 7 is in force and the channels are opened anew");
    }
    // Clients that got 431 open a new channel for their next request and don't send the refused one again.
    for (int round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < callers.size(); ++i)
            if (!ask(*callers[i], "large-" + std::to_string(round) + "-" + std::to_string(i), fieldBytes))
                callers[i]->connect(fleet.machines[i % machineCount].front);
    stop = true;
    heartbeats.join();
    fleet.stopAll();
    RECORD("sent %d, answered 200 %d, denied 431 %d, other %d; servers ran %d", sent, answered, denied, other,
        run.load());
    bool broken = denied > 5 + sent / 500.0;
    RECORD("%s: %d of %d proper requests were answered 431; the rule allows 5 + one in 500", broken ? "BROKEN" : "held",
        denied, sent);
    finish(fleet, work, broken ? 1 : 0);
}
